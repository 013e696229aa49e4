"""Sums of the resource usage of running tasks, for heartbeats."""

from typing import Iterable

from hyssopring.protocol.messages import Resources, StartTask, TaskUsage

__all__ = ('sum_usage',)

_Group = tuple[str, str, int]
_ZERO = Resources()


def sum_usage(
    tasks: Iterable[tuple[StartTask, Resources, float]],
) -> tuple[TaskUsage, ...]:
    """Sum usage by template, team, kind and urgency.

    Args:
        tasks: The start, last measured usage and share of each task.
    """
    usage_by_group: dict[_Group, TaskUsage] = {}
    for command, used, share in tasks:
        group = (command.service_name, command.kind, command.urgency)
        known = usage_by_group.get(group)
        usage = TaskUsage(*group, 1, command.size, used, share)
        usage_by_group[group] = (
            usage if known is None else _combined(known, usage)
        )
    return tuple(usage_by_group.values())


def _combined(known: TaskUsage, usage: TaskUsage) -> TaskUsage:
    running = known.running + 1
    return TaskUsage(
        known.service_name,
        known.kind,
        known.urgency,
        running,
        known.reserved.plus(usage.reserved),
        known.used.plus(usage.used),
        known.share + (usage.share - known.share) / running,
    )
