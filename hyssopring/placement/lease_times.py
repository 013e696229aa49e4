"""How long agents may run tasks on one grant."""

from dataclasses import dataclass

from hyssopring.tasks import TaskKind

__all__ = ('LeaseTimes',)


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Times of running-task leases, in milliseconds.

    ``margin_ms`` and ``drift`` cover the answer's way and clocks that run at
    different rates: the planner waits ttl * (1 + drift) + margin before it
    takes an unreachable agent's tasks for stopped.
    """

    batch_ttl_ms: float = 15_000
    keeper_ttl_ms: float = 60_000
    drift: float = 0.05
    margin_ms: float = 1000

    def lapse_ms(self, kind: TaskKind) -> float:
        """Return how long after the last grant a task surely stopped."""
        is_keeper = kind is TaskKind.KEEPER
        ttl = self.keeper_ttl_ms if is_keeper else self.batch_ttl_ms
        return ttl * (1 + self.drift) + self.margin_ms
