"""Which start orders an agent accepts, and which accepted ones it sends."""

from hyssopring.clock import Clock
from hyssopring.jobs.agent_leases import AgentLeases
from hyssopring.jobs.agent_shutdown import AgentShutdown
from hyssopring.jobs.attempts import Attempt, AttemptTable
from hyssopring.jobs.cancelled_jobs import CancelledJobs
from hyssopring.jobs.messages import (
    CANCELLED,
    EVACUATED,
    RUNNING_HERE,
    StartOrder,
)
from hyssopring.jobs.own_zone import OwnZone
from hyssopring.jobs.worker_monitor import WorkerMonitor

__all__ = ('StartRules',)


class StartRules:
    """Checks start orders against what one agent knows."""

    def __init__(
        self,
        clock: Clock,
        monitor: WorkerMonitor,
        table: AttemptTable,
        leases: AgentLeases,
        own_zone: OwnZone,
        cancelled_jobs: CancelledJobs,
    ) -> None:
        """Check against the state of one worker and its agent."""
        self._clock = clock
        self._monitor = monitor
        self._table = table
        self._leases = leases
        self._own_zone = own_zone
        self._cancelled_jobs = cancelled_jobs

    def refusal_reason(
        self, order: StartOrder, entry_id: str, shutdown: AgentShutdown
    ) -> str:
        """Return why an order is refused; empty if it is accepted.

        Args:
            order: The order.
            entry_id: The entry that sent it.
            shutdown: State of the agent's shutdown.
        """
        if not self._leases.observe_epoch(order.shard, order.reign, entry_id):
            return 'deposed'
        if order.boot != self._monitor.boot:
            return 'boot'
        if self._monitor.announced.is_leaving or shutdown.has_begun:
            return 'leaving'
        if self._leases.expiry_of(order.shard) <= self._clock.now():
            return 'no-grant'
        reason = self._table.refusal_reason(order.facts, self._monitor.capacity)
        # A task that runs here must not count as refused: it would start
        # elsewhere as well.
        if reason == RUNNING_HERE:
            return reason
        return self._ban_on(order.facts.task) or reason

    def may_start(self, attempt: Attempt) -> bool:
        """Return whether an accepted start may still be sent."""
        return not (
            self._ban_on(attempt.task)
            or self._leases.has_lapsed(attempt.shard, attempt.lease_term)
        )

    def _ban_on(self, task: str) -> str:
        """Return why a task may not start whoever orders it, else empty."""
        if self._cancelled_jobs.has_task(task):
            return CANCELLED
        return EVACUATED if self._own_zone.is_evacuated else ''
