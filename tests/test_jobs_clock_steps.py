"""Agents that are restarted on VMs whose time of day has stepped."""

import pytest

from hyssopring.jobs.model import JobState
from standins.jobs.deployment import Deployment, a_job, settled

# How late the order is carried out, and for how long the agent is away.
LATE_S = 3
AWAY_S = 0.5
STEP_MS = 2400
# The worker has seen a higher fence than the next agent's first one.
LONG_STEP_MS = 20_000
LONG_WORK_MS = 90_000


def run_until(deployment, is_met, seconds=5):
    """Run until a condition is met."""
    for _step in range(round(seconds / deployment.step_s)):
        if is_met():
            return
        deployment.run(deployment.step_s)
    raise AssertionError('the condition was never met')


def lose_acknowledgement(worker):
    """Let the next poll that acknowledges ends go unanswered.

    Returns:
        A list that is empty until then.
    """
    carry_out = worker.poll
    lost = []

    def poll(request):
        if request.acked_through:
            worker.poll = carry_out
            worker.lose_polls = 1
            lost.append(request)
        return carry_out(request)

    worker.poll = poll
    return lost


def deploy_two_workers(lists_when_fenced):
    """Return a deployment whose second worker refuses all starts.

    Args:
        lists_when_fenced: Whether workers answer a poll with a low fence.
    """
    deployment = settled(workers=2, entries=1, work_ms=lambda task: 4000)
    for worker in deployment.workers:
        worker.answers_when_fenced = lists_when_fenced
    deployment.workers[1].is_unhealthy = True
    return deployment


def restart_with_start_in_flight(deployment, number, then_ms):
    """Restart an agent whose last start order is carried out late.

    Args:
        number: The number of the job whose start is late.
        then_ms: How far the time of day is ahead from the restart on.
    """
    former, other = deployment.workers
    former.lose_next, former.late_s = 1, LATE_S
    deployment.submit(a_job(number, ((1, ()),)))
    run_until(deployment, lambda: not former.lose_next)
    deployment.kill_agent('agent-0')
    deployment.skew_ms_by_process['agent-0'] = then_ms
    other.is_unhealthy = False
    deployment.run(AWAY_S)
    deployment.start_agent('agent-0', former)


@pytest.mark.parametrize('lists_when_fenced', [False, True])
@pytest.mark.parametrize(
    ('ahead_ms', 'then_ms'),
    [(0, 0), (0, -STEP_MS), (STEP_MS, 0), (0, -LONG_STEP_MS)],
)
def test_a_late_start_with_an_unseen_fence_runs_no_task_twice(
    ahead_ms, then_ms, lists_when_fenced
):
    """Guards against a task that runs twice as a start is carried out late.

    The fence was raised after the poll before the start. That poll has no
    answer yet, so the worker has seen no request with that fence. As the time
    of day has stepped back, it accepts the next agent's lower one, at once or
    after it was raised. That agent does not list the attempt, so the owner
    counts it as ended and starts the task elsewhere.
    """
    deployment = deploy_two_workers(lists_when_fenced)
    deployment.skew_ms_by_process['agent-0'] = ahead_ms
    former = deployment.workers[0]
    deployment.submit(a_job(1, ((1, ()),)))
    run_until(deployment, lambda: former.runs)
    lost = lose_acknowledgement(former)
    run_until(deployment, lambda: lost)
    restart_with_start_in_flight(deployment, 2, then_ms)
    deployment.run(20)
    assert deployment.state(f'{2:016x}') is JobState.COMPLETED


@pytest.mark.parametrize('lists_when_fenced', [False, True])
@pytest.mark.parametrize('then_ms', [0, -STEP_MS])
def test_a_late_start_with_a_seen_fence_runs_no_task_twice(
    then_ms, lists_when_fenced
):
    """Guards against a task that runs twice as a start is carried out late.

    The next agent's fence is too low, as the time of day has stepped back. If
    the worker lists its attempts all the same, the agent does not raise it.
    """
    deployment = deploy_two_workers(lists_when_fenced)
    monitor = deployment.agents['agent-0'].core.monitor
    monitor.fences.advance()
    deployment.run(0.6)
    assert deployment.workers[0].fence == monitor.fences.current
    restart_with_start_in_flight(deployment, 1, then_ms)
    deployment.run(20)
    assert deployment.state(f'{1:016x}') is JobState.COMPLETED


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
            work_ms=lambda task: (
                1000 if task.startswith(first) else LONG_WORK_MS
            ),
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
    deployment.run(AWAY_S)
    deployment.skew_ms_by_process[agent.name] = -1000 * back_s
    deployment.start_agent(agent.name, worker)
    deployment.run(20)
