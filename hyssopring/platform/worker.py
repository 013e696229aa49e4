"""A runner of the platform as ``jobs.worker_port.WorkerPort``."""

import re
from dataclasses import replace
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Callable, Final, Mapping

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.model import AttemptEnd
from hyssopring.jobs.worker_port import (
    EndRow,
    Listing,
    PollRequest,
    StartRequest,
    StartOutcome,
    WorkerFenced,
    WorkerReplaced,
    WorkerRow,
    WorkerUnreachable,
)
from hyssopring.logs import Event, log_event
from hyssopring.platform.incarnation import (
    RestartLog,
    listed_boot,
    worker_id,
)
from hyssopring.platform.json_calls import JsonAnswer, JsonClient

__all__ = ('PlatformWorker',)

_MAX_CONNECTIONS: Final = 8
_IDLE_S: Final = 30
# The runner is on the same machine and answers within a few ms.
_TIMEOUT_MS: Final = 400.0

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
# Characters of an odd row in the log, and kinds of them that are said once.
_MAX_DETAIL: Final = 200
_MAX_SAID: Final = 50
_OUTCOME_BY_REASON: Final[Mapping[str, StartOutcome]] = MappingProxyType(
    {
        'fence': StartOutcome.FENCED,
        'old': StartOutcome.OLD,
        'late': StartOutcome.LATE,
        'room': StartOutcome.NO_ROOM,
        'ticket': StartOutcome.BAD_TICKET,
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


_Say = Callable[[str, object], None]
# A job's id, then the numbers of occurrence, step and task.
_TASK: Final = re.compile('[0-9a-f]{16}([.][0-9]{1,9}){3}')
# What stands for the fields that a row lacks.
_NO_FIGURES: Final = (None, None, None, None, None)
_MAX_COUNT: Final = 2**53


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
        self._said: set[str] = set()
        self._restarts = RestartLog()
        self._boot = ''

    def poll(self, look: PollRequest) -> Deferred:
        """See ``WorkerPort``."""
        self._meet(look.boot)
        fields: dict[str, Any] = {
            'fencingToken': look.fence,
            'lastSeen': look.acked_through,
        }
        if look.hold_until_ms is not None:
            fields['untilMs'] = look.hold_until_ms
        if look.wait_ms:
            fields['waitMs'] = look.wait_ms
        calling = self._call(
            '/-/hold',
            look.boot,
            fields,
            look.timeout_ms,
        )
        return calling.addCallback(self._listed, look)

    def start(self, start: StartRequest) -> Deferred:
        """See ``WorkerPort``."""
        fields = {
            'task': start.task,
            'runId': start.attempt,
            'spec': start.payload,
            'untilMs': start.hold_until_ms,
            'fencingToken': start.fence,
        }
        if start.checkpoint:
            fields['checkpoint'] = start.checkpoint
        if start.ticket:
            fields['ticket'] = start.ticket
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

    def _meet(self, boot: str) -> None:
        """Use no connection to a former boot: it may be silent for good."""
        if boot != self._boot:
            self._boot = boot
            self._client.close_idle()

    def _listed(self, answer: JsonAnswer, look: PollRequest) -> Listing:
        fields = answer.fields
        self._restarts.listed(worker_id(look.boot), fields, look.acked_through)
        listing = _listing(answer, self._say)
        boot = listed_boot(look.boot, fields.get('born'))
        return replace(listing, boot=boot)

    def _say(self, kind: str, found: object) -> None:
        """Log one kind of what is odd once: each look lists it again."""
        if kind in self._said or len(self._said) >= _MAX_SAID:
            return
        self._said.add(kind)
        log_event(
            Event.PEER_ERROR,
            peer='worker',
            kind=kind,
            detail=repr(found)[:_MAX_DETAIL],
        )

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
            (('Expected-Instance', worker_id(boot)),),
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


def _listing(answer: JsonAnswer, say: _Say) -> Listing:
    if answer.fields.get('reason') == 'fence':
        raise WorkerFenced('an order with a higher fence came first')
    if answer.status != HTTPStatus.OK:
        raise WorkerUnreachable(f'the runner answered {answer.status}')
    try:
        return _read_listing(answer.fields, say)
    except (KeyError, TypeError, ValueError) as error:
        say('listing', error)
        raise WorkerUnreachable(repr(error)) from error


def _read_listing(fields: dict[str, Any], say: _Say) -> Listing:
    """Read what can be read of a listing.

    A row of what runs that cannot be read hides no other, and as it may be
    any attempt's, nothing is taken for over that is not listed.
    """
    listed = list(fields.get('running', ()))
    rows = tuple(row for row in map(_run, listed) if row is not None)
    if len(rows) < len(listed):
        say('running', [row for row in listed if _run(row) is None])
    ends = [_end(row, say) for row in fields.get('finished', ())]
    named = tuple(end for end in ends if isinstance(end, EndRow))
    voids = [end for end in ends if isinstance(end, int)]
    return Listing(
        _clock(fields['clockMs']),
        rows,
        named,
        len(rows) == len(listed),
        max(voids, default=0),
    )


def _run(row: Any) -> WorkerRow | None:
    """Read an attempt that runs, None if no task can be told.

    The task's name is what keeps it from a second start: an attempt of an
    unreadable number is 0, below all numbers that are given.
    """
    if not isinstance(row, list) or not row or not _is_task(row[0]):
        return None
    figures = [*row, *_NO_FIGURES]
    return WorkerRow(
        figures[0],
        _count(figures[1]),
        _text(figures[2]),
        _count(figures[3]),
        _count(figures[4]),
    )


def _end(row: Any, say: _Say) -> EndRow | int:
    """Read an end; its number alone if no attempt can be told.

    Such an end is to be forgotten: kept, it would be listed for good. Its
    task is not listed as running any more, and runs again. So does one that
    ended in an unknown way: it runs no more, and is not known to be done.
    """
    if not isinstance(row, list) or not row:
        say('finished', row)
        return 0
    figures = [*row, *_NO_FIGURES]
    number, attempt = _count(figures[0]), _count(figures[2])
    if not _is_task(figures[1]) or not number or not attempt:
        say('finished', row)
        return number
    how = figures[3]
    known = _END_BY_WORD.get(how) if isinstance(how, str) else None
    if known is None:
        say('how', how)
        known = AttemptEnd.STOPPED
    return EndRow(number, figures[1], attempt, known, _text(figures[4]))


def _count(figure: Any) -> int:
    """Return a figure, 0 for one that is none or does not go on the wire."""
    if isinstance(figure, bool) or not isinstance(figure, int):
        return 0
    return figure if 0 <= figure < _MAX_COUNT else 0


def _clock(figure: Any) -> int:
    """Return the worker's clock; raises ValueError: all holds hang on it."""
    if _count(figure) == figure:
        return int(figure)
    raise ValueError('no clock')


def _text(saved: Any) -> str:
    return saved if isinstance(saved, str) else ''


def _is_task(name: Any) -> bool:
    """Whether this names a task as ours are named."""
    return isinstance(name, str) and _TASK.fullmatch(name) is not None
