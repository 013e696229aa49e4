"""What a new owner of a shard knows of the owners before it."""

from dataclasses import dataclass
from typing import Callable

from hyssopring.clock import Clock
from hyssopring.jobs.documents import FormerOwnerProcess, RosterRow
from hyssopring.jobs.messages import ShardReleased
from hyssopring.jobs.times import GRANT_EXPIRY_MS, ROSTER_WAIT_MS

__all__ = ('FormerOwner', 'AcquiredShard')


@dataclass(frozen=True, slots=True)
class AcquiredShard:
    """A shard that was taken.

    Attributes:
        version: The owner row's.
        in_doubt: Former owners that may still order: they have not given the
            shard up, and are not known to be dead.
        confirmed_at: When the call was sent that took the shard.
        former: The owner before this one if it is among those in doubt.
        over_since: Since when this entry knows that the former owner is over.
        roster: Which reigns have kept to the agents' rows.
    """

    shard: int
    reign: int
    version: int
    acquired_at: float
    in_doubt: tuple[FormerOwnerProcess, ...]
    confirmed_at: float
    former: FormerOwnerProcess | None = None
    over_since: float | None = None
    roster: RosterRow = RosterRow(0, 0)

    @property
    def is_former_over(self) -> bool:
        """Whether no former owner orders anything any more."""
        return not self.in_doubt


class FormerOwner:
    """For how long what former owners have ordered and granted may act."""

    def __init__(self, clock: Clock, taken: AcquiredShard) -> None:
        """Begin with what was known when the shard was taken."""
        self._clock = clock
        self._in_doubt = taken.in_doubt
        self._former = taken.former
        self._has_earlier = any(each != taken.former for each in taken.in_doubt)
        wait_ms = GRANT_EXPIRY_MS if self.is_over else ROSTER_WAIT_MS
        self._wait_until = taken.acquired_at + wait_ms
        self._acts_until = taken.acquired_at
        if not self.is_over:
            self._acts_until = self._wait_until
        self._lost_at_by_agent: dict[str, float] = {}
        # The last word of an agent that ended after this time holds.
        self._given_up_at = taken.over_since if self.is_over else None

    @property
    def is_over(self) -> bool:
        """Whether no former owner orders anything any more."""
        return not self._in_doubt

    @property
    def wait_ms(self) -> float:
        """For how long an agent of which nothing is known may run tasks."""
        return max(0, self._wait_until - self._clock.now())

    @property
    def may_act(self) -> bool:
        """Whether a former owner, or what it granted of late, may still act.

        One that gave the shard up has told of its grants. One that was found
        dead has not: an agent's next process may have reached it alone, and
        holds tasks until that grant is over.
        """
        return self._clock.now() < self._acts_until

    def gave_up(self, told: ShardReleased, received_at: float) -> None:
        """The former owner orders nothing more: its grants run out by age.

        Of agents that it had not heard it knew for how long to wait. One
        before it may still act for as long.
        """
        wait_until = received_at + told.wait_ms
        self._wait_until = min(self._wait_until, wait_until)
        self._leave_in_doubt(lambda each: each != self._former, received_at)
        if self.is_over:
            self._acts_until = received_at
        for grant in told.grants:
            lost_at = received_at - grant.age_ms + GRANT_EXPIRY_MS
            self._lost_at_by_agent[grant.agent_id] = lost_at

    def check(self, is_dead: Callable[[FormerOwnerProcess], bool]) -> None:
        """Find out which former owners are dead; call regularly.

        Two owners in a row that are killed tell nobody. Unless the next one
        learns of their deaths itself, keepers wait for VMs that left for good
        until a living owner's authority and its grants would have run out.
        """
        if self.is_over:
            return
        now = self._clock.now()
        self._leave_in_doubt(lambda each: not is_dead(each), now)
        if self.is_over:
            # Their last grants came before their deaths were seen.
            self._wait_until = min(self._wait_until, now + GRANT_EXPIRY_MS)
            self._acts_until = self._wait_until

    def _leave_in_doubt(
        self,
        may_act: Callable[[FormerOwnerProcess], bool],
        at: float,
    ) -> None:
        """Keep those in doubt that may act; the others were over by then."""
        self._in_doubt = tuple(filter(may_act, self._in_doubt))
        if self.is_over and self._given_up_at is None:
            self._given_up_at = at

    @property
    def named_agents(self) -> set[str]:
        """The agents whose last grants the former owner has told."""
        return set(self._lost_at_by_agent)

    def had_given_up(self, at: float) -> bool:
        """Whether the former owner had said by then that it orders nothing."""
        return self._given_up_at is not None and self._given_up_at <= at

    def until(self, agent_id: str) -> float:
        """When all that an agent was granted before this owner is over."""
        until = self._lost_at_by_agent.get(agent_id, self._wait_until)
        if self._has_earlier:
            until = max(until, self._wait_until)
        return until
