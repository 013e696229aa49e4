"""The attempts on one worker, as its agent knows them."""

import enum
from dataclasses import dataclass, field, replace
from typing import Iterable

from hyssopring.jobs.messages import AttemptReport, TaskFacts
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
# A new agent does not know what pace its predecessor has set.
UNKNOWN_PACE = -1
# Stops and refusals are remembered for the last so many tasks, so that an
# order that was overtaken by its own stop is not carried out.
_MAX_CLOSED = 4000


class Phase(enum.Enum):
    """STARTING: ordered, not confirmed. STOPPING: may still run."""

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclass(slots=True)
class Attempt:
    """One attempt that takes room on the worker.

    Attributes:
        facts: What it takes; None until an owner has told a new agent.
        confirmed_at: When the worker confirmed it, None before that.
        stop_taken_at: When the worker took its stop.
        is_trial: It was started as a suspect, beside no other start.
    """

    task: str
    number: int
    shard: int
    phase: Phase
    ordered_at: float
    facts: TaskFacts | None = None
    checkpoint: str = ''
    percent: int = 0
    load: int = 0
    pace: int = FULL_PACE
    tries: int = 0
    confirmed_at: float | None = None
    stop_taken_at: float | None = None
    is_stop_under_way: bool = False
    is_trial: bool = False

    @property
    def settled_at(self) -> float | None:
        """When the worker took the last order for it, None before that."""
        if self.stop_taken_at is not None:
            return self.stop_taken_at
        return self.confirmed_at

    def charge(self) -> Size:
        """What the attempt takes of the worker's room."""
        facts = self.facts
        if facts is None:
            return Size()
        cpu = 0 if facts.fills else facts.cpu_millis
        return Size(cpu, facts.memory_mb, facts.accelerators)

    def update(self, row: WorkerRow, now: float) -> None:
        """Take over what the worker listed."""
        self.checkpoint = row.checkpoint
        self.percent = row.percent
        self.load = row.load
        if self.phase is Phase.STARTING:
            self.phase = Phase.RUNNING
        if self.confirmed_at is None:
            self.confirmed_at = now

    def moved(self, now: float) -> 'Attempt':
        """Return the attempt as it runs on another boot of the worker."""
        return replace(
            self,
            phase=Phase.RUNNING,
            ordered_at=now,
            pace=UNKNOWN_PACE,
            stop_taken_at=None,
            is_stop_under_way=False,
        )

    def report(self) -> AttemptReport:
        """Return what an owner is told."""
        return AttemptReport(
            self.task,
            self.number,
            self.checkpoint,
            self.percent,
            self.load,
            self.pace,
            self.facts is not None,
        )


@dataclass
class AttemptTable:
    """Attempts by task, and which attempts may never start any more."""

    by_task: dict[str, Attempt] = field(default_factory=dict)
    _closed_by_task: dict[str, int] = field(default_factory=dict)

    def add(self, attempt: Attempt) -> None:
        """Count an attempt against the worker's room from now on."""
        self.by_task[attempt.task] = attempt

    def listed(self, row: WorkerRow, now: float) -> Attempt:
        """Return the attempt of a listed row, added if it was not known."""
        known = self.by_task.get(row.task)
        if known is None or known.number < row.attempt:
            known = Attempt(
                row.task,
                row.attempt,
                shard_of_task(row.task),
                Phase.RUNNING,
                now,
                pace=UNKNOWN_PACE,
            )
            self.add(known)
        if known.number == row.attempt:
            known.update(row, now)
        return known

    def carry_over(
        self,
        attempts: Iterable[Attempt],
        listing: Listing,
        now: float,
    ) -> None:
        """Keep what is known of attempts that another boot lists as running."""
        listed = {(row.task, row.attempt) for row in listing.rows}
        for attempt in attempts:
            if (attempt.task, attempt.number) in listed:
                self.add(attempt.moved(now))

    def ended(self, task: str, number: int) -> None:
        """An attempt takes no room any more and never starts again."""
        known = self.by_task.get(task)
        if known is not None and known.number <= number:
            self.by_task.pop(task)
        self.close(task, number)

    def drop_unlisted(self, listed: set[str], sent_at: float) -> bool:
        """Drop what was settled before a look and is not in its lists."""
        dropped = [
            attempt
            for attempt in self.by_task.values()
            if attempt.task not in listed
            and attempt.settled_at is not None
            and attempt.settled_at < sent_at
        ]
        for attempt in dropped:
            self.ended(attempt.task, attempt.number)
        return bool(dropped)

    def close(self, task: str, number: int) -> None:
        """Neither this attempt nor an older one of the task starts here."""
        closed = self._closed_by_task
        closed[task] = max(number, closed.pop(task, 0))
        while len(closed) > _MAX_CLOSED:
            closed.pop(next(iter(closed)))

    def is_closed(self, task: str, number: int) -> bool:
        """Whether this attempt may not start here."""
        return number <= self._closed_by_task.get(task, 0)

    @property
    def is_sized(self) -> bool:
        """Whether it is known what each attempt takes."""
        return all(each.facts is not None for each in self.by_task.values())

    def used(self) -> Size:
        """What all attempts take together."""
        total = Size()
        for attempt in self.by_task.values():
            total = total.plus(attempt.charge())
        return total

    def clear(self) -> None:
        """Forget all: another boot of the worker begins."""
        self.by_task.clear()
        self._closed_by_task.clear()
