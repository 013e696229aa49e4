"""An agent with its worker and the attempts placed there, as an owner sees it.

Times are milliseconds on the entry's clock unless noted.
"""

from dataclasses import dataclass, field
from typing import Final

from hyssopring.jobs.messages import AttemptReport, WorkerReport
from hyssopring.jobs.model import Size, Step, TaskName
from hyssopring.jobs.times import GRANT_EXPIRY_MS, HOLD_EXPIRY_MS

__all__ = ('PlacedAttempt', 'Worker')

# A worker that has not answered its agent for this long gets no new task.
_SILENT_MS: Final = 1500
_UNMEASURED_REPORTS: Final = 2
# Below this percentage of full pace a best-effort task counts as slowed down,
# and its usage does not show what it would use at full pace.
_SLOW_PACE: Final = 40
_FULL_PACE: Final = 100
# A task counts as throttled below this percentage; its run time is then not
# that of a task at full pace.
_MIN_FULL_PACE: Final = 90
# The first measurements of a best-effort task may cover only a part of their
# interval; it counts with at least this share of its request.
_MIN_USAGE_SHARE: Final = 0.5


@dataclass(slots=True)
class PlacedAttempt:
    """An attempt whose start was sent to an agent and that may be running.

    Attributes:
        boot: The worker's incarnation that it was sent to or that runs it.
        start_index: The position of its start order on the agent's
            connection; 0 if it was sent on an earlier connection, or by a
            former owner.
        placed_at: When it was placed.
        percent: Progress, as the task reports it.
        load: See ``AttemptReport``.
        pace: Allowed percentage of its processor time; negative if unknown.
        report_count: The number of reports that included it.
        slow_since: Since when its pace has been low, None if it is not.
        was_throttled: Whether its pace has ever been reduced or unknown.
        observed_since: When a report first included it.
        observed_ms: How long from then on its worker has been answering.
    """

    name: TaskName
    attempt: int
    step: Step
    boot: str
    start_index: int
    placed_at: float
    checkpoint: str = ''
    percent: int = 0
    load: int = 0
    pace: int = 100
    report_count: int = 0
    slow_since: float | None = None
    is_stopping: bool = False
    observed_since: float | None = None
    observed_ms: float = 0
    was_throttled: bool = False

    @property
    def has_measured_usage(self) -> bool:
        """Whether reported measurements cover its effect on other tasks.

        Measurements cover 500 ms and are reported as often.
        """
        return self.report_count > _UNMEASURED_REPORTS

    @property
    def cpu_used_millis(self) -> float:
        """Thousandths of a core that a best-effort task uses now.

        Tasks use less than they request, some by a third. Counting requests
        would leave a worker's processors idle for a quarter of the time.
        """
        requested_millis = (
            self.step.size.cpu_millis * max(self.pace, 0) / _FULL_PACE
        )
        if self.has_measured_usage:
            return max(self.load, _MIN_USAGE_SHARE * requested_millis)
        return requested_millis

    @property
    def cpu_at_full_pace(self) -> float:
        """Thousandths of a core that a best-effort task needs at full pace."""
        requested_millis = self.step.size.cpu_millis
        if self.has_measured_usage and self.pace >= _SLOW_PACE:
            return min(
                requested_millis, self.cpu_used_millis * _FULL_PACE / self.pace
            )
        return requested_millis

    def slow_ms(self, now_ms: float) -> float:
        """Return for how many milliseconds its pace has been low."""
        return 0 if self.slow_since is None else now_ms - self.slow_since

    def update(
        self, reported: AttemptReport, now_ms: float, silent_ms: float
    ) -> None:
        """Apply the attempt's part of a report.

        Args:
            silent_ms: How long the worker has not answered its agent.
        """
        self.report_count += 1
        if self.observed_since is None:
            self.observed_since = now_ms
        self.observed_ms = now_ms - silent_ms - self.observed_since
        if reported.pace >= _SLOW_PACE:
            self.slow_since = None
        elif self.slow_since is None:
            self.slow_since = now_ms
        if reported.pace < _MIN_FULL_PACE:
            self.was_throttled = True
        self.percent = reported.percent
        self.load = reported.load
        self.pace = reported.pace


@dataclass
class Worker:
    """An agent and its worker.

    Attributes:
        report: The agent's newest report, None before the first one.
        reported_at: When that report arrived.
        granted_at: When its agent last got a grant from this owner, or the
            latest time at which a former owner may have sent one.
        connection: This entry's ID of the agent's connection.
        connected_at: When that connection was made.
        starts_sent: The number of start orders sent on that connection.
        disconnected_at: When its last connection was closed.
        refused_at: When it last refused a start, None if never.
        awaits_grant: Whether it gets a grant once its row sets no expiry.
        awaits_check: Whether a report was not applied in full, as the
            ownership was not confirmed since the agent has connected.
    """

    agent_id: str
    zone: str
    is_connected: bool = False
    report: WorkerReport | None = None
    reported_at: float = 0
    granted_at: float = 0
    connection: str = ''
    connected_at: float = 0
    starts_sent: int = 0
    refused_at: float | None = None
    awaits_grant: bool = False
    awaits_check: bool = False
    disconnected_at: float = 0
    placed_by_task: dict[str, PlacedAttempt] = field(default_factory=dict)

    @property
    def boot(self) -> str:
        """ID of the worker's incarnation, empty while none is known."""
        return self.report.boot if self.report else ''

    @property
    def service(self) -> str:
        """The service that the worker belongs to."""
        return self.report.service if self.report else ''

    @property
    def rack(self) -> str:
        """The rack's label, which comes last; the first is the VM's kind."""
        labels = self.report.labels if self.report else []
        return labels[-1] if labels else ''

    @property
    def capacity(self) -> Size:
        """Total resources of the worker."""
        report = self.report
        if report is None:
            return Size()
        return Size(
            report.cpu_millis,
            report.memory_mb,
            report.accelerators,
        )

    def free(self) -> Size:
        """Return the resources not used by any known attempt."""
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
        return self.capacity.minus(used)

    def best_effort_tasks(self) -> list[PlacedAttempt]:
        """Return the best-effort tasks placed there."""
        return [
            placed
            for placed in self.placed_by_task.values()
            if placed.step.fills
        ]

    def latency_critical_tasks(self) -> list[PlacedAttempt]:
        """Return the keepers with a latency target placed there."""
        return [
            placed
            for placed in self.placed_by_task.values()
            if placed.step.target_ms
        ]

    def task_counts(self) -> tuple[int, int]:
        """Return how many keepers, and how many tasks, it would lose."""
        placed = self.placed_by_task.values()
        return sum(each.step.is_keeper for each in placed), len(placed)

    def has_received(self, placed: PlacedAttempt, report: WorkerReport) -> bool:
        """Return whether the agent had received a start when it reported.

        A start that it had not received may still arrive. A report counts the
        starts of one connection only.
        """
        is_counted = report.connection == self.connection
        return is_counted and placed.start_index <= report.orders

    def accepts_tasks(self) -> bool:
        """Return whether a new task may be sent there now."""
        report = self.report
        if report is None or not report.boot or report.is_leaving:
            return False
        return self.is_connected and report.silent_ms < _SILENT_MS

    @property
    def grant_expires_at(self) -> float:
        """When the last grant from this owner has expired for certain."""
        return self.granted_at + GRANT_EXPIRY_MS

    def is_lost(self, now_ms: float) -> bool:
        """Return whether this owner's last grant has expired.

        Then no attempt placed there runs, unless a successor of this owner has
        renewed the agent's lease.
        """
        return now_ms > self.grant_expires_at

    @property
    def silent_since(self) -> float | None:
        """Since when the worker counts as silent, None if it does not.

        The agent does not extend its hold meanwhile, so grants have no effect.
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
    def is_without_worker(self) -> bool:
        """Whether the agent is connected and nothing can run on its VM.

        No worker has answered for longer than any hold lasts, including one
        set by a former agent, and no start is in flight. A hold is extended
        until the worker counts as silent, and that request may have arrived,
        so the time until then is added.
        """
        report = self.report
        if not self.is_connected or report is None or self.placed_by_task:
            return False
        idle_after_ms = HOLD_EXPIRY_MS + _SILENT_MS
        return not report.attempts and report.silent_ms >= idle_after_ms
