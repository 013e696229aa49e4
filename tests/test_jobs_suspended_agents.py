"""Agents that are suspended before they have carried out a start."""

import pytest
from owner_support import deploy_three_workers

from standins.jobs.deployment import a_job

SILENT_S = 2.1
REFUSED_S = 2


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
    later(SILENT_S, time_out_links, deployment, agent)
    owner.has_peers = False
    rejected = deployment.rows.rejected_clients
    later(seconds - 0.2, rejected.add, owner.name)
    later(seconds + REFUSED_S, rejected.discard, owner.name)
    deployment.run(seconds + 12)
