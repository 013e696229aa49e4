"""Keeps work away from workers that fail everything they start.

Such a worker ends its tasks at once, so it is always the emptiest, draws the
next task and burns the attempts of whole jobs. It shows as failures in a row
of work that succeeds elsewhere. Quarantine holds because a worker that is in
it gets one task at a time, at growing intervals, until one succeeds.
"""

from dataclasses import dataclass, field

from hyssopring.logs import Event, log_event

__all__ = ('WorkerHealth',)

_FAILURES = 3
_FIRST_PAUSE_MS = 10_000.0
_MAX_PAUSE_MS = 300_000.0
_VOUCHED_MS = 600_000.0
# At most this part of the fleet: more is not the workers' fault.
_MAX_PART = 3


@dataclass(slots=True)
class _Record:
    failures: int = 0
    failed_services: set[str] = field(default_factory=set)
    pause_ms: float = 0
    next_probe_at: float = 0


class WorkerHealth:
    """Failures in a row by worker, and which workers are in quarantine."""

    def __init__(self) -> None:
        """Start by trusting every worker."""
        self._record_by_agent: dict[str, _Record] = {}
        self._succeeded_at_by_service: dict[str, float] = {}

    def is_quarantined(self, agent_id: str) -> bool:
        """Whether a worker is in quarantine."""
        record = self._record_by_agent.get(agent_id)
        return record is not None and record.pause_ms > 0

    def is_usable(self, agent_id: str, now: float) -> bool:
        """Whether a worker may be given a task, be it as a probe."""
        record = self._record_by_agent.get(agent_id)
        return record is None or record.next_probe_at <= now

    def on_assigned(self, agent_id: str, now: float) -> None:
        """A task goes to a worker; one in quarantine gets no second one."""
        record = self._record_by_agent.get(agent_id)
        if record is not None and record.pause_ms:
            record.next_probe_at = now + record.pause_ms
            log_event(Event.WORKER_PROBED, agent=agent_id)

    def on_success(self, agent_id: str, service_name: str, now: float) -> None:
        """A task completed, or a keeper has stayed up."""
        self._succeeded_at_by_service[service_name] = now
        record = self._record_by_agent.pop(agent_id, None)
        if record is not None and record.pause_ms:
            log_event(Event.WORKER_RELEASED, agent=agent_id)

    def on_failure(
        self,
        agent_id: str,
        service_name: str,
        now: float,
        fleet_size: int,
    ) -> None:
        """A task failed by itself."""
        record = self._record_by_agent.setdefault(agent_id, _Record())
        record.failures += 1
        record.failed_services.add(service_name)
        if record.pause_ms:
            self._pause(agent_id, record, now)
        elif self._is_to_blame(record, service_name, now):
            quarantined = sum(
                known.pause_ms > 0 for known in self._record_by_agent.values()
            )
            if quarantined < max(1, fleet_size // _MAX_PART):
                self._pause(agent_id, record, now)

    def _is_to_blame(
        self,
        record: _Record,
        service_name: str,
        now: float,
    ) -> bool:
        """Whether it is the worker rather than the work that is at fault."""
        succeeded_at = self._succeeded_at_by_service.get(service_name)
        is_vouched = (
            succeeded_at is not None and now - succeeded_at < _VOUCHED_MS
        )
        is_several = len(record.failed_services) > 1
        return record.failures >= _FAILURES and (is_vouched or is_several)

    def _pause(self, agent_id: str, record: _Record, now: float) -> None:
        record.pause_ms = min(
            max(record.pause_ms * 2, _FIRST_PAUSE_MS),
            _MAX_PAUSE_MS,
        )
        record.next_probe_at = now + record.pause_ms
        log_event(
            Event.WORKER_QUARANTINED,
            agent=agent_id,
            failures=record.failures,
            pause_ms=record.pause_ms,
        )
