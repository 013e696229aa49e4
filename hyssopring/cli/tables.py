"""Renders plain text tables."""

from typing import Any, Mapping, Sequence

__all__ = ('render_table',)

_COLUMN_GAP = '  '


def render_table(
    columns: Sequence[str],
    rows: Sequence[Mapping[str, Any]],
) -> str:
    """Return a table: a heading, then a line a row; numbers right-aligned."""
    cells = [
        [_format_cell(row.get(column)) for column in columns] for row in rows
    ]
    widths = [
        max(len(column), *(len(line[index]) for line in cells), 0)
        for index, column in enumerate(columns)
    ]
    lines = [columns, *cells]
    return '\n'.join(
        _COLUMN_GAP.join(
            text.rjust(width) if _is_number(text) else text.ljust(width)
            for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _format_cell(cell: object) -> str:
    if cell is None or cell == '':
        return '-'
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    if isinstance(cell, float):
        return f'{cell:.1f}'
    if isinstance(cell, dict):
        return ' '.join(
            f'{key}={_format_cell(cell[key])}' for key in sorted(cell)
        )
    if isinstance(cell, list):
        return ', '.join(_format_cell(element) for element in cell) or '-'
    return ' '.join(str(cell).split())


def _is_number(text: str) -> bool:
    return text.replace('.', '', 1).isdigit()
