"""Agents that are restarted on VMs whose time of day has stepped."""

import pytest

from hyssopring.jobs.model import JobState
from standins.jobs.deployment import a_job, settled

# How late the order is carried out, and for how long the agent is away.
LATE_S = 3
AWAY_S = 0.5
STEP_MS = 2400
# The worker has seen a higher fence than the next agent's first one.
LONG_STEP_MS = 20_000


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


def restart_with_start_in_flight(ahead_ms, then_ms):
    """Restart an agent whose last start order is carried out late.

    The fence was raised after the poll before the order. That poll has no
    answer yet, so no other request with the same fence has been sent.

    Args:
        ahead_ms: How far the time of day is ahead when the order is sent.
        then_ms: How far it is ahead from the restart on.
    """
    deployment = settled(workers=2, entries=1, work_ms=lambda task: 4000)
    deployment.skew_ms_by_process['agent-0'] = ahead_ms
    former, other = deployment.workers
    other.is_unhealthy = True
    deployment.submit(a_job(1, ((1, ()),)))
    run_until(deployment, lambda: former.runs)
    lost = lose_acknowledgement(former)
    run_until(deployment, lambda: lost)
    former.lose_next, former.late_s = 1, LATE_S
    deployment.submit(a_job(2, ((1, ()),)))
    run_until(deployment, lambda: not former.lose_next)
    deployment.kill_agent('agent-0')
    deployment.skew_ms_by_process['agent-0'] = then_ms
    other.is_unhealthy = False
    deployment.run(AWAY_S)
    deployment.start_agent('agent-0', former)
    return deployment


@pytest.mark.parametrize(
    ('ahead_ms', 'then_ms'),
    [(0, 0), (0, -STEP_MS), (STEP_MS, 0), (0, -LONG_STEP_MS)],
)
def test_a_late_start_of_a_former_agent_runs_no_task_twice(ahead_ms, then_ms):
    """Guards against a task that runs twice as a start is carried out late.

    The next agent's fence is below that of the start, as the time of day has
    stepped back. It does not list the attempt, so the owner counts it as ended
    and starts the task elsewhere.
    """
    deployment = restart_with_start_in_flight(ahead_ms, then_ms)
    deployment.run(20)
    assert deployment.state(f'{2:016x}') is JobState.COMPLETED
