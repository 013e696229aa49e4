"""Resource amounts of VMs and tasks."""

from dataclasses import dataclass

__all__ = ('Resources',)


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of processor cores, memory in GB, and accelerators."""

    cores: float = 0
    memory_gb: float = 0
    accelerators: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of both amounts."""
        return Resources(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference; dimensions may be negative."""
        return Resources(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def larger(self, other: 'Resources') -> 'Resources':
        """Return the maximum of both in each dimension."""
        return Resources(
            max(self.cores, other.cores),
            max(self.memory_gb, other.memory_gb),
            max(self.accelerators, other.accelerators),
        )

    def holds(self, other: 'Resources') -> bool:
        """Return whether ``other`` fits in every dimension."""
        return (
            other.cores <= self.cores
            and other.memory_gb <= self.memory_gb
            and other.accelerators <= self.accelerators
        )
