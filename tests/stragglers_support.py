"""Helpers for tests of copies and slow workers."""

from collections import Counter

from hyssopring.jobs.scheduling_options import (
    SchedulingOptions,
    StragglerOptions,
)
from standins.jobs.deployment import Deployment, a_job, settled

OPTIONS = SchedulingOptions(stragglers=StragglerOptions())
# The budget would hide a copy that another rule forbids.
ANY_COPIES = SchedulingOptions(stragglers=StragglerOptions(max_copies_share=10))
STEP_S = 0.01
PATIENCE = 3000


class FirstRunLong:
    """Run times where the first runs of some tasks are far longer.

    Attributes:
        usual_ms: The time of other runs.
        long_ms: The times of the first, second and further runs of such a
            task; runs after these take the usual time.
    """

    def __init__(self, is_long, usual_ms=1000, long_ms=(60_000,)):
        self._is_long = is_long
        self._count_by_task = Counter()
        self.usual_ms = usual_ms
        self.long_ms = long_ms

    def __call__(self, task):
        run_index = self._count_by_task[task]
        self._count_by_task[task] += 1
        if self._is_long(task) and run_index < len(self.long_ms):
            return self.long_ms[run_index]
        return self.usual_ms


def is_first_task(task):
    """Return whether it is the first task of job 1."""
    return task == f'{1:016x}.0.0.0'


def two_long_runs():
    """Return run times where the first two runs of the first task are long."""
    return FirstRunLong(is_first_task, long_ms=(60_000, 60_000))


def deploy(work_ms=None, options=ANY_COPIES, workers=6, **more):
    """Return a settled deployment; a job's first task runs long at first."""
    return settled(
        Deployment(
            workers=workers,
            work_ms=work_ms or FirstRunLong(is_first_task),
            options=options,
            **more,
        )
    )


def a_copyable_job(number=1, tasks=6, after=(), **changes):
    """Return a job of one step whose tasks may be copied.

    Args:
        after: Sizes of further steps, each after the one before.
    """
    steps = [(tasks, ())]
    for position, count in enumerate(after):
        steps.append((count, (position,)))
    changes.setdefault('may_copy', True)
    return a_job(number, tuple(steps), **changes)


def teach(deployment, entry, number=99):
    """Run many tasks of the key of ``a_copyable_job``, of usual length."""
    deployment.submit(a_copyable_job(number, tasks=30), entry)
    deployment.run(1.5)


def first_task_of(job):
    return f'{job.job_id}.0.0.0'


def holders_of(deployment, task):
    """Return the workers that run a task."""
    return [worker for worker in deployment.workers if task in worker.runs]


def run_until(deployment, condition):
    for _step in range(PATIENCE):
        if condition():
            return
        deployment.run(STEP_S)
    raise AssertionError('the condition did not become true')


def run_until_copied(deployment, task):
    """Run until two attempts run, and return their workers by number."""
    run_until(deployment, lambda: len(holders_of(deployment, task)) == 2)
    return sorted(
        holders_of(deployment, task),
        key=lambda worker: worker.runs[task].number,
    )


def agent_of(deployment, worker):
    return next(
        name
        for name, agent in deployment.agents.items()
        if agent.worker is worker
    )


def owner_record(deployment, job):
    owner = deployment.entries[deployment.owner].core.owner
    return owner.shards.record_of(job.job_id)
