"""Which entry may order what from an agent, and for how long."""

from dataclasses import dataclass
from typing import Iterable

from hyssopring.jobs.messages import ShardEpoch
from hyssopring.jobs.times import GRANT_MS, REPORT_MS

__all__ = ('AgentLeases',)

_MAX_UNANSWERED = 64


@dataclass(slots=True)
class _Right:
    """The newest reign of a shard that the agent has heard of."""

    reign: int
    entry_id: str
    until: float


class AgentLeases:
    """The owners of the shards as one agent knows them."""

    def __init__(self) -> None:
        """Know no owner."""
        self._right_by_shard: dict[int, _Right] = {}
        self._sent_at_by_sequence: dict[int, float] = {}

    def observe_epoch(self, shard: int, reign: int, entry_id: str) -> bool:
        """Take an order's reign; False if a newer one is known."""
        known = self._right_by_shard.get(shard)
        if known is None or known.reign < reign:
            until = 0 if known is None else known.until
            self._right_by_shard[shard] = _Right(reign, entry_id, until)
            return True
        return known.reign == reign and known.entry_id == entry_id

    def note_report_sent(self, sequence: int, now: float) -> None:
        """Note when a report was sent: a grant counts from then."""
        self._sent_at_by_sequence[sequence] = now
        if len(self._sent_at_by_sequence) > _MAX_UNANSWERED:
            self._sent_at_by_sequence.pop(next(iter(self._sent_at_by_sequence)))

    def renew(
        self,
        entry_id: str,
        sequence: int,
        reigns: Iterable[ShardEpoch],
        ttl_ms: float,
    ) -> None:
        """Take a grant; one of an older reign grants nothing."""
        sent_at = self._sent_at_by_sequence.get(sequence)
        if sent_at is None:
            return
        until = sent_at + min(ttl_ms, GRANT_MS)
        for granted in reigns:
            if self.observe_epoch(granted.shard, granted.reign, entry_id):
                known = self._right_by_shard[granted.shard]
                known.until = max(known.until, until)

    def expiry_of(self, shard: int) -> float:
        """Until when the tasks of a shard may run without another grant."""
        known = self._right_by_shard.get(shard)
        return known.until if known else 0

    @property
    def latest_expiry(self) -> float:
        """Until when any task may run."""
        return max(
            (known.until for known in self._right_by_shard.values()),
            default=0,
        )

    def owner_of(self, shard: int) -> str:
        """Return the id of the shard's owner, or an empty text."""
        known = self._right_by_shard.get(shard)
        return known.entry_id if known else ''

    def epochs_of(self, entry_id: str) -> list[ShardEpoch]:
        """The shards that an entry owns, as far as is known here."""
        return [
            ShardEpoch(shard, known.reign)
            for shard, known in self._right_by_shard.items()
            if known.entry_id == entry_id
        ]

    def epoch_of(self, shard: int) -> int:
        """Return the newest reign known, 0 for none."""
        known = self._right_by_shard.get(shard)
        return known.reign if known else 0

    def is_due(self, now: float, last_report_at: float) -> bool:
        """Whether the regular report is due."""
        return now - last_report_at >= REPORT_MS
