"""Weighted max-min shares of groups, by queue, zone and size class.

A group that wants less than an equal part gets what it wants; the others
divide what it leaves ("water-filling"). The cores in use are divided among the
queues by weight, the share of a queue among its zones, and the share of a zone
among its size classes.
"""

from collections import defaultdict
from dataclasses import dataclass
from typing import Collection, Final, Hashable, Iterator, Mapping, TypeVar

from hyssopring.fairness.groups import Group, GroupUse

__all__ = ('Claim', 'bands', 'water_fill', 'without_size_class')

_Key = TypeVar('_Key', bound=Hashable)

_DEFAULT_WEIGHT: Final = 1.0
# A group is below its share only if it lacks more than this part of it. The
# worst zone is to get at least 0.9 of the mean zone; a smaller difference does
# not pay for starting larger jobs before smaller ones.
_TOLERANCE: Final = 0.05


@dataclass(slots=True)
class Claim:
    """What one of several groups uses and wants.

    Attributes:
        used: What it uses now.
        wanted: What it would use if nothing of it had to wait.
        weight: Its part of the capacity, relative to the others.
    """

    used: float = 0
    wanted: float = 0
    weight: float = _DEFAULT_WEIGHT

    @classmethod
    def from_uses(cls, uses: Collection[GroupUse], weight: float) -> 'Claim':
        """Add up what several groups use and wait for."""
        used = sum(use.used for use in uses)
        waiting = sum(use.waiting for use in uses)
        return cls(used, used + waiting, weight)


def water_fill(
    capacity: float, claim_by_key: Mapping[_Key, Claim]
) -> dict[_Key, float]:
    """Return each group's weighted max-min share of a capacity."""
    share_by_key: dict[_Key, float] = {}
    left, weight_left = (
        capacity,
        sum(claim.weight for claim in claim_by_key.values()),
    )
    by_relative_claim = sorted(
        claim_by_key.items(),
        key=lambda pair: pair[1].wanted / pair[1].weight,
    )
    for key, claim in by_relative_claim:
        equal_part = max(0, left) * claim.weight / weight_left
        share_by_key[key] = min(claim.wanted, equal_part)
        left -= share_by_key[key]
        weight_left -= claim.weight
    return share_by_key


def bands(
    use_by_group: Mapping[Group, GroupUse],
    weight_by_queue: Mapping[str, float],
) -> dict[Group, int]:
    """Return the band of each group's waiting steps; lower ones come first.

    The band counts in binary whether the queue, the zone in the queue and the
    size class in the zone have reached their shares, so that a size class that
    is below its share does not bring a zone forward that is above its own.
    ``without_size_class`` leaves the last of these out.
    """
    capacity = sum(use.used for use in use_by_group.values())
    top = _Branch(use_by_group, capacity, band=0)
    return dict(_group_bands(top, 0, weight_by_queue))


def without_size_class(band: int) -> int:
    """Return the band by queue and zone alone."""
    return band // 2 * 2


@dataclass(frozen=True, slots=True)
class _Branch:
    """The groups of a queue, of a zone in it, or of a size class in that.

    Attributes:
        share: What they may use together.
        band: The band of the branch without what is below it.
    """

    use_by_group: Mapping[Group, GroupUse]
    share: float
    band: int


def _group_bands(
    branch: _Branch, level: int, weight_by_queue: Mapping[str, float]
) -> Iterator[tuple[Group, int]]:
    """Yield the groups of a branch with their bands.

    Args:
        level: The position in ``Group`` by which the branch divides.
    """
    if level == len(Group._fields):
        for group in branch.use_by_group:
            yield group, branch.band
        return
    for part in _divide(branch, level, weight_by_queue):
        yield from _group_bands(part, level + 1, weight_by_queue)


def _divide(
    branch: _Branch, level: int, weight_by_queue: Mapping[str, float]
) -> Iterator[_Branch]:
    """Yield the parts of a branch with their shares."""
    uses_by_part = _split(branch.use_by_group, level)
    claim_by_part = {
        part: Claim.from_uses(uses.values(), _DEFAULT_WEIGHT)
        for part, uses in uses_by_part.items()
    }
    if not level:
        for part, claim in claim_by_part.items():
            claim.weight = weight_by_queue.get(str(part), _DEFAULT_WEIGHT)
    share_by_part = water_fill(branch.share, claim_by_part)
    for part, claim in claim_by_part.items():
        share = share_by_part[part]
        is_reached = claim.used >= share * (1 - _TOLERANCE)
        yield _Branch(uses_by_part[part], share, 2 * branch.band + is_reached)


def _split(
    use_by_group: Mapping[Group, GroupUse], level: int
) -> dict[Hashable, dict[Group, GroupUse]]:
    """Collect the groups that are equal at a position, by what is there."""
    uses_by_part: dict[Hashable, dict[Group, GroupUse]] = defaultdict(dict)
    for group, use in use_by_group.items():
        uses_by_part[group[level]][group] = use
    return uses_by_part
