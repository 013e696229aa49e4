"""Long answers of the store, cut for the links between entries.

A page of the store is up to 1 MB. Passed on to a peer in one message it takes
3 s of a link of 5 Mbit/s, while a peer's answer is waited for 1.5 s: it would
never come, and whatever is behind it on the connection would come late.
"""

from typing import Final

from hyssopring.jobs.rows import Changes, Row

__all__ = ('first_changes', 'first_rows')

# 0.4 s of a link of 5 Mbit/s.
_PIECE_BYTES: Final = 128 * 1024


def first_rows(rows: tuple[Row, ...]) -> tuple[Row, ...]:
    """Return the rows that make a piece; one at least, if there is one."""
    size = 0
    for count, row in enumerate(rows):
        size += len(row.text)
        if count and size > _PIECE_BYTES:
            return rows[:count]
    return rows


def first_changes(changes: Changes) -> Changes:
    """Return the changes that make a piece, and up to which version they go.

    Whoever asks goes on behind that version: the rows of one transaction have
    the same one, and stay together.
    """
    count = len(first_rows(changes.rows))
    if count == len(changes.rows):
        return changes
    cut_in = changes.rows[count].version
    rows = tuple(row for row in changes.rows[:count] if row.version < cut_in)
    if not rows:
        rows = tuple(row for row in changes.rows if row.version <= cut_in)
    return Changes(rows, rows[-1].version)
