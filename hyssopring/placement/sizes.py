"""What a template's tasks really take, learned from lagging measurements."""

from collections import deque
from typing import Iterable

from hyssopring.protocol.messages import Resources, TaskUsage

__all__ = ('LearnedSizes',)

_KEPT = 64
_ENOUGH = 8
_PERCENTILE = 0.9
_MIN_SHARE = 0.1


class LearnedSizes:
    """Corrects declared sizes upwards by the 90th percentile of use.

    A size is never corrected below what was declared: the promise that no VM
    holds more than it can is made in declared sizes, and a task that has been
    small may still grow into what its template says.
    """

    def __init__(self) -> None:
        """Start with the declared sizes."""
        self._used_by_service: dict[str, deque[Resources]] = {}
        self._learned_by_service: dict[str, Resources] = {}

    def observe(self, usage: Iterable[TaskUsage]) -> None:
        """Take one agent's report of what its tasks use."""
        for group in usage:
            if group.running and group.used.cores:
                self._add(group)

    def needed(self, service_name: str, declared: Resources) -> Resources:
        """Return the larger of the declared and the learned size."""
        learned = self._learned_by_service.get(service_name)
        return declared if learned is None else declared.larger(learned)

    def _add(self, group: TaskUsage) -> None:
        kept = self._used_by_service.setdefault(
            group.service_name,
            deque(maxlen=_KEPT),
        )
        kept.append(
            Resources(
                group.used.cores / group.running / max(group.share, _MIN_SHARE),
                group.used.memory_gb / group.running,
            )
        )
        if len(kept) >= _ENOUGH:
            self._learned_by_service[group.service_name] = Resources(
                _percentile(used.cores for used in kept),
                _percentile(used.memory_gb for used in kept),
            )


def _percentile(numbers: Iterable[float]) -> float:
    ordered = sorted(numbers)
    return ordered[int(len(ordered) * _PERCENTILE)]
