"""The agent's side of each connection to an entry: beats and pace."""

from dataclasses import dataclass, field
from typing import Callable, Final, Iterable

from hyssopring.agent.tasks import TaskSupervisor
from hyssopring.clock import Clock
from hyssopring.membership import silence_timeout_ms
from hyssopring.protocol.messages import LeaseGrant, TaskReport

__all__ = ('EntrySession', 'EntrySessions', 'HEARTBEAT_MS', 'News')

HEARTBEAT_MS: Final = 1000.0
_REMEMBERED_BEATS: Final = 16
_LEAVING_MS: Final = 3000.0
_REPORT_AGAIN_MS: Final = 10_000.0

News = tuple[object, ...]


@dataclass(frozen=True, slots=True)
class _Reported:
    epoch: int
    at: float


@dataclass(slots=True)
class EntrySession:
    """One connection to an entry.

    Attributes:
        beat_ms: Time between heartbeats that the entry asked for.
        told: What the last heartbeat said that entries route or place by.
        leaving_since: Since when the entry is told to send nothing new.
    """

    sent_at_by_sequence: dict[int, float] = field(default_factory=dict)
    reported_by_shard: dict[int, _Reported] = field(default_factory=dict)
    beat_ms: float = HEARTBEAT_MS
    due_at: float = 0
    told: News = ()
    leaving_since: float | None = None

    def due_report(
        self,
        tasks: TaskSupervisor,
        grant: LeaseGrant,
        now: float,
    ) -> TaskReport | None:
        """Return the list of all tasks of a shard, if it is due.

        At once for a new epoch, then again and again: a planner drops what
        comes while its lease is in doubt, and would otherwise wait for good
        for an assigned task whose start never reached this agent.
        """
        known = self.reported_by_shard.get(grant.shard)
        is_same = known is not None and known.epoch == grant.epoch
        if known is not None and is_same and now < known.at + _REPORT_AGAIN_MS:
            return None
        report = tasks.full_report(grant.shard, grant.epoch)
        if report is not None:
            self.reported_by_shard[grant.shard] = _Reported(grant.epoch, now)
        return report

    def beat(self, sequence: int, now: float, news: News) -> None:
        """A heartbeat is being sent."""
        self.told = news
        self.due_at = now + self.beat_ms
        self.sent_at_by_sequence[sequence] = now
        while len(self.sent_at_by_sequence) > _REMEMBERED_BEATS:
            self.sent_at_by_sequence.pop(min(self.sent_at_by_sequence))

    def acked(self, sequence: int, next_ms: float) -> float | None:
        """Return when the heartbeat was sent, None if it was not on here.

        A new connection starts with none, so an ack that was meant for an
        older one grants nothing.
        """
        sent_at = self.sent_at_by_sequence.pop(sequence, None)
        if sent_at is not None:
            self.beat_ms = max(next_ms, HEARTBEAT_MS)
            self.due_at = sent_at + self.beat_ms
        return sent_at


class EntrySessions:
    """The sessions by entry id."""

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self._clock = clock
        self._session_by_entry: dict[str, EntrySession] = {}

    def open(self, entry_id: str) -> None:
        """Begin a session; it takes the place of an older one."""
        self._session_by_entry[entry_id] = EntrySession()

    def close(self, entry_id: str) -> bool:
        """End a session; False if there was none."""
        return self._session_by_entry.pop(entry_id, None) is not None

    def get(self, entry_id: str) -> EntrySession | None:
        """Return the session with an entry."""
        return self._session_by_entry.get(entry_id)

    def silence_timeout_ms(self, entry_id: str) -> float:
        """Return after how many milliseconds a connection is silent."""
        session = self.get(entry_id)
        beat_ms = HEARTBEAT_MS if session is None else session.beat_ms
        return silence_timeout_ms(beat_ms)

    def due(self, news: News) -> list[str]:
        """Return the entries to send a heartbeat to now.

        An entry is told when it asked to be, and sooner when there is news
        that it routes or places by, such as a backend server that leaves.
        """
        # Asked once a second: half of that early beats half of it late.
        soon = self._clock.now() + HEARTBEAT_MS / 2
        return [
            entry_id
            for entry_id, session in self._session_by_entry.items()
            if session.due_at < soon or session.told != news
        ]

    def mark_leaving(self, surplus: Iterable[str]) -> list[str]:
        """Mark the entries to leave; return those marked only now."""
        marked = []
        for entry_id, session in self._session_by_entry.items():
            if entry_id not in surplus:
                session.leaving_since = None
            elif session.leaving_since is None:
                session.leaving_since = self._clock.now()
                marked.append(entry_id)
        return marked

    def to_leave(self, serves: Callable[[str], bool]) -> list[str]:
        """Return the marked entries with no call left, after a while."""
        latest = self._clock.now() - _LEAVING_MS
        return [
            entry_id
            for entry_id, session in self._session_by_entry.items()
            if session.leaving_since is not None
            and session.leaving_since < latest
            and not serves(entry_id)
        ]
