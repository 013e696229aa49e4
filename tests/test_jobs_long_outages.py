"""Outages of the store that last longer than the look-ups of unknown jobs."""

import pytest
from owner_support import STEP_S, run_until_confirmed, run_until_taken

from hyssopring.jobs.model import JobState
from standins.jobs.deployment import Deployment, a_job, settled

# Long enough for another entry to take the shard.
AWAY_S = 5
LOST_S = 3


def start_by_former_owner(work_ms):
    """Return a deployment whose former owner has just started a job.

    Its successor has loaded the shard before, and the agent has not reached it
    yet.

    Returns:
        The deployment, the job and the successor.
    """
    deployment = settled(
        Deployment(workers=1, entries=2, work_ms=lambda task: work_ms)
    )
    former = deployment.entries[deployment.owner]
    (successor,) = (
        entry for entry in deployment.entries.values() if entry is not former
    )
    deployment.block('agent-0', successor.name)
    run_until_confirmed(deployment, former)
    former.thaws_at = deployment.reactor.seconds() + AWAY_S
    assert run_until_taken(deployment, [successor]) is successor
    (owned,) = successor.core.owner.shards.by_shard.values()
    while not owned.is_loaded:
        deployment.run(STEP_S)
    deployment.run(former.thaws_at - deployment.reactor.seconds())
    job = a_job(2, steps=((1, ()),))
    deployment.submit(job, former.name)
    while not deployment.workers[0].runs:
        deployment.run(STEP_S)
    assert job.job_id not in owned.by_job
    return deployment, job, successor


@pytest.mark.parametrize('work_ms', [1000, 8000])
@pytest.mark.parametrize('outage_s', [9, 20])
def test_a_job_that_cannot_be_looked_up_keeps_its_ends(outage_s, work_ms):
    """Guards against a done task that starts again after an outage.

    The owner does not know the job, and the store does not show it. If the
    job's ends are acknowledged all the same, its tasks start once it is found.
    """
    deployment, job, successor = start_by_former_owner(work_ms)
    deployment.rows.is_down = True
    deployment.run(LOST_S)
    deployment.blocked.discard(('agent-0', successor.name))
    deployment.run(outage_s - LOST_S)
    deployment.rows.is_down = False
    deployment.run(25)
    assert deployment.state(job.job_id, successor.name) is JobState.COMPLETED
