"""The interface between an agent and its worker, independent of transport.

An incarnation is one run of a worker process; ``boot`` is its ID.
"""

import enum
from dataclasses import dataclass
from typing import Any, Protocol

from hyssopring.jobs.model import AttemptEnd, Size

__all__ = (
    'Announcement',
    'EndRow',
    'Listing',
    'PollRequest',
    'StartOutcome',
    'StartRequest',
    'WorkerFenced',
    'WorkerPort',
    'WorkerReplaced',
    'WorkerRow',
    'WorkerUnreachable',
)


class WorkerUnreachable(Exception):
    """No valid answer arrived; the request may still be carried out.

    The subclass ``WorkerFenced`` is the exception: the worker answered and
    ignored the request.
    """


class WorkerFenced(WorkerUnreachable):
    """The worker has seen a higher fence and ignored the request."""


class WorkerReplaced(Exception):
    """Another incarnation of the worker answered and ignored the request."""


class StartOutcome(enum.Enum):
    """A worker's answer to a start request.

    Attributes:
        FENCED: The worker has seen a higher fence.
        OLD: This attempt or a higher one has run or was stopped there before.
        LATE: The hold of the request had expired when it arrived.
        NO_ROOM: The worker has too little free capacity.
        BAD_TICKET: The ticket has expired, or is for another incarnation or
            step.
    """

    STARTED = 'started'
    FENCED = 'fenced'
    OLD = 'old'
    LATE = 'late'
    NO_ROOM = 'no-room'
    UNHEALTHY = 'unhealthy'
    INVALID = 'invalid'
    BAD_TICKET = 'ticket'


@dataclass(frozen=True, slots=True)
class Announcement:
    """A worker's announcement of its state.

    Attributes:
        boot: ID of the worker's incarnation.
        capacity: Total resources of the worker.
        remaining_ms: How long a leaving worker will run at least.
        sequence: Increases with each announcement of an incarnation; a lower
            one is out of date.
        clock_ms: A reading of the worker's monotonic clock.
        target: The name that requests are addressed to, empty if unknown. A
            request sent to one incarnation reaches the next one of that name.
    """

    boot: str
    service: str
    capacity: Size
    labels: tuple[str, ...]
    is_leaving: bool
    remaining_ms: int
    sequence: int
    clock_ms: int
    target: str = ''


@dataclass(frozen=True, slots=True)
class PollRequest:
    """A request for the worker's listing that may also extend its hold.

    Attributes:
        boot: The incarnation that the request is for.
        fence: From now on the worker ignores requests with a lower fence.
        acked_through: The worker may forget ends up to this number.
        hold_until_ms: New end of the hold on the worker's clock, None to keep
            the present one.
        wait_ms: How long the worker may delay the answer until a task ends.
        timeout_ms: The timeout of the request.
    """

    boot: str
    fence: int
    acked_through: int
    hold_until_ms: int | None
    wait_ms: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class StartRequest:
    """A request to start one attempt.

    Attributes:
        boot: The incarnation that the request is for.
        fence: The worker ignores the request if it has seen a higher one.
        hold_until_ms: New end of the hold on the worker's clock.
        ticket: Admission ticket, empty if the task needs none.
    """

    boot: str
    fence: int
    task: str
    attempt: int
    payload: str
    checkpoint: str
    hold_until_ms: int
    ticket: str = ''


@dataclass(frozen=True, slots=True)
class WorkerRow:
    """An attempt running on the worker; see ``AttemptReport`` for units."""

    task: str
    attempt: int
    checkpoint: str
    percent: int
    load: int


@dataclass(frozen=True, slots=True)
class EndRow:
    """The end of an attempt; numbers increase within an incarnation."""

    number: int
    task: str
    attempt: int
    how: AttemptEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Listing:
    """The running attempts of a worker and its first unacknowledged ends.

    Attributes:
        clock_ms: A reading of the worker's monotonic clock.
        rows: The running attempts.
        ends: The unacknowledged ends, from the lowest number on.
        is_complete: Whether all running attempts and all unacknowledged ends
            are known to be listed. Only then does an attempt that is not
            listed neither run nor have an end that will be listed later.
        last_unidentified_end: The highest number of an end without a valid
            task, 0 for none; it is acknowledged without being recorded.
        boot: The incarnation that answered; empty if it is certainly the one
            that was asked.
        has_more_ends: Whether later ends may have been left out.
    """

    clock_ms: int
    rows: tuple[WorkerRow, ...]
    ends: tuple[EndRow, ...]
    is_complete: bool = True
    last_unidentified_end: int = 0
    boot: str = ''
    has_more_ends: bool = False

    def lists(self, task: str, attempt: int) -> bool:
        """Return whether an attempt is listed as running or ended."""
        running = {(row.task, row.attempt) for row in self.rows}
        ended = {(end.task, end.attempt) for end in self.ends}
        return (task, attempt) in running | ended

    def may_include(self, task: str, attempt: int) -> bool:
        """Return whether an attempt is listed or may have been left out."""
        return not self.is_complete or self.lists(task, attempt)


class WorkerPort(Protocol):
    """Requests to the worker; each method returns a Twisted ``Deferred``.

    It fails with ``WorkerUnreachable`` or ``WorkerReplaced``.
    """

    def poll(self, request: PollRequest) -> Any:
        """Return a deferred ``Listing``."""

    def start(self, request: StartRequest) -> Any:
        """Return a deferred ``StartOutcome``."""

    def stop(self, boot: str, fence: int, task: str, attempt: int) -> Any:
        """Return a deferred that fires when the worker accepted the stop."""

    def set_pace(
        self,
        boot: str,
        fence: int,
        task: str,
        attempt: int,
        percent: int,
    ) -> Any:
        """Return a deferred that fires when the worker accepted the pace."""
