"""Implementation of ``WorkerPort`` by a runner of the platform."""

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
    responding_boot,
    worker_id,
)
from hyssopring.platform.json_calls import JsonClient, JsonResponse

__all__ = ('PlatformWorker',)

_MAX_CONNECTIONS: Final = 8
_IDLE_S: Final = 30
# The runner is on the same machine and responds within a few ms.
_TIMEOUT_MS: Final = 400.0

# 'broken' (another task of the gang ended), 'alone' and 'lapsed' are not
# failures of the attempt: the task runs again, as after a stop.
_END_BY_NAME: Final[Mapping[str, AttemptEnd]] = MappingProxyType(
    {
        'done': AttemptEnd.DONE,
        'failed': AttemptEnd.FAILED,
        'stopped': AttemptEnd.STOPPED,
        'lapsed': AttemptEnd.LOST,
        'broken': AttemptEnd.STOPPED,
        'alone': AttemptEnd.STOPPED,
    },
)
# Characters of a malformed row in the log, and the number of kinds logged.
_MAX_LOGGED_DETAIL: Final = 200
_MAX_LOGGED_KINDS: Final = 50
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

_LogMalformed = Callable[[str, object], None]
# The id of a job, then the numbers of its occurrence, step and task.
_TASK_ID: Final = re.compile('[0-9a-f]{16}([.][0-9]{1,9}){3}')
# Padding for rows with missing fields.
_MISSING_FIELDS: Final = (None, None, None, None, None)
_MAX_EXACT_INTEGER: Final = 2**53
# The runner lists this many ends at a time, and further ones only when these
# have been acknowledged.
_ENDS_PER_LISTING: Final = 500
# In characters. A job's progress row, which has the checkpoints of all its
# tasks, holds 65,536 bytes.
_MAX_CHECKPOINT: Final = 16_384


class PlatformWorker:
    """Client of the runner on the same machine."""

    def __init__(self, reactor: Any, address: str) -> None:
        """Connect lazily to the runner at HOST:PORT."""
        self._client = JsonClient(
            reactor,
            address,
            _MAX_CONNECTIONS,
            _IDLE_S,
        )
        self._logged_kinds: set[str] = set()
        self._restarts = RestartLog()
        self._boot = ''

    def poll(self, request: PollRequest) -> Deferred:
        """See ``WorkerPort``."""
        self._switch_to(request.boot)
        fields: dict[str, Any] = {
            'fencingToken': request.fence,
            'lastSeen': request.acked_through,
        }
        if request.hold_until_ms is not None:
            fields['untilMs'] = request.hold_until_ms
        if request.wait_ms:
            fields['waitMs'] = request.wait_ms
        call = self._call(
            '/-/hold',
            request.boot,
            fields,
            request.timeout_ms,
        )
        return call.addCallback(self._to_listing, request)

    def start(self, request: StartRequest) -> Deferred:
        """See ``WorkerPort``."""
        fields = {
            'task': request.task,
            'runId': request.attempt,
            'spec': request.payload,
            'untilMs': request.hold_until_ms,
            'fencingToken': request.fence,
        }
        if request.checkpoint:
            fields['checkpoint'] = request.checkpoint
        if request.ticket:
            fields['ticket'] = request.ticket
        call = self._call('/-/run-start', request.boot, fields, _TIMEOUT_MS)
        return call.addCallback(_start_outcome)

    def stop(
        self,
        boot: str,
        fence: int,
        task: str,
        attempt: int,
    ) -> Deferred:
        """See ``WorkerPort``."""
        fields = {'task': task, 'runId': attempt, 'fencingToken': fence}
        call = self._call('/-/run-stop', boot, fields, _TIMEOUT_MS)
        return call.addCallback(_check_order)

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
        call = self._call('/-/pace', boot, fields, _TIMEOUT_MS)
        return call.addCallback(_check_order)

    def _switch_to(self, boot: str) -> None:
        """Close connections to a previous boot: it may never respond again."""
        if boot != self._boot:
            self._boot = boot
            self._client.close_idle()

    def _to_listing(
        self, response: JsonResponse, request: PollRequest
    ) -> Listing:
        fields = response.fields
        self._restarts.check_listing(
            worker_id(request.boot),
            fields,
            request.acked_through,
        )
        listing = _listing_of(response, self._log_malformed)
        boot = responding_boot(request.boot, fields.get('born'))
        return replace(listing, boot=boot)

    def _log_malformed(self, kind: str, malformed: object) -> None:
        """Log each kind of malformed content once: each poll lists it again."""
        if (
            kind in self._logged_kinds
            or len(self._logged_kinds) >= _MAX_LOGGED_KINDS
        ):
            return
        self._logged_kinds.add(kind)
        log_event(
            Event.PEER_ERROR,
            peer='worker',
            kind=kind,
            detail=repr(malformed)[:_MAX_LOGGED_DETAIL],
        )

    def _call(
        self,
        path: str,
        boot: str,
        fields: dict[str, Any],
        timeout_ms: float,
    ) -> Deferred:
        call = self._client.call(
            'POST',
            path,
            fields,
            timeout_ms,
            (('Expected-Instance', worker_id(boot)),),
        )
        return call.addCallbacks(_check_boot, _raise_unreachable)


def _raise_unreachable(failure: TwistedFailure) -> None:
    raise WorkerUnreachable(repr(failure.value))


def _check_boot(response: JsonResponse) -> JsonResponse:
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        raise WorkerReplaced
    return response


def _check_order(response: JsonResponse) -> JsonResponse:
    """Treat a conflict as success: the order has nothing left to do.

    The exception is a worker that has seen a higher fence. It has ignored the
    order, which must be sent again: a cancelled task would otherwise run on.
    """
    if response.fields.get('reason') == 'fence':
        raise WorkerFenced('worker has received an order with a higher fence')
    if response.status not in {HTTPStatus.OK, HTTPStatus.CONFLICT}:
        raise WorkerUnreachable(f'runner returned status {response.status}')
    return response


def _start_outcome(response: JsonResponse) -> StartOutcome:
    if response.status == HTTPStatus.CONFLICT:
        reason = str(response.fields.get('reason', ''))
        return _OUTCOME_BY_REASON.get(reason, StartOutcome.INVALID)
    outcome = _OUTCOME_BY_STATUS.get(response.status)
    if outcome is None:
        raise WorkerUnreachable(f'runner returned status {response.status}')
    return outcome


def _listing_of(
    response: JsonResponse, log_malformed: _LogMalformed
) -> Listing:
    if response.fields.get('reason') == 'fence':
        raise WorkerFenced('worker has received an order with a higher fence')
    if response.status != HTTPStatus.OK:
        raise WorkerUnreachable(f'runner returned status {response.status}')
    try:
        return _parse_listing(response.fields, log_malformed)
    except (KeyError, TypeError, ValueError) as error:
        log_malformed('listing', error)
        raise WorkerUnreachable(repr(error)) from error


def _parse_listing(
    fields: dict[str, Any], log_malformed: _LogMalformed
) -> Listing:
    """Parse a listing and skip its malformed rows.

    A malformed row of a running attempt may be that of any attempt, and a
    listing with as many ends as the runner lists at a time may leave out later
    ends. The listing is then incomplete: attempts that are not listed may still
    run or may have ended in any way.
    """
    listed = list(fields.get('running', ()))
    rows = tuple(row for row in map(_parse_run, listed) if row is not None)
    if len(rows) < len(listed):
        log_malformed(
            'running', [row for row in listed if _parse_run(row) is None]
        )
    finished = list(fields.get('finished', ()))
    ends = [_parse_end(row, log_malformed) for row in finished]
    identified = tuple(end for end in ends if isinstance(end, EndRow))
    unidentified = [end for end in ends if isinstance(end, int)]
    has_more_ends = len(finished) >= _ENDS_PER_LISTING
    return Listing(
        _parse_clock(fields['clockMs']),
        rows,
        identified,
        len(rows) == len(listed) and not has_more_ends,
        max(unidentified, default=0),
        has_more_ends=has_more_ends,
    )


def _parse_run(row: Any) -> WorkerRow | None:
    """Parse a running attempt; return None if its task is malformed.

    The name of the task suffices to prevent a second start, so a malformed
    attempt number becomes 0, which is lower than all assigned numbers.
    """
    if not isinstance(row, list) or not row or not _is_task(row[0]):
        return None
    cells = [*row, *_MISSING_FIELDS]
    return WorkerRow(
        cells[0],
        _count(cells[1]),
        _checkpoint(cells[2]),
        _count(cells[3]),
        _count(cells[4]),
    )


def _parse_end(row: Any, log_malformed: _LogMalformed) -> EndRow | int:
    """Parse an end; return its number alone if its attempt is malformed.

    Such an unidentified end must be acknowledged too, or it would be listed for
    ever. Its task is no longer listed as running and runs again. A task that
    ended in an unknown way runs again as well: it is not known to be done.
    """
    if not isinstance(row, list) or not row:
        log_malformed('finished', row)
        return 0
    cells = [*row, *_MISSING_FIELDS]
    number, attempt = _count(cells[0]), _count(cells[2])
    if not _is_task(cells[1]) or not number or not attempt:
        log_malformed('finished', row)
        return number
    how = cells[3]
    attempt_end = _END_BY_NAME.get(how) if isinstance(how, str) else None
    if attempt_end is None:
        log_malformed('how', how)
        attempt_end = AttemptEnd.STOPPED
    return EndRow(number, cells[1], attempt, attempt_end, _checkpoint(cells[4]))


def _count(candidate: Any) -> int:
    """Return a non-negative exact integer, 0 for anything else."""
    if isinstance(candidate, bool) or not isinstance(candidate, int):
        return 0
    return candidate if 0 <= candidate < _MAX_EXACT_INTEGER else 0


def _parse_clock(candidate: Any) -> int:
    """Return the worker's clock, on which the expiry of all holds depends.

    Raises:
        ValueError: The clock is malformed.
    """
    if _count(candidate) == candidate:
        return int(candidate)
    raise ValueError('clockMs is not a non-negative integer')


def _checkpoint(candidate: Any) -> str:
    """Return a checkpoint that reports and rows can hold, or an empty one."""
    if not isinstance(candidate, str) or len(candidate) > _MAX_CHECKPOINT:
        return ''
    try:
        candidate.encode()
    except UnicodeEncodeError:
        # JSON may escape half of a surrogate pair, which UTF-8 cannot encode.
        return ''
    return candidate


def _is_task(name: Any) -> bool:
    """Return whether this is a well-formed name of a task."""
    return isinstance(name, str) and _TASK_ID.fullmatch(name) is not None
