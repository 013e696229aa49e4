"""Graceful shutdown of an agent's process."""

from typing import Callable, Iterable

from hyssopring.jobs.attempts import AttemptTable
from hyssopring.jobs.messages import AgentLeft, EndReport, JobsMessage
from hyssopring.jobs.worker_monitor import WorkerMonitor

__all__ = ('AgentShutdown',)


class AgentShutdown:
    """Notifies entries when the agent shuts down and nothing runs any more.

    Attributes:
        has_begun: Whether the shutdown has begun, and no start is accepted.
    """

    def __init__(
        self,
        monitor: WorkerMonitor,
        table: AttemptTable,
        ends: Callable[[], Iterable[EndReport]],
        send: Callable[[str, JobsMessage], None],
    ) -> None:
        """Begin in normal operation.

        Args:
            ends: Returns the ends that are not durable yet.
            send: Sends a message to the entry of the given ID.
        """
        self._monitor = monitor
        self._table = table
        self._ends = ends
        self._send = send
        self._has_left = False
        self.has_begun = False

    @property
    def can_exit(self) -> bool:
        """Whether the process may exit.

        Only this agent knows when the hold of a silent worker expires. If it
        exited before, owners would have to wait for its longer grant to expire.
        """
        return self._has_left or self._monitor.is_answering

    def announce(self, entries: Iterable[str]) -> None:
        """Notify entries, once, when nothing can run here any more."""
        if not self.has_begun or self._has_left:
            return
        monitor = self._monitor
        is_worker_leaving_or_lost = (
            monitor.announced.is_leaving or monitor.is_hold_expired
        )
        is_idle = is_worker_leaving_or_lost and not self._table.by_task
        self._has_left = is_idle or monitor.has_deregistered
        if self._has_left:
            notice = AgentLeft(monitor.boot, list(self._ends()))
            for entry_id in entries:
                self._send(entry_id, notice)
