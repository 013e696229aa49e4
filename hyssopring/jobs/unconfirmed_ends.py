"""Ends of copied tasks that hold back the next step until they are durable.

A new owner takes a task that it sees running for not done, and the steps after
it for not started. A copied task may run on after its other attempt is done.
The steps after it therefore start only once the end is durable, so that a new
owner reads it, or once no other attempt may run.
"""

from typing import Iterable

from hyssopring.jobs.job_record import StepRun
from hyssopring.jobs.owned_shard import Ack

__all__ = ('UnconfirmedEnds',)


_HeldTasks = dict[Ack, tuple[StepRun, int]]


class UnconfirmedEnds:
    """The ends that are not durable, by the acknowledgement that they get."""

    def __init__(self) -> None:
        """Start without ends."""
        self._by_shard: dict[int, _HeldTasks] = {}

    def hold(self, shard: int, ack: Ack, run: StepRun, index: int) -> None:
        """Hold back the steps after ``run`` until ``ack`` is durable."""
        run.unconfirmed.add(index)
        self._by_shard.setdefault(shard, {})[ack] = (run, index)

    def mark_durable(self, acks: Iterable[Ack]) -> bool:
        """Release what the ends held back; return whether any did."""
        has_released = False
        for held in self._by_shard.values():
            for ack in held.keys() & acks:
                run, index = held.pop(ack)
                run.unconfirmed.discard(index)
                has_released = True
        return has_released

    def forget(self, shard: int) -> None:
        """Forget the ends of a shard that is no longer owned."""
        self._by_shard.pop(shard, None)
