"""The groups of jobs that get a share of capacity."""

from dataclasses import dataclass
from typing import NamedTuple

from hyssopring.fairness.size_classes import SizeClass

__all__ = ('Group', 'GroupUse')


class Group(NamedTuple):
    """Jobs of one queue, from one availability zone, of one size class.

    Attributes:
        zone: The zone of the jobs' callers; empty if unknown.
    """

    queue: str
    zone: str
    size_class: SizeClass

    @property
    def callers(self) -> str:
        """The queue and the zone as 'queue/zone', for log lines."""
        return f'{self.queue}/{self.zone or "-"}'


@dataclass(slots=True)
class GroupUse:
    """What a group uses and waits for, in thousandths of a core.

    Attributes:
        used: What its running tasks use, smoothed.
        waiting: What its tasks use that may start and have no worker.
    """

    used: float = 0
    waiting: float = 0
