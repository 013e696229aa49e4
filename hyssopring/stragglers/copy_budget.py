"""The limit of the cores that copies use."""

from dataclasses import dataclass

__all__ = ('CopyBudget',)


@dataclass(slots=True)
class CopyBudget:
    """The cores of running tasks and of copies among them.

    Quantities are in thousandths of a core.

    Attributes:
        max_share: The most that copies may use of ``running_millis``.
        running_millis: Cores of the running batch tasks, copies included.
        copies_millis: Cores of the running copies.
    """

    max_share: float
    running_millis: float = 0
    copies_millis: float = 0

    def allows(self, cpu_millis: float) -> bool:
        """Return whether one more copy of this size may run.

        A single copy may exceed the share, as a small deployment would have
        none at all otherwise.
        """
        if not self.max_share:
            return False
        if not self.copies_millis:
            return True
        copies_millis = self.copies_millis + cpu_millis
        return copies_millis <= self.max_share * self.running_millis

    def add_copy(self, cpu_millis: float) -> None:
        """Count a copy that was started."""
        self.copies_millis += cpu_millis
        self.running_millis += cpu_millis
