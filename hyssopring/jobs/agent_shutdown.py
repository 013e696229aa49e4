"""Graceful shutdown of an agent's process."""

from typing import Callable, Iterable

from hyssopring.jobs.attempts import AttemptTable
from hyssopring.jobs.messages import AgentLeft, EndReport, JobsMessage
from hyssopring.jobs.worker_monitor import WorkerMonitor

__all__ = ('AgentShutdown',)


class AgentShutdown:
    """Notifies entries when the agent shuts down and nothing runs any more.

    Attributes:
        is_begun: Whether the shutdown has begun, and no start is accepted.
    """

    def __init__(
        self,
        watch: WorkerMonitor,
        table: AttemptTable,
        ends: Callable[[], Iterable[EndReport]],
        send: Callable[[str, JobsMessage], None],
    ) -> None:
        """Begin in normal operation.

        Args:
            ends: Returns the ends that are not durable yet.
            send: Sends a message to the entry of the given ID.
        """
        self._watch = watch
        self._table = table
        self._ends = ends
        self._send = send
        self._has_left = False
        self.is_begun = False

    @property
    def can_exit(self) -> bool:
        """Whether the process may exit.

        Only this agent knows when the hold of a silent worker expires. If it
        exited before, owners would have to wait for its longer grant to expire.
        """
        return self._has_left or self._watch.is_answering

    def announce(self, entries: Iterable[str]) -> None:
        """Notify entries, once, when nothing can run here any more."""
        if not self.is_begun or self._has_left:
            return
        watch = self._watch
        is_free = watch.announced.is_leaving or watch.has_lapsed
        is_idle = is_free and not self._table.by_task
        self._has_left = is_idle or watch.has_ended
        if self._has_left:
            left = AgentLeft(watch.boot, list(self._ends()))
            for entry_id in entries:
                self._send(entry_id, left)
