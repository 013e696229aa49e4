"""Task requirements that an owner sends to an agent."""

from hyssopring.jobs.messages import TaskRequirements
from hyssopring.jobs.model import Step

__all__ = ('facts_of',)


def facts_of(task: str, attempt: int, step: Step) -> TaskRequirements:
    """Return the requirements of an attempt of a task of ``step``."""
    return TaskRequirements(
        task,
        attempt,
        step.size.cpu_millis,
        step.size.memory_mb,
        step.size.accelerators,
        step.target_ms if step.is_keeper else 0,
        step.fills,
        step.image,
    )
