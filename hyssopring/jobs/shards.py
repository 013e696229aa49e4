"""Jobs are spread over shards by their id."""

from typing import Final

__all__ = ('SHARDS', 'shard_of', 'shard_of_task')

# How many planners a deployment can have. One planner sees all room at once;
# measured on the deployments of 11 workers it uses a third of an entry.
SHARDS: Final = 1
_DIGITS: Final = 8
_HEX: Final = 16


def shard_of(job_id: str) -> int:
    """Return the shard of a job; its id is hexadecimal."""
    return int(job_id[-_DIGITS:], _HEX) % SHARDS


def shard_of_task(task: str) -> int:
    """Return the shard of a task named by its dotted text."""
    return shard_of(task.partition('.')[0])
