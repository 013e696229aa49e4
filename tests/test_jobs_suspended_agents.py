"""Agents that are suspended for longer than their leases last.

Their owner starts their tasks elsewhere. What such an agent still has from
before must start nothing, and prove nothing to the next owner.
"""

import pytest
from owner_support import (
    PATIENCE,
    STEP_S,
    busy_worker,
    deploy_three_workers,
    run_until_taken,
    start_job,
)

from standins.jobs.deployment import a_job

SILENCE_S = 2
REFUSED_S = 2


def suspend_agent(deployment, agent, seconds):
    """Suspend an agent; its connections are closed as silent."""
    agent.thaws_at = deployment.reactor.seconds() + seconds
    deployment.run(SILENCE_S)
    for name in deployment.entries:
        deployment.time_out(agent.name, name)


def run_until_ordered(deployment):
    """Run until an agent has accepted a start, and return it."""
    for _step in range(PATIENCE):
        for agent in deployment.agents.values():
            if agent.core.table.by_task:
                return agent
        deployment.run(STEP_S)
    raise AssertionError('no agent has accepted a start')


def run_until_second_start(deployment, first):
    """Run until another worker runs a task, and return its number."""
    for _step in range(PATIENCE):
        for number, worker in enumerate(deployment.workers):
            if number != first and worker.runs:
                return number
        deployment.run(STEP_S)
    raise AssertionError('the task has not started again')


@pytest.mark.parametrize('store_s', [0.05, 0.5])
def test_a_start_that_its_lease_did_not_cover_is_not_sent_again(store_s):
    """Guards against a second run after an agent's lease has lapsed.

    Its worker has not carried out the start. The next grant comes before the
    stop, which waits until the owner's read of the owner row is answered.
    """
    deployment, owner, _others = deploy_three_workers()
    for worker in deployment.workers:
        worker.lose_next, worker.late_s = 1, 60
    deployment.submit(a_job(steps=((1, ()),)), owner.name)
    agent = run_until_ordered(deployment)
    for worker in deployment.workers:
        if worker is not agent.worker:
            worker.lose_next = 0
    suspend_agent(deployment, agent, 9.5)
    run_until_second_start(deployment, deployment.workers.index(agent.worker))
    deployment.rows.pauses = lambda: (0, store_s)
    deployment.run(25)


@pytest.mark.parametrize('answer_s', [0.05, 0.4])
def test_a_listing_from_before_a_suspension_shows_no_running_task(answer_s):
    """Guards against a second run of a task that another agent runs.

    A resumed agent reports what its worker ran before, until the next poll is
    answered. A new owner takes the task for running there, and its end for the
    proof that it runs nowhere, without hearing the agent that runs it.
    """
    deployment, owner, (successor,) = deploy_three_workers()
    start_job(deployment, owner)
    first = busy_worker(deployment)
    agent = deployment.agents[f'agent-{first}']
    suspend_agent(deployment, agent, 13.5)
    second = run_until_second_start(deployment, first)
    deployment.run(0.5)
    deployment.block(f'agent-{second}', successor.name)
    deployment.kill_entry(owner.name)
    run_until_taken(deployment, [successor])
    assert agent.thaws_at > deployment.reactor.seconds()
    agent.worker.slow_s = answer_s
    deployment.run(25)


def suspend_before_start(deployment, owner):
    """Submit a job; return its agent, whose worker does not respond."""
    for worker in deployment.workers:
        worker.is_unresponsive = True
    deployment.submit(a_job(steps=((1, ()),)), owner.name)
    deployment.run(0.1)
    for worker in deployment.workers:
        worker.is_unresponsive = False
    (placed,) = (
        worker
        for worker in owner.core.fleet.by_agent.values()
        if worker.placed_by_task
    )
    return deployment.agents[placed.agent_id]


def time_out_links(deployment, agent):
    for name in deployment.entries:
        deployment.time_out(agent.name, name)


@pytest.mark.parametrize('seconds', [9, 12])
def test_an_agent_resumes_no_start_of_a_lapsed_attempt(seconds):
    """Guards against a second run by an order that waits in an agent.

    The agent is suspended until its lease has expired, and the task starts
    elsewhere. As it resumes, the owner extends its lease, but cannot confirm
    its ownership yet and stops nothing.
    """
    deployment, owner, _others = deploy_three_workers()
    agent = suspend_before_start(deployment, owner)
    later = deployment.reactor.callLater
    agent.thaws_at = deployment.reactor.seconds() + seconds
    later(SILENCE_S, time_out_links, deployment, agent)
    owner.has_peers = False
    rejected = deployment.rows.rejected_clients
    later(seconds - 0.2, rejected.add, owner.name)
    later(seconds + REFUSED_S, rejected.discard, owner.name)
    deployment.run(seconds + 12)
