"""Keepers in a zoned deployment that moves them, and what an owner sees."""

from types import SimpleNamespace

from hyssopring.jobs.fleet import PlacedAttempt, Worker
from hyssopring.jobs.messages import WorkerReport
from hyssopring.jobs.model import Size, Step, TaskName
from hyssopring.jobs.scheduling_options import (
    RebalancingOptions,
    SchedulingOptions,
)
from hyssopring.logs import Event
from hyssopring.rebalancing.moves import KeeperTask, StepKeepers
from evacuation_support import zoned

CORES = 16_000
TARGET_MS = 100
LASTING_MS = 10_000_000
OPTIONS = SchedulingOptions(
    rebalancing=RebalancingOptions(moves_to_fresh_workers=True)
)


def moving(options=OPTIONS, **given):
    """Return a zoned deployment whose tasks last and whose owner moves."""
    return zoned(options=options, work_ms=lambda task: LASTING_MS, **given)


def running_on(deployment):
    """Return the tasks that run, with the names of their workers."""
    return {
        task: worker.name
        for worker in deployment.workers
        for task in worker.runs
    }


def zone_of(deployment, worker_name):
    return deployment.zone_by_agent[worker_name.replace('worker', 'agent')]


def tasks_in(deployment, zone):
    return {
        task
        for task, worker in running_on(deployment).items()
        if zone_of(deployment, worker) == zone
    }


def count_at_work(deployment):
    """Return how many tasks run and are ready."""
    return sum(
        worker.percent_of(run) == 100 and run.stops_at is None
        for worker in deployment.workers
        for run in worker.runs.values()
    )


def run_watching(deployment, seconds, step_s=0.05):
    """Run, and return the fewest tasks that were at work at any time."""
    fewest = count_at_work(deployment)
    for _step in range(round(seconds / step_s)):
        deployment.run(step_s)
        fewest = min(fewest, count_at_work(deployment))
    return fewest


def moves_in(log_lines):
    return [line for line in log_lines if line['event'] is Event.TASK_MOVED]


def a_worker(name, is_leaving=False):
    worker = Worker(name, 'zone', is_connected=True)
    worker.report = WorkerReport(
        sequence=1,
        boot=name,
        service='service',
        labels=[],
        cpu_millis=CORES,
        memory_mb=64_000,
        accelerators=0,
        is_leaving=is_leaving,
        remaining_ms=0,
        silent_ms=0,
        reigns=[],
        attempts=[],
        ends=[],
        foreign_cpu=0,
        foreign_memory=0,
        foreign_accelerators=0,
        orders=0,
    )
    return worker


def a_step(workers, job=1, load=0, max_unavailable=1, **changes):
    """Return a step with a task on each of the workers."""
    count = changes.pop('count', len(workers))
    step = Step(
        count,
        Size(3200, 1000, 0),
        is_keeper=True,
        target_ms=TARGET_MS,
        max_unavailable=max_unavailable,
        **changes,
    )
    tasks = []
    for index, worker in enumerate(workers):
        name = TaskName(f'{job:016x}', 0, 0, index)
        placed = PlacedAttempt(name, 1, step, worker.boot, 1, 0)
        placed.percent, placed.report_count, placed.load = 100, 3, load
        worker.placed_by_task[str(name)] = placed
        tasks.append(KeeperTask(placed, worker))
    return StepKeepers(
        SimpleNamespace(shard=0, epoch=1),
        SimpleNamespace(is_inherited=False),
        SimpleNamespace(step=step),
        tasks,
    )
