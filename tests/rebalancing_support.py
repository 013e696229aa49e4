"""Keepers in a zoned deployment that moves them."""

from hyssopring.jobs.scheduling_options import (
    RebalancingOptions,
    SchedulingOptions,
)
from hyssopring.logs import Event
from evacuation_support import zoned

LASTING_MS = 10_000_000
OPTIONS = SchedulingOptions(rebalancing=RebalancingOptions())


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
