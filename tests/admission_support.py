"""Deployments with too little room, for tests of admission."""

from hyssopring.errors import ErrorKind
from hyssopring.jobs.model import Job, Queue, Schedule, Size, Step
from hyssopring.jobs.row_keys import job_key
from hyssopring.jobs.scheduling_options import (
    AdmissionOptions,
    SchedulingOptions,
)
from hyssopring.logs import Event
from standins.jobs.deployment import WALL_MS, Deployment, settled

OPTIONS = SchedulingOptions(admission=AdmissionOptions())
# The store's answer, the messages, and one step of the clock.
STORE_S = 0.05
WORKER_CORES = 16


def job_of(
    number, tasks=WORKER_CORES, queue='queue', priority=0, steps=1, **changes
):
    """Return a job that takes a worker 1 s a step, its objective twice that."""
    target_ms = changes.pop('target_ms', 1000)
    schedule = changes.pop('schedule', Schedule())
    made = tuple(
        Step(
            count=tasks,
            size=Size(1000, 1000, 0),
            after=(index - 1,) if index else (),
            **{'estimate_ms': 1000, **changes},
        )
        for index in range(steps)
    )
    return Job(
        f'{number:016x}',
        Queue(queue, 'service', priority, 3, 1, target_ms),
        'x',
        made,
        schedule,
    )


def deploy(workers=1, **changes):
    return settled(
        Deployment(workers=workers, **{'options': OPTIONS, **changes})
    )


def submit(deployment, job, entry='entry-0'):
    """Submit a job and return its outcome, once the store has answered."""
    outcomes = deployment.submit(job, entry)
    deployment.run(STORE_S)
    assert outcomes, 'no answer in the time that the store needs'
    return outcomes[0]


def overloaded(workers=1, jobs=9, **changes):
    """Return a deployment with work for some seconds, by default too many."""
    deployment = deploy(workers, **changes)
    add_work(deployment, jobs, WORKER_CORES * workers)
    return deployment


def add_work(deployment, jobs=9, tasks=WORKER_CORES, number=1, **changes):
    """Add jobs of 1 s each that no gate has checked."""
    job_api = deployment.entries['entry-0'].core.job_api
    gate, job_api.gate = job_api.gate, None
    for each in range(number, number + jobs):
        deployment.submit(job_of(each, tasks, **changes))
    deployment.run(0.5)
    job_api.gate = gate


def is_rejected(outcome):
    if outcome.is_ok():
        return False
    return outcome.unwrap_err().kind is ErrorKind.OVERLOADED_QUEUE


def rejections(log_lines):
    return [line for line in log_lines if line['event'] is Event.JOB_REJECTED]


def stored_row(deployment, job):
    return deployment.rows.rows.get(job_key(job.job_id))


def wall_ms(deployment):
    return WALL_MS + 1000 * deployment.reactor.seconds()
