"""Durations of the leases under which agents run tasks."""

from dataclasses import dataclass

from hyssopring.tasks import TaskKind

__all__ = ('LeaseTimes',)


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Lease durations of running tasks.

    A planner waits ``ttl * (1 + drift) + margin`` after the last grant before
    it treats the tasks of an unreachable agent as stopped.

    Attributes:
        batch_ttl_ms: Lease of a batch task.
        keeper_ttl_ms: Lease of a keeper.
        drift: Largest relative difference between the rates of two clocks.
        margin_ms: Time for a grant to reach the agent.
    """

    batch_ttl_ms: float = 15_000
    keeper_ttl_ms: float = 60_000
    drift: float = 0.05
    margin_ms: float = 1000

    def expiry_ms(self, kind: TaskKind) -> float:
        """Return how long after the last grant a task has stopped for sure."""
        is_keeper = kind is TaskKind.KEEPER
        ttl = self.keeper_ttl_ms if is_keeper else self.batch_ttl_ms
        return ttl * (1 + self.drift) + self.margin_ms
