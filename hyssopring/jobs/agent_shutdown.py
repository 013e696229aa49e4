"""Graceful shutdown of an agent's process."""

from typing import Callable, Iterable

from hyssopring.jobs.attempts import AttemptTable
from hyssopring.jobs.messages import AgentLeft, EndReport, JobsMessage
from hyssopring.jobs.roster_withdrawal import RosterWithdrawal
from hyssopring.jobs.worker_monitor import WorkerMonitor

__all__ = ('AgentShutdown',)


class AgentShutdown:
    """Announces the departure of an agent on whose worker nothing runs.

    An entry that takes a shard later may not have received the announcement.
    The process therefore announces itself to every entry that it reaches, until
    no roster lists it.

    Attributes:
        has_begun: Whether the shutdown has begun, and no start is accepted.
    """

    def __init__(
        self,
        monitor: WorkerMonitor,
        table: AttemptTable,
        ends: Callable[[], Iterable[EndReport]],
        send: Callable[[str, JobsMessage], None],
        rosters: RosterWithdrawal,
    ) -> None:
        """Begin in normal operation.

        Args:
            ends: Returns the ends that are not durable yet.
            send: Sends a message to the entry of the given ID.
            rosters: Withdraws this agent from the shards' rosters.
        """
        self._monitor = monitor
        self._table = table
        self._ends = ends
        self._send = send
        self._rosters = rosters
        self._is_announced = False
        self.has_begun = False

    @property
    def can_exit(self) -> bool:
        """Whether the process may exit.

        Only this agent knows when the hold of a silent worker expires, and when
        the last task of a leaving one has ended. If it exited before, owners
        would have to wait for its longer grant to expire. Ends that are not
        durable would be lost with it, and their tasks repeated.
        """
        if self._has_left:
            return self._rosters.is_unlisted and not any(self._ends())
        monitor = self._monitor
        return monitor.is_answering and not monitor.announced.is_leaving

    @property
    def _has_left(self) -> bool:
        """Whether nothing runs here, and nothing will."""
        monitor = self._monitor
        is_worker_leaving_or_lost = (
            monitor.announced.is_leaving or monitor.is_hold_expired
        )
        has_attempts = bool(self._table.by_task) or self._table.is_partial
        is_idle = is_worker_leaving_or_lost and not has_attempts
        return self.has_begun and (is_idle or monitor.has_deregistered)

    def tick(self, entries: Iterable[str]) -> None:
        """Announce a departure and withdraw from the rosters; call regularly.

        Args:
            entries: The connected entries.
        """
        if not self._has_left:
            self._is_announced = False
            return
        if not self._is_announced:
            self._is_announced = True
            for entry_id in entries:
                self.announce_to(entry_id)
        self._rosters.tick()

    def announce_to(self, entry_id: str) -> None:
        """Announce the departure to an entry, if nothing runs any more."""
        if self._has_left:
            notice = AgentLeft(self._monitor.boot, list(self._ends()))
            self._send(entry_id, notice)
