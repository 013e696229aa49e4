"""A resumed owner that starts a task which its successor has run."""

import pytest
from owner_support import (
    busy_worker,
    deploy_three_workers,
    run_until_taken,
    suspend,
)

from hyssopring.jobs.model import AttemptEnd
from standins.jobs.deployment import a_job


def end_runs(worker):
    for run in list(worker.runs.values()):
        worker.end(run, AttemptEnd.DONE)


def run_second_step_under_successor(seconds, is_unheard):
    """Suspend an owner while its successor starts and ends a second step.

    The end of the first step reaches both. One agent reaches the former owner
    only as it resumes.

    Returns:
        The deployment, and the number of that agent.
    """
    deployment, former, (successor,) = deploy_three_workers()
    deployment.submit(a_job(steps=((1, ()), (1, (0,)))), former.name)
    deployment.run(1)
    first = busy_worker(deployment)
    other = next(number for number in range(3) if number != first)
    if is_unheard:
        deployment.block(f'agent-{other}', successor.name)
    suspend(deployment, former, seconds)
    deployment.run(0.05)
    end_runs(deployment.workers[first])
    run_until_taken(deployment, [successor])
    deployment.run(1)
    for number in {0, 1, 2} - {other}:
        deployment.block(f'agent-{number}', former.name)
        end_runs(deployment.workers[number])
    deployment.run(0.5)
    return deployment, other


@pytest.mark.parametrize('seconds', [7, 8.5])
def test_a_resumed_owner_starts_nothing_on_an_agent_restarted_since(seconds):
    """Guards against a second run on an agent that has forgotten the epoch.

    The agent's former process knew the successor; the next one reaches the
    former owner only.
    """
    deployment, other = run_second_step_under_successor(seconds, False)
    assert not deployment.workers[other].runs
    deployment.kill_agent(f'agent-{other}')
    for name in deployment.entries:
        if deployment.entries[name].has_peers:
            deployment.blocked.add((f'agent-{other}', name))
    deployment.run(0.5)
    deployment.start_agent(f'agent-{other}', deployment.workers[other])
    deployment.run(25)


@pytest.mark.parametrize('seconds', [7, 8.5])
def test_a_resumed_owner_starts_nothing_on_an_agent_its_successor_waits_for(
    seconds,
):
    """Guards against a second run on an agent that knows no successor."""
    deployment, _other = run_second_step_under_successor(seconds, True)
    deployment.run(25)
