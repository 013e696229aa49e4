"""When an agent's process may end, and whether anything runs on after it."""

from typing import Callable, Iterable

from hyssopring.jobs.attempts import AttemptTable
from hyssopring.jobs.messages import AgentLeft, EndReport, JobsMessage
from hyssopring.jobs.worker_monitor import WorkerMonitor

__all__ = ('AgentShutdown',)


class AgentShutdown:
    """The end of one agent's process.

    Attributes:
        is_begun: The process was told to stop, and takes no start any more.
    """

    def __init__(
        self,
        watch: WorkerMonitor,
        table: AttemptTable,
        ends: Callable[[], Iterable[EndReport]],
        send: Callable[[str, JobsMessage], None],
    ) -> None:
        """The process goes on; ``ends`` are those that are not durable."""
        self._watch = watch
        self._table = table
        self._ends = ends
        self._send = send
        self._has_left = False
        self.is_begun = False

    @property
    def can_exit(self) -> bool:
        """Whether the process may end.

        Nobody else can tell when the hold of a worker that answers no more is
        over. Until then owners would have to count from this agent's grant.
        """
        return self._has_left or self._watch.is_answering

    def announce(self, entries: Iterable[str]) -> None:
        """Tell entries, once, when surely nothing runs here any more."""
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
