"""Keys of the store's rows; see ``documents`` for their contents."""

from hyssopring.jobs.rows import RowKey
from hyssopring.jobs.shards import shard_of

__all__ = (
    'AGENTS_TABLE',
    'CANCEL_SUFFIX',
    'ENTRIES_TABLE',
    'JOBS_TABLE',
    'LEARNED_TABLE',
    'OWNERS_TABLE',
    'PROGRESS_TABLE',
    'agent_key',
    'cancel_key',
    'former_owners_key',
    'is_job_key',
    'job_key',
    'learned_key',
    'owner_key',
    'part_of',
    'progress_key',
    'roster_key',
    'witness_key',
)

JOBS_TABLE = 'hs_jobs'
PROGRESS_TABLE = 'hs_done'
OWNERS_TABLE = 'hs_owner'
ENTRIES_TABLE = 'hs_entry'
AGENTS_TABLE = 'hs_agent'
LEARNED_TABLE = 'hs_learned'
CANCEL_SUFFIX = '/x'


def part_of(shard: int) -> str:
    """Return the name of the part that holds a shard's rows."""
    return f's{shard}'


def job_key(job_id: str) -> RowKey:
    """Return the key of an accepted job."""
    return RowKey(JOBS_TABLE, part_of(shard_of(job_id)), job_id)


def is_job_key(key: str) -> bool:
    """Whether a key in the table of jobs is a job's, not a cancellation's."""
    return not key.endswith(CANCEL_SUFFIX)


def cancel_key(job_id: str) -> RowKey:
    """Return the key of a job's cancellation."""
    return RowKey(JOBS_TABLE, part_of(shard_of(job_id)), job_id + CANCEL_SUFFIX)


def progress_key(job_id: str) -> RowKey:
    """Return the key of a job's ``ProgressRow``."""
    return RowKey(PROGRESS_TABLE, part_of(shard_of(job_id)), job_id)


def agent_key(shard: int, agent_id: str) -> RowKey:
    """Return the key of an ``AgentRow``: the agent may run tasks of a shard."""
    return RowKey(AGENTS_TABLE, part_of(shard), agent_id)


def owner_key(shard: int) -> RowKey:
    """Return the key of a shard's ``OwnerRow``."""
    return RowKey(OWNERS_TABLE, part_of(shard), 'owner')


def former_owners_key(shard: int) -> RowKey:
    """Return the key of the row of former owners that may still act."""
    return RowKey(OWNERS_TABLE, part_of(shard), 'wait')


def roster_key(shard: int) -> RowKey:
    """Return the key of a shard's ``RosterRow``."""
    return RowKey(OWNERS_TABLE, part_of(shard), 'roster')


def witness_key(shard: int) -> RowKey:
    """Return the key of a shard's ``WitnessRow``."""
    return RowKey(OWNERS_TABLE, part_of(shard), 'witness')


def learned_key(shard: int) -> RowKey:
    """Return the key of the summary of what a shard's owners learned."""
    return RowKey(LEARNED_TABLE, part_of(shard), 'summary')
