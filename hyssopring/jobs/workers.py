"""One agent with its worker, and the attempts that were ordered there."""

from dataclasses import dataclass, field
from typing import Final

from hyssopring.jobs.messages import AttemptReport, WorkerReport
from hyssopring.jobs.model import Size, Step, TaskName
from hyssopring.jobs.times import HOLD_EXPIRY_MS, GRANT_EXPIRY_MS

__all__ = ('PlacedAttempt', 'Worker')

# A worker that has not answered its agent for this long gets no new tasks.
_SILENT_MS: Final = 1500
_REPORTS_TO_SHOW: Final = 2
# Below this share of full pace a filler is slow, and what it uses says little
# of what it would use.
_SLOW_PACE: Final = 40
_FULL_PACE: Final = 100
# The first figures of a filler may cover a part of their time only: it counts
# with this share of what it asks for at the least.
_LEAST_USE: Final = 0.5


@dataclass(slots=True)
class PlacedAttempt:
    """An attempt that was ordered, and may run.

    Attributes:
        start_index: The place of its start on the agent's connection; 0 when it
            was sent on an earlier one.
        reports: How many reports have named it.
        slow_since: Since when its pace is low.
        seen_since: When a report named it first.
        observed_ms: For how long from then on its worker has answered.
    """

    name: TaskName
    number: int
    step: Step
    boot: str
    start_index: int
    placed_at: float
    checkpoint: str = ''
    percent: int = 0
    load: int = 0
    pace: int = 100
    reports: int = 0
    slow_since: float | None = None
    is_stopping: bool = False
    seen_since: float | None = None
    observed_ms: float = 0

    @property
    def has_measured_usage(self) -> bool:
        """Whether what it does to tasks beside it may show in their figures.

        They are for half a second, and reported as often.
        """
        return self.reports > _REPORTS_TO_SHOW

    @property
    def cpu_in_use(self) -> float:
        """Thousandths of a core that a filler uses at its pace.

        Tasks use less than they ask for, some a third less. Counted by what
        they ask for, a worker whose processors are idle for a quarter of the
        time takes no more of them.
        """
        asked = self.step.size.cpu_millis * max(self.pace, 0) / _FULL_PACE
        if self.has_measured_usage:
            return max(self.load, _LEAST_USE * asked)
        return asked

    @property
    def cpu_at_full_pace(self) -> float:
        """Thousandths of a core that a filler would use at full pace."""
        asked = self.step.size.cpu_millis
        if self.has_measured_usage and self.pace >= _SLOW_PACE:
            return min(asked, self.cpu_in_use * _FULL_PACE / self.pace)
        return asked

    def slow_ms(self, now: float) -> float:
        """For how long the attempt has been slowed down a lot."""
        return 0 if self.slow_since is None else now - self.slow_since

    def update(self, told: AttemptReport, now: float, silent_ms: float) -> None:
        """Take over what a report says of the attempt.

        Args:
            silent_ms: For how long the worker had not answered its agent.
        """
        self.reports += 1
        if self.seen_since is None:
            self.seen_since = now
        self.observed_ms = now - silent_ms - self.seen_since
        if told.pace >= _SLOW_PACE:
            self.slow_since = None
        elif self.slow_since is None:
            self.slow_since = now
        self.percent = told.percent
        self.load = told.load
        self.pace = told.pace


@dataclass
class Worker:
    """One agent and its worker.

    Attributes:
        granted_at: When its agent was last granted, by this owner or by a
            former one as far as can be known.
        connection: This entry's name for the agent's connection.
        orders: How many starts were sent on it.
        disconnected_at: When its last connection was lost.
        refused_at: When it last did not take a start, None if never.
    """

    agent_id: str
    zone: str
    is_connected: bool = False
    report: WorkerReport | None = None
    reported_at: float = 0
    granted_at: float = 0
    connection: str = ''
    starts_sent: int = 0
    refused_at: float | None = None
    disconnected_at: float = 0
    placed_by_task: dict[str, PlacedAttempt] = field(default_factory=dict)

    @property
    def boot(self) -> str:
        """The worker's life, empty while none is known."""
        return self.report.boot if self.report else ''

    @property
    def service(self) -> str:
        """The service that the worker belongs to."""
        return self.report.service if self.report else ''

    @property
    def rack(self) -> str:
        """The rack's label; the kind comes first among the labels."""
        labels = self.report.labels if self.report else []
        return labels[-1] if labels else ''

    @property
    def room(self) -> Size:
        """All that the worker has."""
        report = self.report
        if report is None:
            return Size()
        return Size(
            report.cpu_millis,
            report.memory_mb,
            report.accelerators,
        )

    def free(self) -> Size:
        """What is left beside all attempts that are known here."""
        report = self.report
        if report is None:
            return Size()
        used = Size(
            report.foreign_cpu,
            report.foreign_memory,
            report.foreign_accelerators,
        )
        for placed in self.placed_by_task.values():
            used = used.plus(placed.step.reserved_size)
        return self.room.minus(used)

    def best_effort_tasks(self) -> list[PlacedAttempt]:
        """The fillers that were ordered there."""
        return [
            placed
            for placed in self.placed_by_task.values()
            if placed.step.fills
        ]

    def latency_critical_tasks(self) -> list[PlacedAttempt]:
        """The keepers with a target that were ordered there."""
        return [
            placed
            for placed in self.placed_by_task.values()
            if placed.step.target_ms
        ]

    def exposure(self) -> tuple[int, int]:
        """How many tasks would go with the worker: keepers, and all."""
        placed = self.placed_by_task.values()
        return sum(each.step.is_keeper for each in placed), len(placed)

    def has_received(self, placed: PlacedAttempt, report: WorkerReport) -> bool:
        """Whether the agent had taken an attempt's order when it reported.

        An order that it had not taken may still come. A report counts the
        orders of one connection, and says nothing of another one's.
        """
        is_counted = report.connection == self.connection
        return is_counted and placed.start_index <= report.orders

    def accepts_tasks(self) -> bool:
        """Whether a new task may be sent there now."""
        report = self.report
        if report is None or not report.boot or report.is_leaving:
            return False
        return self.is_connected and report.silent_ms < _SILENT_MS

    def is_lost(self, now: float) -> bool:
        """Whether nothing that was ordered there can run any more."""
        return now - self.granted_at > GRANT_EXPIRY_MS

    @property
    def silent_since(self) -> float | None:
        """Since when the worker counts as silent, None if it does not.

        Its hold is not extended meanwhile, so that a grant is of no use.
        """
        report = self.report
        if report is None or report.silent_ms < _SILENT_MS:
            return None
        return self.reported_at - report.silent_ms + _SILENT_MS

    @property
    def has_silent_worker(self) -> bool:
        """Whether the worker has not answered its agent for some time."""
        return self.silent_since is not None

    @property
    def has_no_worker(self) -> bool:
        """Whether the agent is here, and surely nothing runs beside it.

        No worker has answered it for longer than a hold lasts, also one of
        an agent before it, and no order is under way to it. Holds are extended
        while a worker has been silent for a moment only: such a call may have
        arrived, so that this moment counts as well.
        """
        report = self.report
        if not self.is_connected or report is None or self.placed_by_task:
            return False
        unheld_ms = HOLD_EXPIRY_MS + _SILENT_MS
        return not report.attempts and report.silent_ms >= unheld_ms
