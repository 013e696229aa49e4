"""Parsing of rows that may be malformed.

Other software can write to the store. A malformed row is logged and skipped,
so that it does not affect the other rows.
"""

from typing import Callable, Final, TypeVar

from hyssopring.jobs.documents import MalformedRowError
from hyssopring.jobs.rows import Row, RowKey
from hyssopring.logs import Event, log_event

__all__ = ('RowParser',)

_Document = TypeVar('_Document')

# More rows than a manual mistake in the store is likely to affect.
_MAX_LOGGED_ROWS: Final = 200
# A reason may contain the whole text of the row.
_MAX_DETAIL_CHARS: Final = 200


class RowParser:
    """Parses rows one by one; logs each malformed version of a row once."""

    def __init__(self) -> None:
        """Start with no logged rows."""
        self._logged_version_by_key: dict[RowKey, int] = {}

    def parse(
        self,
        from_text: Callable[[str], _Document],
        row: Row,
    ) -> _Document | None:
        """Parse a row's text by ``from_text``.

        Returns:
            The document, or None if the row is malformed.
        """
        try:
            return from_text(row.text)
        except MalformedRowError as error:
            self.log_malformed(row, str(error))
        return None

    def log_malformed(self, row: Row, detail: str) -> None:
        """Log that a row is malformed, unless this version was logged."""
        if self._logged_version_by_key.get(row.row_key) == row.version:
            return
        if len(self._logged_version_by_key) >= _MAX_LOGGED_ROWS:
            self._logged_version_by_key.pop(
                next(iter(self._logged_version_by_key))
            )
        self._logged_version_by_key[row.row_key] = row.version
        key = f'{row.row_key.table}/{row.row_key.part}/{row.row_key.key}'
        log_event(
            Event.PEER_ERROR,
            peer=key,
            detail=detail[:_MAX_DETAIL_CHARS],
        )
