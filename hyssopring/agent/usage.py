"""Sums what running tasks take, for the heartbeat."""

from typing import Iterable

from hyssopring.protocol.messages import Resources, StartTask, TaskUsage

__all__ = ('sum_usage',)

_Group = tuple[str, str, int]
_NOTHING = Resources()


def sum_usage(
    tasks: Iterable[tuple[StartTask, Resources, float]],
) -> tuple[TaskUsage, ...]:
    """Group tasks by template, team, kind and urgency.

    Args:
        tasks: The start, the use last measured and the share of each.
    """
    usage_by_group: dict[_Group, TaskUsage] = {}
    for command, used, share in tasks:
        group = (command.service_name, command.kind, command.urgency)
        known = usage_by_group.get(group)
        one = TaskUsage(*group, 1, command.size, used, share)
        usage_by_group[group] = one if known is None else _joined(known, one)
    return tuple(usage_by_group.values())


def _joined(known: TaskUsage, one: TaskUsage) -> TaskUsage:
    running = known.running + 1
    return TaskUsage(
        known.service_name,
        known.kind,
        known.urgency,
        running,
        known.reserved.plus(one.reserved),
        known.used.plus(one.used),
        known.share + (one.share - known.share) / running,
    )
