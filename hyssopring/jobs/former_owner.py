"""What a new owner of a shard knows of the owners before it."""

from dataclasses import dataclass

from hyssopring.clock import Clock
from hyssopring.jobs.messages import ShardGivenUp
from hyssopring.jobs.times import LOST_AFTER_MS, ROSTER_WAIT_MS

__all__ = ('FormerOwner', 'ShardReign')


@dataclass(frozen=True, slots=True)
class ShardReign:
    """A shard that was taken.

    Attributes:
        version: The owner row's.
        is_former_over: Whether no former owner orders anything any more: each
            has given the shard up, or its process is dead.
        confirmed_at: When the call was sent that took the shard.
        has_earlier: Whether an owner before the former one may still act.
        over_since: Since when this entry knows that the former owner is over.
    """

    shard: int
    reign: int
    version: int
    acquired_at: float
    is_former_over: bool
    confirmed_at: float
    has_earlier: bool = False
    over_since: float | None = None


class FormerOwner:
    """For how long what former owners have ordered and granted may act.

    Attributes:
        is_over: See ``ShardReign.is_former_over``.
    """

    def __init__(self, clock: Clock, taken: ShardReign) -> None:
        """Begin with what was known when the shard was taken."""
        self._clock = clock
        self._has_earlier = taken.has_earlier
        self.is_over = taken.is_former_over
        wait_ms = LOST_AFTER_MS if taken.is_former_over else ROSTER_WAIT_MS
        self._wait_until = taken.acquired_at + wait_ms
        self._lost_at_by_agent: dict[str, float] = {}
        # The last word of an agent that ended after this time holds.
        self._given_up_at = taken.over_since if taken.is_former_over else None

    @property
    def has_wait(self) -> bool:
        """Whether an agent of which nothing is known may still run tasks."""
        return self._clock.now() <= self._wait_until

    @property
    def wait_ms(self) -> float:
        """For how long an agent of which nothing is known may run tasks."""
        return max(0, self._wait_until - self._clock.now())

    @property
    def may_act(self) -> bool:
        """Whether a former owner may still order and grant."""
        return not self.is_over and self.has_wait

    def gave_up(self, told: ShardGivenUp, received_at: float) -> None:
        """The former owner orders nothing more: its grants run out by age.

        Of agents that it had not heard it knew for how long to wait. One
        before it may still act for as long.
        """
        wait_until = received_at + told.wait_ms
        self._wait_until = min(self._wait_until, wait_until)
        if not self._has_earlier:
            self.is_over = True
            if self._given_up_at is None:
                self._given_up_at = received_at
        for grant in told.grants:
            lost_at = received_at - grant.age_ms + LOST_AFTER_MS
            self._lost_at_by_agent[grant.agent_id] = lost_at

    def had_given_up(self, at: float) -> bool:
        """Whether the former owner had said by then that it orders nothing."""
        return self._given_up_at is not None and self._given_up_at <= at

    def may_run_on(self, agent_id: str) -> bool:
        """Whether an agent that was not heard may run what it was ordered."""
        until = self._lost_at_by_agent.get(agent_id, self._wait_until)
        if self._has_earlier:
            until = max(until, self._wait_until)
        return self._clock.now() <= until
