"""Faults of the table, which affect all entries."""

from soak.faults.entries import roll_entries

__all__ = ('MAKERS',)

_DELAYS_MS = (300, 1500, 3000)


def _down(faults, entry, choices):
    table = faults.world.deployment.table
    table.outage = True

    def restore():
        table.outage = False

    return restore


def _slow(faults, entry, choices):
    table = faults.world.deployment.table
    table.delay_ms = _DELAYS_MS[choices[2] % 3]

    def end_delay():
        table.delay_ms = 0

    return end_delay


def _down_while_rolling(faults, entry, choices):
    """Restart all entries while the table is down."""
    roll_entries(faults, entry, choices)
    return _down(faults, entry, choices)


MAKERS = {
    'table-down': _down,
    'table-slow': _slow,
    'table-down-roll': _down_while_rolling,
}
