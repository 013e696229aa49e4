"""Rows that another writer may have left: odd ones are left out, and said."""

from typing import Callable, Final, TypeVar

from hyssopring.jobs.documents import MalformedRowError
from hyssopring.jobs.rows import Row, RowKey
from hyssopring.logs import Event, log_event

__all__ = ('RowParser',)

_Document = TypeVar('_Document')

# So many odd rows are remembered as said: more than a hand-made fault leaves.
_MAX_SAID: Final = 200
# Characters of a reason in the log; it may repeat the row's whole text.
_MAX_DETAIL: Final = 200


class RowParser:
    """Reads rows one by one, and logs each odd one once a version."""

    def __init__(self) -> None:
        """Have said nothing yet."""
        self._said: dict[RowKey, int] = {}

    def parse(
        self,
        reader: Callable[[str], _Document],
        row: Row,
    ) -> _Document | None:
        """Return a row's document, None if it holds none."""
        try:
            return reader(row.text)
        except MalformedRowError as error:
            self.log_malformed(row, str(error))
        return None

    def log_malformed(self, row: Row, detail: str) -> None:
        """Log what is odd about a row, unless that was said."""
        if self._said.get(row.row_key) == row.version:
            return
        if len(self._said) >= _MAX_SAID:
            self._said.pop(next(iter(self._said)))
        self._said[row.row_key] = row.version
        place = f'{row.row_key.table}/{row.row_key.part}/{row.row_key.key}'
        log_event(Event.PEER_ERROR, peer=place, detail=detail[:_MAX_DETAIL])
