"""The placed tasks of keepers, grouped by step."""

from typing import Iterator

from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.model import TaskName
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.shards import shard_of
from hyssopring.rebalancing.moves import KeeperTask, StepKeepers

__all__ = ('StepKey', 'list_steps', 'step_key')

StepKey = tuple[str, int, int]


def step_key(name: TaskName) -> StepKey:
    """Return the key of a task's step in one occurrence of its job."""
    return name.job_id, name.occurrence, name.step


def list_steps(fleet: Fleet, shards: OwnedShards) -> dict[StepKey, StepKeepers]:
    """Return the keeper steps with placed tasks that may be moved.

    Steps are left out while the rows of their shard cannot be written: a task
    that was stopped then could not start elsewhere.
    """
    steps: dict[StepKey, StepKeepers] = {}
    for keeper in _keepers(fleet):
        name = keeper.placed.name
        key = step_key(name)
        step = steps.get(key) or _step_of(name, shards)
        if step is not None:
            steps[key] = step
            step.tasks.append(keeper)
    return steps


def _keepers(fleet: Fleet) -> Iterator[KeeperTask]:
    for worker in fleet.by_agent.values():
        for placed in worker.placed_by_task.values():
            if placed.step.is_keeper:
                yield KeeperTask(placed, worker)


def _step_of(name: TaskName, shards: OwnedShards) -> StepKeepers | None:
    owned = shards.by_shard.get(shard_of(name.job_id))
    if owned is None or not owned.is_loaded or owned.roster.is_backing_off:
        return None
    record = shards.record_of(name.job_id)
    if record is None or record.final_state is not None:
        return None
    run = record.step_run_of(name)
    if run is None:
        return None
    return StepKeepers(owned, record, run, [])
