"""Names of the incarnations of a runner, which may restart under one id.

Other packages call such a name a boot; they compare it and never parse it.
"""

import hashlib
import json
from typing import Any, Final

from hyssopring.logs import Event, log_event
from hyssopring.numbers import MAX_EXACT_INTEGER

__all__ = ('RestartLog', 'boot_name', 'responding_boot', 'worker_id')

_DIGEST_LENGTH: Final = 16
# Ids of runners do not contain it.
_SEPARATOR: Final = '#'


def boot_name(runner_id: str, born: Any) -> str:
    """Return the name of an incarnation.

    Args:
        born: Its start in milliseconds since 1970. Any other JSON value
            identifies an incarnation too, if the runner always reports the
            same one. None if the runner reports no start; it then has a new id
            for each incarnation.
    """
    if born is None:
        return runner_id
    return f'{runner_id}{_SEPARATOR}{_start_text(born)}'


def worker_id(boot: str) -> str:
    """Return the id by which the runner is addressed."""
    return boot.partition(_SEPARATOR)[0]


def responding_boot(requested: str, born: Any) -> str:
    """Return the incarnation that responded to a call to ``requested``.

    If its reports or its listings have no start, it is the requested one: the
    runner itself has compared the id.
    """
    if born is None or requested == worker_id(requested):
        return requested
    return boot_name(worker_id(requested), born)


def _start_text(born: Any) -> str:
    if isinstance(born, float) and born.is_integer():
        born = int(born)
    is_integer = isinstance(born, int) and not isinstance(born, bool)
    if is_integer and 0 <= born < MAX_EXACT_INTEGER:
        return str(born)
    try:
        encoded = json.dumps(born, sort_keys=True).encode()
    except RecursionError:
        # Nested as deeply as the parser permits; one name for all of these.
        encoded = b'nested'
    return hashlib.sha256(encoded).hexdigest()[:_DIGEST_LENGTH]


class RestartLog:
    """Logs restarts of a runner under an unchanged id."""

    def __init__(self) -> None:
        """Start without a known incarnation."""
        self._boot = ''

    def check_listing(
        self,
        runner_id: str,
        fields: dict[str, Any],
        acknowledged: int,
    ) -> None:
        """Log a restart if a listing comes from a new incarnation.

        Args:
            acknowledged: The number of the last end that the call
                acknowledged.
        """
        born = fields.get('born')
        if born is None:
            return
        boot = boot_name(runner_id, born)
        previous = self._boot
        self._boot = boot
        if boot != previous and worker_id(previous) == runner_id:
            log_event(
                Event.WORKER_RESTARTED,
                boot=boot,
                before=previous,
                acknowledged=acknowledged,
                running=_length(fields.get('running')),
                finished=_length(fields.get('finished')),
            )


def _length(rows: Any) -> int:
    return len(rows) if isinstance(rows, list) else 0
