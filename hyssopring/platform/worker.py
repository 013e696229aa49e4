"""A runner of the platform as ``jobs.worker_port.WorkerPort``."""

from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final, Mapping

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.model import AttemptEnd
from hyssopring.jobs.worker_port import (
    EndRow,
    Listing,
    Look,
    Start,
    StartOutcome,
    WorkerFenced,
    WorkerReplaced,
    WorkerRow,
    WorkerUnreachable,
)
from hyssopring.platform.json_calls import JsonAnswer, JsonClient

__all__ = ('PlatformWorker',)

_MAX_CONNECTIONS: Final = 8
_IDLE_S: Final = 30
# The runner is on the same machine and answers within a few ms.
_TIMEOUT_MS: Final = 400.0
# A look's answer waits for an end, and this much longer.
_LOOK_TIMEOUT_MS: Final = 700.0

# Runs that 'broken' (another member ended), 'alone' and 'lapsed' name were
# not at fault: they run again, like stopped ones.
_END_BY_WORD: Final[Mapping[str, AttemptEnd]] = MappingProxyType(
    {
        'done': AttemptEnd.DONE,
        'failed': AttemptEnd.FAILED,
        'stopped': AttemptEnd.STOPPED,
        'lapsed': AttemptEnd.LOST,
        'broken': AttemptEnd.STOPPED,
        'alone': AttemptEnd.STOPPED,
    },
)
_OUTCOME_BY_REASON: Final[Mapping[str, StartOutcome]] = MappingProxyType(
    {
        'fence': StartOutcome.FENCED,
        'old': StartOutcome.OLD,
        'late': StartOutcome.LATE,
        'room': StartOutcome.NO_ROOM,
        'ticket': StartOutcome.INVALID,
    },
)
_OUTCOME_BY_STATUS: Final[Mapping[int, StartOutcome]] = MappingProxyType(
    {
        HTTPStatus.OK: StartOutcome.STARTED,
        HTTPStatus.BAD_REQUEST: StartOutcome.INVALID,
        HTTPStatus.TOO_MANY_REQUESTS: StartOutcome.UNHEALTHY,
        HTTPStatus.SERVICE_UNAVAILABLE: StartOutcome.UNHEALTHY,
    },
)


class PlatformWorker:
    """Calls the runner on the same machine."""

    def __init__(self, reactor: Any, address: str) -> None:
        """Connect lazily to the runner at HOST:PORT."""
        self._client = JsonClient(
            reactor,
            address,
            _MAX_CONNECTIONS,
            _IDLE_S,
        )

    def look(self, look: Look) -> Deferred:
        """See ``WorkerPort``."""
        fields: dict[str, Any] = {
            'fencingToken': look.fence,
            'lastSeen': look.recorded,
        }
        if look.until_ms is not None:
            fields['untilMs'] = look.until_ms
        if look.wait_ms:
            fields['waitMs'] = look.wait_ms
        calling = self._call(
            '/-/hold',
            look.boot,
            fields,
            look.wait_ms + _LOOK_TIMEOUT_MS,
        )
        return calling.addCallback(_listing)

    def start(self, start: Start) -> Deferred:
        """See ``WorkerPort``."""
        fields = {
            'task': start.task,
            'runId': start.attempt,
            'spec': start.payload,
            'untilMs': start.until_ms,
            'fencingToken': start.fence,
        }
        if start.checkpoint:
            fields['checkpoint'] = start.checkpoint
        calling = self._call('/-/run-start', start.boot, fields, _TIMEOUT_MS)
        return calling.addCallback(_outcome)

    def stop(
        self,
        boot: str,
        fence: int,
        task: str,
        attempt: int,
    ) -> Deferred:
        """See ``WorkerPort``."""
        fields = {'task': task, 'runId': attempt, 'fencingToken': fence}
        calling = self._call('/-/run-stop', boot, fields, _TIMEOUT_MS)
        return calling.addCallback(_taken)

    def set_pace(
        self,
        boot: str,
        fence: int,
        task: str,
        attempt: int,
        percent: int,
    ) -> Deferred:
        """See ``WorkerPort``."""
        fields = {
            'task': task,
            'runId': attempt,
            'percent': percent,
            'fencingToken': fence,
        }
        calling = self._call('/-/pace', boot, fields, _TIMEOUT_MS)
        return calling.addCallback(_taken)

    def _call(
        self,
        path: str,
        boot: str,
        fields: dict[str, Any],
        timeout_ms: float,
    ) -> Deferred:
        calling = self._client.call(
            'POST',
            path,
            fields,
            timeout_ms,
            (('Expected-Instance', boot),),
        )
        return calling.addCallbacks(_same_boot, _unreachable)


def _unreachable(failure: TwistedFailure) -> None:
    raise WorkerUnreachable(repr(failure.value))


def _same_boot(answer: JsonAnswer) -> JsonAnswer:
    if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
        raise WorkerReplaced
    return answer


def _taken(answer: JsonAnswer) -> JsonAnswer:
    """A conflict means that there is nothing left to do for the order.

    But for one: a worker that has seen a higher fence has done nothing, and
    the order is to be sent again. Taken for done, a cancelled task ran on.
    """
    if answer.fields.get('reason') == 'fence':
        raise WorkerFenced('an order with a higher fence came first')
    if answer.status not in {HTTPStatus.OK, HTTPStatus.CONFLICT}:
        raise WorkerUnreachable(f'the runner answered {answer.status}')
    return answer


def _outcome(answer: JsonAnswer) -> StartOutcome:
    if answer.status == HTTPStatus.CONFLICT:
        reason = str(answer.fields.get('reason', ''))
        return _OUTCOME_BY_REASON.get(reason, StartOutcome.INVALID)
    outcome = _OUTCOME_BY_STATUS.get(answer.status)
    if outcome is None:
        raise WorkerUnreachable(f'the runner answered {answer.status}')
    return outcome


def _listing(answer: JsonAnswer) -> Listing:
    if answer.status != HTTPStatus.OK:
        raise WorkerUnreachable(f'the runner answered {answer.status}')
    try:
        return _read_listing(answer.fields)
    except (KeyError, TypeError, ValueError) as error:
        raise WorkerUnreachable(repr(error)) from error


def _read_listing(fields: dict[str, Any]) -> Listing:
    rows = tuple(
        WorkerRow(str(task), int(run), str(saved), int(percent), int(load))
        for task, run, saved, percent, load in fields.get('running', ())
    )
    ends = tuple(
        EndRow(int(number), str(task), int(run), _END_BY_WORD[how], str(saved))
        for number, task, run, how, saved in fields.get('finished', ())
    )
    return Listing(int(fields['clockMs']), rows, ends)
