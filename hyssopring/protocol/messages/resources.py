"""Sizes of machines and tasks."""

from dataclasses import dataclass

__all__ = ('Resources',)


@dataclass(frozen=True, slots=True)
class Resources:
    """Processors, memory in GB, and accelerators."""

    cores: float = 0
    memory_gb: float = 0
    accelerators: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of both."""
        return Resources(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return what is left after taking ``other`` away."""
        return Resources(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def larger(self, other: 'Resources') -> 'Resources':
        """Return the larger of both in each dimension."""
        return Resources(
            max(self.cores, other.cores),
            max(self.memory_gb, other.memory_gb),
            max(self.accelerators, other.accelerators),
        )

    def holds(self, other: 'Resources') -> bool:
        """Tell whether ``other`` fits in here in every dimension."""
        return (
            other.cores <= self.cores
            and other.memory_gb <= self.memory_gb
            and other.accelerators <= self.accelerators
        )
