"""Tells the incarnations of a runner apart: one may start under its old id."""

import hashlib
import json
from typing import Any, Final

from hyssopring.logs import Event, log_event

__all__ = ('RestartLog', 'born_text')

# What a double holds exactly, and so each JSON reader.
_MAX_COUNT: Final = 2**53
_DIGEST_LENGTH: Final = 16


def born_text(born: Any) -> str:
    """Return what a runner says of its start as a word, empty for nothing.

    It is a millisecond since 1970. Anything else still names an incarnation,
    as long as the runner keeps to it.
    """
    if born is None:
        return ''
    if isinstance(born, float) and born.is_integer():
        born = int(born)
    is_whole = isinstance(born, int) and not isinstance(born, bool)
    if is_whole and 0 <= born < _MAX_COUNT:
        return str(born)
    text = json.dumps(born, sort_keys=True).encode()
    return hashlib.sha256(text).hexdigest()[:_DIGEST_LENGTH]


class RestartLog:
    """Logs each runner that has started again under the id that it had."""

    def __init__(self) -> None:
        """Know of no runner."""
        self._worker_id = ''
        self._born = ''

    def listed(
        self,
        worker_id: str,
        fields: dict[str, Any],
        acknowledged: int,
    ) -> None:
        """Take the fields of a list.

        Args:
            acknowledged: The number of the last end that the call named as
                recorded.
        """
        born = born_text(fields.get('born'))
        if not born or (worker_id, born) == (self._worker_id, self._born):
            return
        if worker_id == self._worker_id:
            log_event(
                Event.WORKER_RESTARTED,
                worker=worker_id,
                born=born,
                before=self._born,
                acknowledged=acknowledged,
                running=_length(fields.get('running')),
                finished=_length(fields.get('finished')),
            )
        self._worker_id = worker_id
        self._born = born


def _length(rows: Any) -> int:
    return len(rows) if isinstance(rows, list) else 0
