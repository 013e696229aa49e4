"""The table of faults and the kinds of work that they affected."""

from soak.schedule import FAULTS, PAIRS, TRIGGERS

__all__ = ('render_matrix',)

_WIDTH = 7


def render_matrix(met, made):
    """Return the table as text.

    An empty cell of a pair that the schedule aims at is shown as ``NONE`` and
    listed below the table.

    Args:
        met: Counts by fault and kind of work.
        made: Counts by fault.
    """
    aimed = {(fault, trigger) for trigger, fault in PAIRS}
    lines = [' ' * 16 + _cells('made', *(kind[:6] for kind in TRIGGERS))]
    missing = []
    for fault in FAULTS:
        cells = [made[fault]]
        for kind in TRIGGERS:
            count = met[fault, kind]
            is_missing = not count and (fault, kind) in aimed
            if is_missing:
                missing.append(f'{fault} x {kind}')
            cells.append('NONE' if is_missing else count or '.')
        lines.append(f'{fault:16}' + _cells(*cells))
    if missing:
        lines.append('never met: ' + ', '.join(missing))
    else:
        lines.append(f'all {len(aimed)} aimed cells were met')
    return '\n'.join(lines)


def _cells(*cells):
    return ''.join(f'{cell:>{_WIDTH}}' for cell in cells)
