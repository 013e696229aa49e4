"""Sessions with entries: when to send heartbeats and complete reports."""

from dataclasses import dataclass, field
from typing import Callable, Final, Iterable

from hyssopring.agent.tasks import TaskSupervisor
from hyssopring.clock import Clock
from hyssopring.membership import silence_timeout_ms
from hyssopring.protocol.messages import LeaseGrant, TaskReport

__all__ = (
    'EntrySession',
    'EntrySessions',
    'HEARTBEAT_INTERVAL_MS',
    'RoutingState',
)

# The default and shortest interval; an entry may ask for a longer one.
HEARTBEAT_INTERVAL_MS: Final = 1000.0
_MAX_UNACKED_HEARTBEATS: Final = 16
# Time for an entry to receive that the agent leaves it.
_CLOSE_DELAY_MS: Final = 3000.0
# Interval of complete reports of a shard under the same epoch.
_REPORT_INTERVAL_MS: Final = 10_000.0

# Values by which an entry routes or places; only compared for equality.
RoutingState = tuple[object, ...]


@dataclass(frozen=True, slots=True)
class _SentReport:
    """The epoch and time of the last complete report of a shard."""

    epoch: int
    at: float


@dataclass(slots=True)
class EntrySession:
    """One connection to an entry.

    Attributes:
        sent_at_by_sequence: When each unacknowledged heartbeat was sent.
        reported_by_shard: The last complete report of each shard.
        heartbeat_interval_ms: The interval that the entry asked for.
        due_at: When to send the next heartbeat.
        sent_routing_state: The routing state at the last heartbeat.
        leaving_since: When the agent began to leave the entry, which must
            send no new work from then on; None if it is not leaving.
    """

    sent_at_by_sequence: dict[int, float] = field(default_factory=dict)
    reported_by_shard: dict[int, _SentReport] = field(default_factory=dict)
    heartbeat_interval_ms: float = HEARTBEAT_INTERVAL_MS
    due_at: float = 0
    sent_routing_state: RoutingState = ()
    leaving_since: float | None = None

    def due_report(
        self,
        tasks: TaskSupervisor,
        grant: LeaseGrant,
        now_ms: float,
    ) -> TaskReport | None:
        """Return the complete report of a shard's tasks, if it is due.

        It is due at once for a new epoch, then at regular intervals. A planner
        ignores reports while its lease is unconfirmed; with a single report it
        could wait forever for an assigned task whose start was lost.
        """
        known = self.reported_by_shard.get(grant.shard)
        is_same = known is not None and known.epoch == grant.epoch
        if (
            known is not None
            and is_same
            and now_ms < known.at + _REPORT_INTERVAL_MS
        ):
            return None
        report = tasks.full_report(grant.shard, grant.epoch)
        if report is not None:
            self.reported_by_shard[grant.shard] = _SentReport(
                grant.epoch, now_ms
            )
        return report

    def record_heartbeat(
        self, sequence: int, now_ms: float, routing_state: RoutingState
    ) -> None:
        """Record a heartbeat that is being sent."""
        self.sent_routing_state = routing_state
        self.due_at = now_ms + self.heartbeat_interval_ms
        self.sent_at_by_sequence[sequence] = now_ms
        while len(self.sent_at_by_sequence) > _MAX_UNACKED_HEARTBEATS:
            self.sent_at_by_sequence.pop(min(self.sent_at_by_sequence))

    def record_ack(self, sequence: int, next_ms: float) -> float | None:
        """Schedule the next heartbeat and return when this one was sent.

        Args:
            sequence: The acknowledged heartbeat.
            next_ms: The interval that the entry asks for.

        Returns:
            None if the heartbeat was not sent in this session: an
            acknowledgement for an older connection grants no lease.
        """
        sent_at = self.sent_at_by_sequence.pop(sequence, None)
        if sent_at is not None:
            self.heartbeat_interval_ms = max(next_ms, HEARTBEAT_INTERVAL_MS)
            self.due_at = sent_at + self.heartbeat_interval_ms
        return sent_at


class EntrySessions:
    """The sessions by entry id."""

    def __init__(self, clock: Clock) -> None:
        """Start without sessions."""
        self._clock = clock
        self._session_by_entry: dict[str, EntrySession] = {}

    def open(self, entry_id: str) -> None:
        """Begin a session, which replaces an older one."""
        self._session_by_entry[entry_id] = EntrySession()

    def close(self, entry_id: str) -> bool:
        """End a session; return False if there was none."""
        return self._session_by_entry.pop(entry_id, None) is not None

    def get(self, entry_id: str) -> EntrySession | None:
        """Return the session with an entry, None if there is none."""
        return self._session_by_entry.get(entry_id)

    def silence_timeout_ms(self, entry_id: str) -> float:
        """Return the time in ms after which a connection counts as silent."""
        session = self.get(entry_id)
        heartbeat_interval_ms = (
            HEARTBEAT_INTERVAL_MS
            if session is None
            else session.heartbeat_interval_ms
        )
        return silence_timeout_ms(heartbeat_interval_ms)

    def due_entries(self, routing_state: RoutingState) -> list[str]:
        """Return the entries to send a heartbeat to now.

        A heartbeat is due after the interval that the entry asked for, or at
        once if the routing state has changed, for example because a backend
        server is leaving.
        """
        # Called once per HEARTBEAT_INTERVAL_MS: rounds to the nearest call.
        due_before = self._clock.now() + HEARTBEAT_INTERVAL_MS / 2
        return [
            entry_id
            for entry_id, session in self._session_by_entry.items()
            if session.due_at < due_before
            or session.sent_routing_state != routing_state
        ]

    def mark_leaving(self, surplus: Iterable[str]) -> list[str]:
        """Mark the surplus entries as leaving; return the new ones of them."""
        marked = []
        for entry_id, session in self._session_by_entry.items():
            if entry_id not in surplus:
                session.leaving_since = None
            elif session.leaving_since is None:
                session.leaving_since = self._clock.now()
                marked.append(entry_id)
        return marked

    def closable_entries(
        self, has_open_calls: Callable[[str], bool]
    ) -> list[str]:
        """Return the entries marked long enough ago that have no open call."""
        marked_before = self._clock.now() - _CLOSE_DELAY_MS
        return [
            entry_id
            for entry_id, session in self._session_by_entry.items()
            if session.leaving_since is not None
            and session.leaving_since < marked_before
            and not has_open_calls(entry_id)
        ]
