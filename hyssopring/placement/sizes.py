"""Estimate the resources that a template's tasks use."""

from collections import deque
from typing import Iterable

from hyssopring.protocol.messages import Resources, TaskUsage

__all__ = ('LearnedSizes',)

_MAX_SAMPLES = 64
_MIN_SAMPLES = 8
_PERCENTILE = 0.9
_MIN_SHARE = 0.1


class LearnedSizes:
    """Correct declared sizes upwards to the 90th percentile of measured use.

    A size is never corrected below the declared one: the guarantee that no VM
    is overcommitted holds for declared sizes, and a task that has used little
    may still grow to its declared size.
    """

    def __init__(self) -> None:
        """Start without measurements."""
        self._used_by_service: dict[str, deque[Resources]] = {}
        self._learned_by_service: dict[str, Resources] = {}

    def observe(self, usage: Iterable[TaskUsage]) -> None:
        """Add one agent's report of the resources that its tasks use."""
        for group in usage:
            if group.running and group.used.cores:
                self._add_sample(group)

    def needed(self, service_name: str, declared: Resources) -> Resources:
        """Return the larger of the declared and the learned size."""
        learned = self._learned_by_service.get(service_name)
        return declared if learned is None else declared.larger(learned)

    def _add_sample(self, group: TaskUsage) -> None:
        samples = self._used_by_service.setdefault(
            group.service_name,
            deque(maxlen=_MAX_SAMPLES),
        )
        samples.append(
            Resources(
                group.used.cores / group.running / max(group.share, _MIN_SHARE),
                group.used.memory_gb / group.running,
            )
        )
        if len(samples) >= _MIN_SAMPLES:
            self._learned_by_service[group.service_name] = Resources(
                _percentile(used.cores for used in samples),
                _percentile(used.memory_gb for used in samples),
            )


def _percentile(samples: Iterable[float]) -> float:
    ordered = sorted(samples)
    return ordered[int(len(ordered) * _PERCENTILE)]
