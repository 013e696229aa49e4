"""Names the incarnations of a runner: one may start again under its id.

Outside this folder such a name, a boot, is compared whole and never read.
"""

import hashlib
import json
from typing import Any, Final

from hyssopring.logs import Event, log_event

__all__ = ('RestartLog', 'boot_name', 'listed_boot', 'worker_id')

# What a double holds exactly, and so each JSON reader.
_MAX_COUNT: Final = 2**53
_DIGEST_LENGTH: Final = 16
# No id of a runner contains it.
_SEPARATOR: Final = '#'


def boot_name(runner_id: str, born: Any) -> str:
    """Name an incarnation.

    Args:
        born: The millisecond of its start since 1970. Anything else still
            names an incarnation, as long as the runner keeps to it; None where
            the runner does not say, and has a new id each time.
    """
    if born is None:
        return runner_id
    return f'{runner_id}{_SEPARATOR}{_born_text(born)}'


def worker_id(boot: str) -> str:
    """Return the id under which a runner takes calls."""
    return boot.partition(_SEPARATOR)[0]


def listed_boot(asked: str, born: Any) -> str:
    """Name the incarnation that answered a call to ``asked``.

    One whose reports or lists do not tell their start is taken for the one
    that was asked: the id has been compared by the runner itself.
    """
    if born is None or asked == worker_id(asked):
        return asked
    return boot_name(worker_id(asked), born)


def _born_text(born: Any) -> str:
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
        self._boot = ''

    def listed(
        self,
        runner_id: str,
        fields: dict[str, Any],
        acknowledged: int,
    ) -> None:
        """Take the fields of a list.

        Args:
            acknowledged: The number of the last end that the call named as
                recorded.
        """
        born = fields.get('born')
        if born is None:
            return
        boot = boot_name(runner_id, born)
        before = self._boot
        self._boot = boot
        if boot != before and worker_id(before) == runner_id:
            log_event(
                Event.WORKER_RESTARTED,
                boot=boot,
                before=before,
                acknowledged=acknowledged,
                running=_length(fields.get('running')),
                finished=_length(fields.get('finished')),
            )


def _length(rows: Any) -> int:
    return len(rows) if isinstance(rows, list) else 0
