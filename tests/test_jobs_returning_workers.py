"""Workers that start again under the id that they had, in virtual time.

The agents speak to them through the border, as to the platform's runners. The
workers' book asserts all the while that no task runs twice or after its end.
"""

import pytest

from hyssopring.jobs.model import JobState
from standins.jobs.deployment import Deployment, a_job, settled, starts_of

WORK_MS = 800
BUDGET = 2


def returning(workers=3, **options):
    options.setdefault('work_ms', lambda task: WORK_MS)
    return settled(Deployment(workers=workers, keeps_ids=True, **options))


def after_first_job(**options):
    """A deployment whose workers have listed some ends."""
    deployment = returning(**options)
    first = a_job(1, steps=((12, ()),))
    deployment.submit(first)
    deployment.run(3)
    assert deployment.state(first.job_id) is JobState.COMPLETED
    return deployment


def restart_all(deployment, away_s=1):
    for worker in deployment.workers:
        worker.go_down(away_s)
    deployment.run(away_s + 2)


def restart_everything(deployment):
    """All processes and workers lose their power."""
    for name in list(deployment.entries):
        deployment.kill_entry(name)
    for name, agent in list(deployment.agents.items()):
        deployment.kill_agent(name)
        agent.worker.crash()
    deployment.run(1)
    for name, agent in list(deployment.agents.items()):
        deployment.start_agent(name, agent.worker)
    for name in list(deployment.entries):
        deployment.start_entry(name)


def test_ends_of_a_restarted_worker_count():
    """Guards against done tasks that run again as their ends are skipped."""
    deployment = after_first_job()
    restart_all(deployment)
    job = a_job(2, steps=((12, ()),))
    deployment.submit(job)
    deployment.run(6)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 12


@pytest.mark.parametrize('loses_power', [False, True])
def test_failures_on_a_restarted_worker_count(loses_power):
    """Guards against failed attempts that are skipped and never counted."""
    deployment = after_first_job()
    restart_all(deployment)
    for worker in deployment.workers:
        worker.fails = lambda task: True
    job = a_job(2, steps=((3, ()),), attempts=BUDGET)
    deployment.submit(job)
    deployment.run(4)
    if loses_power:
        restart_everything(deployment)
        deployment.run(12)
    assert deployment.state(job.job_id, deployment.owner) is JobState.FAILED
    starts = [row[2] for row in starts_of(deployment, job)]
    assert max(map(starts.count, starts)) <= BUDGET
