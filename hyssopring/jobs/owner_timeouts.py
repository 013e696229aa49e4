"""The timeouts of an owner: attempts and agents without a valid grant."""

from typing import Callable

from hyssopring.clock import Clock
from hyssopring.jobs.fleet import Fleet, PlacedAttempt, Worker
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.shards import shard_of
from hyssopring.jobs.stall_detector import StallDetector

__all__ = ('OwnerTimeouts',)


class OwnerTimeouts:
    """Expires attempts that no lease covers, and waits for unheard agents."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        shards: OwnedShards,
        on_expired: Callable[[Worker, PlacedAttempt, str], None],
    ) -> None:
        """Report expired attempts to ``on_expired``, with a reason."""
        self._clock = clock
        self._fleet = fleet
        self._shards = shards
        self._on_expired = on_expired
        self._stall_detector = StallDetector(clock)
        # Whether an expired attempt waits for a check of the ownership.
        self._has_unchecked = False

    def tick(self) -> None:
        """Apply the timeouts; call a few times a second."""
        if self._stall_detector.record_tick():
            self._apply()

    def on_ownership_checked(self) -> None:
        """Apply the timeouts that waited for a check of the ownership."""
        is_waiting = self._has_unchecked or any(
            owned.unreported for owned in self._shards.by_shard.values()
        )
        if is_waiting and self._stall_detector.is_timely:
            self._apply()

    def _apply(self) -> None:
        self._has_unchecked = False
        now_ms = self._clock.now()
        for worker in self._fleet.by_agent.values():
            if worker.placed_by_task and self._has_expired(worker, now_ms):
                self._expire(worker)
        for owned in self._shards.by_shard.values():
            owned.tick(self._fleet)
        self._fleet.remove_lost()

    def _expire(self, worker: Worker) -> None:
        """Expire the attempts whose leases no successor can have renewed."""
        for placed in list(worker.placed_by_task.values()):
            owned = self._shards.by_shard[shard_of(placed.name.job_id)]
            if owned.ownership.check_since(worker.grant_expires_at):
                self._on_expired(worker, placed, 'lapsed')
            else:
                self._has_unchecked = True

    def _has_expired(self, worker: Worker, now_ms: float) -> bool:
        """Whether no grant of this owner or a former one is valid.

        A disconnected agent may have been restarted and reach a former owner
        only. Its new process does not know this epoch and accepts the former
        owner's grants as long as that owner may act.
        """
        may_former_act = any(
            owned.former.may_grants_act
            for owned in self._shards.by_shard.values()
        )
        is_disconnected = not worker.is_connected
        return worker.is_lost(now_ms) and not (
            is_disconnected and may_former_act
        )
