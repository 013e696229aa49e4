"""Quarantine workers that fail every task they start.

Tasks on such a worker end at once, so it always has the most free resources,
attracts the next task and uses up the attempts of whole jobs. It is detected
by consecutive failures of tasks that succeed elsewhere. A quarantined worker
gets one probe task at a time, at growing intervals, until one succeeds.
"""

from dataclasses import dataclass, field

from hyssopring.logs import Event, log_event

__all__ = ('WorkerHealth',)

_MIN_FAILURES = 3
_INITIAL_PAUSE_MS = 10_000.0
_MAX_PAUSE_MS = 300_000.0
_RECENT_SUCCESS_MS = 600_000.0
# At most a third of the fleet is quarantined: if more workers fail, the cause
# is not the workers.
_FLEET_DIVISOR = 3


@dataclass(slots=True)
class _WorkerRecord:
    """Consecutive failures of one worker.

    Attributes:
        failures: Number of failures since the last success.
        failed_services: Services of the failed tasks.
        pause_ms: Interval between probes, 0 outside quarantine.
        next_probe_at: Clock time in milliseconds of the next probe.
    """

    failures: int = 0
    failed_services: set[str] = field(default_factory=set)
    pause_ms: float = 0
    next_probe_at: float = 0


class WorkerHealth:
    """Track consecutive failures and quarantine by worker."""

    def __init__(self) -> None:
        """Start with every worker usable."""
        self._record_by_agent: dict[str, _WorkerRecord] = {}
        self._succeeded_at_by_service: dict[str, float] = {}

    def is_quarantined(self, agent_id: str) -> bool:
        """Whether a worker is in quarantine."""
        record = self._record_by_agent.get(agent_id)
        return record is not None and record.pause_ms > 0

    def is_usable(self, agent_id: str, now_ms: float) -> bool:
        """Whether a worker may get a task, possibly as a probe."""
        record = self._record_by_agent.get(agent_id)
        return record is None or record.next_probe_at <= now_ms

    def on_assigned(self, agent_id: str, now_ms: float) -> None:
        """Handle an assignment; postpone a quarantined worker's next probe."""
        record = self._record_by_agent.get(agent_id)
        if record is not None and record.pause_ms:
            record.next_probe_at = now_ms + record.pause_ms
            log_event(Event.WORKER_PROBED, agent=agent_id)

    def on_success(
        self, agent_id: str, service_name: str, now_ms: float
    ) -> None:
        """Handle a completed task; end the worker's quarantine."""
        self._succeeded_at_by_service[service_name] = now_ms
        record = self._record_by_agent.pop(agent_id, None)
        if record is not None and record.pause_ms:
            log_event(Event.WORKER_RELEASED, agent=agent_id)

    def on_failure(
        self,
        agent_id: str,
        service_name: str,
        now_ms: float,
        fleet_size: int,
    ) -> None:
        """Handle a failed task; quarantine the worker if it is at fault.

        Args:
            agent_id: Agent of the worker.
            service_name: Service of the failed task.
            now_ms: Clock time in milliseconds.
            fleet_size: Number of connected agents.
        """
        record = self._record_by_agent.setdefault(agent_id, _WorkerRecord())
        record.failures += 1
        record.failed_services.add(service_name)
        if record.pause_ms:
            self._extend_quarantine(agent_id, record, now_ms)
        elif self._is_worker_at_fault(record, service_name, now_ms):
            quarantined_count = sum(
                other.pause_ms > 0 for other in self._record_by_agent.values()
            )
            if quarantined_count < max(1, fleet_size // _FLEET_DIVISOR):
                self._extend_quarantine(agent_id, record, now_ms)

    def _is_worker_at_fault(
        self,
        record: _WorkerRecord,
        service_name: str,
        now_ms: float,
    ) -> bool:
        """Whether the failures are due to the worker rather than the task."""
        succeeded_at = self._succeeded_at_by_service.get(service_name)
        has_recent_success = (
            succeeded_at is not None
            and now_ms - succeeded_at < _RECENT_SUCCESS_MS
        )
        has_several_services = len(record.failed_services) > 1
        return record.failures >= _MIN_FAILURES and (
            has_recent_success or has_several_services
        )

    def _extend_quarantine(
        self, agent_id: str, record: _WorkerRecord, now_ms: float
    ) -> None:
        record.pause_ms = min(
            max(record.pause_ms * 2, _INITIAL_PAUSE_MS),
            _MAX_PAUSE_MS,
        )
        record.next_probe_at = now_ms + record.pause_ms
        log_event(
            Event.WORKER_QUARANTINED,
            agent=agent_id,
            failures=record.failures,
            pause_ms=record.pause_ms,
        )
