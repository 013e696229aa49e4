"""Where each row of a shard lies; see ``documents`` for what is in it."""

from hyssopring.jobs.rows import RowKey
from hyssopring.jobs.shards import shard_of

__all__ = (
    'AGENTS_TABLE',
    'CANCEL_SUFFIX',
    'PROGRESS_TABLE',
    'ENTRIES_TABLE',
    'JOBS_TABLE',
    'OWNERS_TABLE',
    'agent_key',
    'cancel_key',
    'is_job_key',
    'job_key',
    'owner_key',
    'part_of',
    'progress_key',
    'roster_key',
    'former_owners_key',
)

JOBS_TABLE = 'hs_jobs'
PROGRESS_TABLE = 'hs_done'
OWNERS_TABLE = 'hs_owner'
ENTRIES_TABLE = 'hs_entry'
AGENTS_TABLE = 'hs_agent'
CANCEL_SUFFIX = '/x'


def part_of(shard: int) -> str:
    """Return the part that holds a shard's rows."""
    return f's{shard}'


def job_key(job_id: str) -> RowKey:
    """Where an accepted job lies."""
    return RowKey(JOBS_TABLE, part_of(shard_of(job_id)), job_id)


def is_job_key(key: str) -> bool:
    """Whether a key of the table of jobs is a job's, not a cancellation's."""
    return not key.endswith(CANCEL_SUFFIX)


def cancel_key(job_id: str) -> RowKey:
    """Where a job's cancellation lies."""
    return RowKey(JOBS_TABLE, part_of(shard_of(job_id)), job_id + CANCEL_SUFFIX)


def progress_key(job_id: str) -> RowKey:
    """Where a job's ends lie."""
    return RowKey(PROGRESS_TABLE, part_of(shard_of(job_id)), job_id)


def agent_key(shard: int, agent_id: str) -> RowKey:
    """Where it is said that an agent may hold tasks of a shard."""
    return RowKey(AGENTS_TABLE, part_of(shard), agent_id)


def owner_key(shard: int) -> RowKey:
    """Where a shard's owner lies."""
    return RowKey(OWNERS_TABLE, part_of(shard), 'owner')


def former_owners_key(shard: int) -> RowKey:
    """Where it is said that a former owner may still act."""
    return RowKey(OWNERS_TABLE, part_of(shard), 'wait')


def roster_key(shard: int) -> RowKey:
    """Where it is said which owners have kept to the agents' rows."""
    return RowKey(OWNERS_TABLE, part_of(shard), 'roster')
