"""Agents that are restarted while the time of day is set back."""

import pytest

from standins.jobs.deployment import Deployment, a_job, settled

WORK_MS = 90_000
DOWN_S = 0.5


def run_job(deployment):
    """Run a job to its end, so that the agent's fence is a recent one."""
    job = a_job(1, steps=((1, ()),))
    deployment.submit(job, deployment.owner)
    deployment.run(1.5)
    assert not deployment.workers[0].ends


@pytest.mark.parametrize('lists', [False, True])
@pytest.mark.parametrize('back_s', [0, 2, 4])
def test_a_late_start_of_a_former_agent_is_void_after_the_clock_is_set_back(
    lists, back_s
):
    """Guards against a start that is carried out after the next agent's report.

    Its fence is higher than that of the next agent, to whose polls the worker
    answers all the same, or not.
    """
    first = a_job(1).job_id
    deployment = settled(
        Deployment(
            workers=1,
            entries=2,
            work_ms=lambda task: 1000 if task.startswith(first) else WORK_MS,
        )
    )
    run_job(deployment)
    worker, agent = deployment.workers[0], deployment.agents['agent-0']
    worker.answers_when_fenced = lists
    worker.lose_next, worker.late_s = 1, 4
    deployment.submit(a_job(2, steps=((1, ()),)), deployment.owner)
    deployment.run(0.1)
    assert agent.core.table.by_task
    deployment.kill_agent(agent.name)
    deployment.add_vm('next')
    deployment.run(DOWN_S)
    wall_ms = deployment.wall_ms
    deployment.wall_ms = lambda: wall_ms() - 1000 * back_s
    deployment.start_agent(agent.name, worker)
    deployment.wall_ms = wall_ms
    deployment.run(20)
