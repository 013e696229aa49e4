"""What an agent's core asks of its worker, whatever the worker speaks."""

import enum
from dataclasses import dataclass
from typing import Any, Protocol

from hyssopring.jobs.model import AttemptEnd, Size

__all__ = (
    'Announcement',
    'EndRow',
    'Listing',
    'PollRequest',
    'StartRequest',
    'StartOutcome',
    'WorkerFenced',
    'WorkerPort',
    'WorkerReplaced',
    'WorkerRow',
    'WorkerUnreachable',
)


class WorkerUnreachable(Exception):
    """No usable answer came; what was asked may still be carried out."""


class WorkerFenced(WorkerUnreachable):
    """The worker has seen a higher fence, and has done nothing."""


class WorkerReplaced(Exception):
    """Another boot of the worker answered, and has done nothing."""


class StartOutcome(enum.Enum):
    """What a worker says to a start.

    OLD: this attempt or a higher one has run or was stopped here before.
    BAD_TICKET: the ticket has run out, or is for another life or step.
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
    """A worker's report about itself.

    Attributes:
        boot: One life of the worker.
        sequence: Rises with each report of a boot, so that a late one shows.
        clock_ms: The worker's own steady clock.
        remaining_ms: While it leaves: how long it still runs at least.
        target: The name by which calls reach it, empty if it may be any: a
            call that was sent to one boot reaches the next one of that name.
    """

    boot: str
    service: str
    room: Size
    labels: tuple[str, ...]
    is_leaving: bool
    remaining_ms: int
    sequence: int
    clock_ms: int
    target: str = ''


@dataclass(frozen=True, slots=True)
class PollRequest:
    """A request for the worker's lists that also extends its hold.

    Attributes:
        fence: Orders with a lower one are void from now on.
        acked_through: Ends up to this number may be forgotten.
        hold_until_ms: On the worker's clock; None extends nothing.
        wait_ms: How long the answer may wait for an end.
        timeout_ms: Within this time the answer has to be whole.
    """

    boot: str
    fence: int
    acked_through: int
    hold_until_ms: int | None
    wait_ms: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class StartRequest:
    """An order to start one attempt; ``ticket`` is empty if it needs none."""

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
    """An attempt on the worker; see ``AttemptReport`` for the figures."""

    task: str
    attempt: int
    checkpoint: str
    percent: int
    load: int


@dataclass(frozen=True, slots=True)
class EndRow:
    """The end of an attempt; numbers rise within a boot."""

    number: int
    task: str
    attempt: int
    how: AttemptEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Listing:
    """All that runs on a worker, and the ends not yet forgotten.

    Attributes:
        is_complete: Whether each row was read: what is not listed is over.
        last_unidentified_end: The highest number of an end that names no
            task, 0 for none; it is to be forgotten like a recorded one.
        boot: The one that answered, and has carried the look out; empty where
            it cannot be another one than was asked.
    """

    clock_ms: int
    rows: tuple[WorkerRow, ...]
    ends: tuple[EndRow, ...]
    is_complete: bool = True
    last_unidentified_end: int = 0
    boot: str = ''

    def names(self, task: str, attempt: int) -> bool:
        """Whether an attempt runs or has ended there."""
        running = {(row.task, row.attempt) for row in self.rows}
        ended = {(end.task, end.attempt) for end in self.ends}
        return (task, attempt) in running | ended


class WorkerPort(Protocol):
    """Calls to the worker; each returns a Twisted ``Deferred``.

    They fail with ``WorkerUnreachable`` or ``WorkerReplaced``.
    """

    def poll(self, look: PollRequest) -> Any:
        """Return a deferred ``Listing``."""

    def start(self, start: StartRequest) -> Any:
        """Return a deferred ``StartOutcome``."""

    def stop(self, boot: str, fence: int, task: str, attempt: int) -> Any:
        """Return a deferred that fires when the stop was taken."""

    def set_pace(
        self,
        boot: str,
        fence: int,
        task: str,
        attempt: int,
        percent: int,
    ) -> Any:
        """Return a deferred that fires when the pace was taken."""
