"""Bounds on how long former owners and their grants may act."""

from dataclasses import dataclass
from typing import Callable

from hyssopring.clock import Clock
from hyssopring.jobs.documents import FormerOwnerProcess, RosterRow
from hyssopring.jobs.messages import ShardReleased
from hyssopring.jobs.times import GRANT_EXPIRY_MS, ROSTER_WAIT_MS

__all__ = ('AcquiredShard', 'FormerOwners')


@dataclass(frozen=True, slots=True)
class AcquiredShard:
    """A shard that this entry has taken.

    Attributes:
        shard: The number of the shard.
        epoch: The epoch of the new owner.
        version: The version of the owner row.
        acquired_at: When the takeover succeeded.
        unconfirmed: Former owners that may still send orders: they have not
            released the shard and are not known to be dead.
        confirmed_at: When the call was sent that took the shard.
        former: The owner before this one if it is among ``unconfirmed``.
        former_ended_at: Since when the former owner is known to have
            ended, by a release or because its process is dead.
        roster: The epochs whose owners have maintained the agents' rows.
        expires_at: When all grants of the owners in ``unconfirmed`` have
            expired; None if that is unknown.
    """

    shard: int
    epoch: int
    version: int
    acquired_at: float
    unconfirmed: tuple[FormerOwnerProcess, ...]
    confirmed_at: float
    former: FormerOwnerProcess | None = None
    former_ended_at: float | None = None
    roster: RosterRow = RosterRow(0, 0)
    expires_at: float | None = None

    @property
    def is_former_over(self) -> bool:
        """Whether no former owner sends orders any more."""
        return not self.unconfirmed


class FormerOwners:
    """Tracks until when former owners and their grants may act."""

    def __init__(self, clock: Clock, acquired: AcquiredShard) -> None:
        """Start from the state at the takeover."""
        self._clock = clock
        self._unconfirmed = acquired.unconfirmed
        self._last_owner = acquired.former
        self._has_earlier_owners = any(
            process != acquired.former for process in acquired.unconfirmed
        )
        wait_ms = GRANT_EXPIRY_MS if self.is_over else ROSTER_WAIT_MS
        self._wait_until = acquired.acquired_at + wait_ms
        if acquired.expires_at is not None:
            self._wait_until = min(self._wait_until, acquired.expires_at)
        self._acts_until = acquired.acquired_at
        if not self.is_over:
            self._acts_until = self._wait_until
        self._grant_expiry_by_agent: dict[str, float] = {}
        # Agents that left after this time have no later orders.
        self._ended_at = acquired.former_ended_at if self.is_over else None

    @property
    def is_over(self) -> bool:
        """Whether no former owner sends orders any more.

        Their grants may still be valid; see ``may_grants_act``.
        """
        return not self._unconfirmed

    @property
    def wait_ms(self) -> float:
        """For how long, in ms, an agent without a known grant may run tasks."""
        return max(0, self._wait_until - self._clock.now())

    @property
    def may_grants_act(self) -> bool:
        """Whether a former owner or one of its unknown grants may still act.

        An owner that released the shard has reported its grants. One that is
        dead has not: an agent's next process may have reached that owner only
        and runs tasks until the grant expires.
        """
        return self._clock.now() < self._acts_until

    def record_release(
        self, message: ShardReleased, received_at: float
    ) -> None:
        """Record that the former owner has released the shard.

        The message carries the age of its last grants, and its own remaining
        wait for agents that had not reported to it. Owners before it may still
        act.
        """
        wait_until = received_at + message.wait_ms
        self._wait_until = min(self._wait_until, wait_until)
        self._retain_unconfirmed(
            lambda process: process != self._last_owner, received_at
        )
        if self.is_over:
            self._acts_until = received_at
        for grant in message.grants:
            expires_at = received_at - grant.age_ms + GRANT_EXPIRY_MS
            self._grant_expiry_by_agent[grant.agent_id] = expires_at

    def check(self, is_dead: Callable[[FormerOwnerProcess], bool]) -> None:
        """Check which former owners are dead; call regularly.

        Killed owners send no release message. Without this check, keepers of
        lost VMs would wait until the lease and the grants of a live owner had
        expired.
        """
        if self.is_over:
            return
        now_ms = self._clock.now()
        self._retain_unconfirmed(lambda process: not is_dead(process), now_ms)
        if self.is_over:
            # The last grants were sent before the owners were found dead.
            self._wait_until = min(self._wait_until, now_ms + GRANT_EXPIRY_MS)
            self._acts_until = self._wait_until

    def _retain_unconfirmed(
        self,
        may_act: Callable[[FormerOwnerProcess], bool],
        at: float,
    ) -> None:
        """Keep the owners that may act; the others had ended by ``at``."""
        self._unconfirmed = tuple(filter(may_act, self._unconfirmed))
        if self.is_over and self._ended_at is None:
            self._ended_at = at

    @property
    def agents_with_known_grant(self) -> set[str]:
        """The agents whose last grants the former owner has reported."""
        return set(self._grant_expiry_by_agent)

    def had_ended(self, at: float) -> bool:
        """Whether all former owners were known by then to have ended."""
        return self._ended_at is not None and self._ended_at <= at

    def grant_expires_at(self, agent_id: str) -> float:
        """Return when an agent's grants from former owners expire."""
        expires_at = self._grant_expiry_by_agent.get(agent_id, self._wait_until)
        if self._has_earlier_owners:
            expires_at = max(expires_at, self._wait_until)
        return expires_at
