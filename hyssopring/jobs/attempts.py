"""The attempts on one worker, as its agent tracks them."""

import enum
import math
from dataclasses import dataclass, field, replace
from typing import Iterable

from hyssopring.jobs.messages import (
    RUNNING_HERE,
    AttemptReport,
    TaskRequirements,
)
from hyssopring.jobs.model import Size
from hyssopring.jobs.shards import shard_of_task
from hyssopring.jobs.worker_port import Listing, WorkerRow

__all__ = (
    'FULL_PACE',
    'UNKNOWN_PACE',
    'Attempt',
    'AttemptTable',
    'Phase',
)

FULL_PACE = 100
# A new agent does not know which pace its predecessor set.
UNKNOWN_PACE = -1
# The number of tasks whose stops and refusals are kept, so that a start that
# arrives after its own stop is not carried out.
_MAX_CLOSED_TASKS = 4000


class Phase(enum.Enum):
    """Progress of an attempt on the worker.

    Attributes:
        STARTING: The start is unconfirmed.
        STOPPING: A stop is pending or accepted; the attempt may still run.
    """

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclass(slots=True)
class Attempt:
    """An attempt that uses resources of the worker.

    Times are milliseconds on the agent's clock.

    Attributes:
        ordered_at: When this agent accepted the start order, or first saw the
            attempt in a listing.
        facts: Its requirements; None on a new agent until an owner sends them.
        percent: Progress, as the task reports it.
        load: Tail latency in ms of a keeper with a target, otherwise the
            thousandths of a core in use.
        pace: The allowed percentage of its processor time.
        tries: How often its start was sent to the worker.
        confirmed_at: When the worker confirmed the start, None before that.
        stop_accepted_at: When the worker accepted its stop, None before that.
        is_stop_in_flight: Whether a stop request is in flight or due to be
            retried.
        is_trial: Whether it may crash the worker and was started alone.
        lease_term: The term of the lease under which its start was accepted.
        listed_at: When the newest poll was sent whose listing includes it.
    """

    task: str
    number: int
    shard: int
    phase: Phase
    ordered_at: float
    facts: TaskRequirements | None = None
    checkpoint: str = ''
    percent: int = 0
    load: int = 0
    pace: int = FULL_PACE
    tries: int = 0
    confirmed_at: float | None = None
    stop_accepted_at: float | None = None
    is_stop_in_flight: bool = False
    is_trial: bool = False
    lease_term: int = 0
    listed_at: float = -math.inf

    @property
    def settled_at(self) -> float | None:
        """When the worker accepted the last request for it, None if never."""
        if self.stop_accepted_at is not None:
            return self.stop_accepted_at
        return self.confirmed_at

    def reserved_size(self) -> Size:
        """Return the resources of the worker that the attempt uses."""
        facts = self.facts
        if facts is None:
            return Size()
        cpu = 0 if facts.fills else facts.cpu_millis
        return Size(cpu, facts.memory_mb, facts.accelerators)

    def update(self, row: WorkerRow, now_ms: float, listed_at: float) -> None:
        """Apply a row of a listing whose poll was sent at ``listed_at``."""
        self.listed_at = listed_at
        self.checkpoint = row.checkpoint
        self.percent = row.percent
        self.load = row.load
        if self.phase is Phase.STARTING:
            self.phase = Phase.RUNNING
        if self.confirmed_at is None:
            self.confirmed_at = now_ms

    def carried_over(self, now_ms: float) -> 'Attempt':
        """Return the attempt as it runs on another incarnation."""
        return replace(
            self,
            phase=Phase.RUNNING,
            ordered_at=now_ms,
            pace=UNKNOWN_PACE,
            stop_accepted_at=None,
            is_stop_in_flight=False,
        )

    def report(self, epoch_known_at: float) -> AttemptReport:
        """Return the attempt's part of a report to its owner.

        Args:
            epoch_known_at: When the owner's epoch became known.
        """
        return AttemptReport(
            self.task,
            self.number,
            self.checkpoint,
            self.percent,
            self.load,
            self.pace,
            self.facts is not None,
            self.listed_at >= epoch_known_at,
        )


@dataclass
class AttemptTable:
    """The attempts on a worker, and which attempts may never start there.

    Attributes:
        by_task: The attempts that use resources of the worker.
        is_partial: Whether attempts may be missing that another agent started
            and that the worker runs, or whose ends it has not listed yet.
    """

    by_task: dict[str, Attempt] = field(default_factory=dict)
    is_partial: bool = False
    _closed_attempt_by_task: dict[str, int] = field(default_factory=dict)

    def add(self, attempt: Attempt) -> None:
        """Count an attempt against the worker's resources from now on."""
        self.by_task[attempt.task] = attempt

    def update_listed(
        self, row: WorkerRow, now_ms: float, listed_at: float
    ) -> Attempt:
        """Update the attempt of a listed row, adding it if it is unknown."""
        known = self.by_task.get(row.task)
        if known is None or known.number < row.attempt:
            known = Attempt(
                row.task,
                row.attempt,
                shard_of_task(row.task),
                Phase.RUNNING,
                now_ms,
                pace=UNKNOWN_PACE,
            )
            self.add(known)
        if known.number == row.attempt:
            known.update(row, now_ms, listed_at)
        return known

    def attempts_of_job(self, job_id: str) -> list[Attempt]:
        """Return the attempts of a job's tasks."""
        return [
            attempt
            for attempt in self.by_task.values()
            if attempt.task.startswith(f'{job_id}.')
        ]

    def carry_over(
        self,
        attempts: Iterable[Attempt],
        listing: Listing,
        now_ms: float,
    ) -> None:
        """Keep attempts that another incarnation lists as running."""
        listed = {(row.task, row.attempt) for row in listing.rows}
        for attempt in attempts:
            if (attempt.task, attempt.number) in listed:
                self.add(attempt.carried_over(now_ms))

    def remove(self, task: str, number: int) -> None:
        """Drop an attempt, and close it against another start."""
        known = self.by_task.get(task)
        if known is not None and known.number <= number:
            self.by_task.pop(task)
        self.close(task, number)

    def drop_unlisted(self, listed: set[str], sent_at: float) -> bool:
        """Drop settled attempts that a complete listing lacks; True if any was.

        Args:
            listed: The tasks that the listing names.
            sent_at: When the poll was sent. An attempt counts as settled if
                the worker accepted its last request before that.
        """
        unlisted = [
            attempt
            for attempt in self.by_task.values()
            if attempt.task not in listed
            and attempt.settled_at is not None
            and attempt.settled_at < sent_at
        ]
        for attempt in unlisted:
            self.remove(attempt.task, attempt.number)
        return bool(unlisted)

    def close(self, task: str, number: int) -> None:
        """Refuse this attempt and older ones of the task from now on."""
        closed = self._closed_attempt_by_task
        closed[task] = max(number, closed.pop(task, 0))
        while len(closed) > _MAX_CLOSED_TASKS:
            closed.pop(next(iter(closed)))

    def is_closed(self, task: str, number: int) -> bool:
        """Return whether this attempt may not start here."""
        return number <= self._closed_attempt_by_task.get(task, 0)

    @property
    def is_sized(self) -> bool:
        """Whether the requirements of all attempts are known."""
        return all(
            attempt.facts is not None for attempt in self.by_task.values()
        )

    def used(self) -> Size:
        """Return the total resources that the attempts use."""
        total = Size()
        for attempt in self.by_task.values():
            total = total.plus(attempt.reserved_size())
        return total

    def refusal_reason(self, facts: TaskRequirements, capacity: Size) -> str:
        """Return why an attempt may not start; empty if it may.

        The reasons are those of a ``StartRefusal``.
        """
        if facts.task in self.by_task:
            return RUNNING_HERE
        if self.is_closed(facts.task, facts.attempt):
            return 'closed'
        if not self.is_sized:
            return 'unsized'
        cpu = 0 if facts.fills else facts.cpu_millis
        size = Size(cpu, facts.memory_mb, facts.accelerators)
        # An attempt being stopped counts until the worker has listed its end.
        return '' if self.used().plus(size).fits_in(capacity) else 'room'

    def clear(self) -> None:
        """Forget all attempts, for a new incarnation of the worker."""
        self.by_task.clear()
        self._closed_attempt_by_task.clear()
        self.is_partial = True
