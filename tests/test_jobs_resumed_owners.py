"""Owners that act again after a successor has taken their shard.

Such an owner has authority for up to 10 s after it last read its owner row.
What it infers meanwhile without its successor's knowledge must start nothing.
"""

import pytest
from owner_support import (
    STEP_S,
    busy_worker,
    deploy_three_workers,
    idle_worker,
    run_until_confirmed,
    run_until_taken,
    start_job,
    suspend,
)
from twisted.internet.defer import fail

from hyssopring.jobs.messages import AgentLeft
from hyssopring.jobs.model import AttemptEnd
from hyssopring.jobs.rows import HistoryLost
from standins.jobs.deployment import starts_of


@pytest.mark.parametrize('seconds', [7, 7.5, 8, 8.5])
def test_a_resumed_owner_expires_no_attempt_that_its_successor_keeps(seconds):
    """Guards against a second run of what a suspended owner counts as lapsed.

    Its grants are older than any lease, but its successor has renewed it.
    """
    deployment, former, (successor,) = deploy_three_workers()
    start_job(deployment, former)
    runs_at = busy_worker(deployment)
    deployment.block(f'agent-{idle_worker(deployment)}', successor.name)
    suspend(deployment, former, seconds)
    deployment.block(f'agent-{runs_at}', former.name)
    run_until_taken(deployment, [successor])
    deployment.run(25)


def end_as_done(worker):
    """End all runs on a worker as done."""
    for run in list(worker.runs.values()):
        worker.end(run, AttemptEnd.DONE)


def isolate(deployment, entry):
    """Cut an entry off from the store and its peers; agents reach it."""
    run_until_confirmed(deployment, entry)
    entry.has_peers = False
    deployment.rows.rejected_clients.add(entry.name)


def deploy_done_task():
    """Return a deployment whose task is done under a successor only.

    The former owner reaches all agents, but not the store and its peers. The
    idle agents do not reach the successor.

    Returns:
        The deployment, the former owner, its successor, and the number of the
        worker on which the task ran.
    """
    deployment, former, (successor,) = deploy_three_workers()
    start_job(deployment, former)
    runs_at = busy_worker(deployment)
    for number in range(len(deployment.workers)):
        if number != runs_at:
            deployment.block(f'agent-{number}', successor.name)
    isolate(deployment, former)
    run_until_taken(deployment, [successor])
    deployment.run(0.5)
    worker = deployment.workers[runs_at]
    end_as_done(worker)
    deployment.run(0.5)
    assert not worker.ends
    return deployment, former, successor, runs_at


def test_an_agent_that_left_its_successor_proves_nothing_to_a_former_owner():
    """Guards against a second run of a task that is done under a successor.

    The agent tells all entries that it leaves and that nothing runs there. The
    successor has recorded the end, so the agent no longer lists it.
    """
    deployment, _former, _successor, runs_at = deploy_done_task()
    deployment.workers[runs_at].is_leaving = True
    agent = deployment.agents[f'agent-{runs_at}']
    agent.beat()
    deployment.run(0.2)
    deployment.workers[runs_at].is_unresponsive = True
    deployment.stop_agent(agent.name)
    deployment.run(25)


def test_a_restarted_agent_proves_nothing_to_a_former_owner():
    """Guards against a second run of a task that a new agent does not list.

    The agent's former process obeyed the successor, which recorded the end.
    The new one reaches the former owner first and does not know its successor.
    """
    deployment, _former, successor, runs_at = deploy_done_task()
    agent = deployment.agents[f'agent-{runs_at}']
    deployment.kill_agent(agent.name)
    deployment.blocked.add((agent.name, successor.name))
    deployment.run(0.1)
    deployment.start_agent(agent.name, deployment.workers[runs_at])
    deployment.run(25)


def test_an_end_of_a_restarted_agent_proves_nothing_to_a_former_owner():
    """Guards against a second run of a task that failed under a successor.

    Both the successor and the former owner hear of the end, the latter from
    the agent's next process, and each starts the task again.
    """
    deployment, former, (successor,) = deploy_three_workers()
    start_job(deployment, former)
    runs_at = busy_worker(deployment)
    idle = [number for number in range(3) if number != runs_at]
    deployment.block(f'agent-{idle[0]}', successor.name)
    deployment.block(f'agent-{idle[1]}', former.name)
    isolate(deployment, former)
    run_until_taken(deployment, [successor])
    deployment.run(0.5)
    agent = deployment.agents[f'agent-{runs_at}']
    deployment.workers[runs_at].is_leaving = True
    agent.beat()
    deployment.run(0.2)
    deployment.rows.lose_next = 2
    deployment.workers[runs_at].fail_all()
    deployment.run(0.1)
    deployment.kill_agent(agent.name)
    deployment.blocked.add((agent.name, successor.name))
    deployment.run(0.1)
    deployment.start_agent(agent.name, deployment.workers[runs_at])
    deployment.run(25)


def test_a_resumed_owner_waits_on_for_an_agent_that_its_successor_heard():
    """Guards against a second run of an inherited task.

    Its agent does not reach this owner, which waits until all grants have
    expired. The owner is suspended near the end of the wait, and its successor
    extends the agent's lease.
    """
    deployment, former, others = deploy_three_workers(entries=3)
    start_job(deployment, former)
    runs_at = busy_worker(deployment)
    for entry in others:
        deployment.block(f'agent-{runs_at}', entry.name)
    former.has_peers = False
    former.core.release()
    waiting = run_until_taken(deployment, others)
    successor = next(entry for entry in others if entry is not waiting)
    deployment.block(f'agent-{idle_worker(deployment)}', successor.name)
    deployment.blocked.discard((f'agent-{runs_at}', successor.name))
    former.is_alive = False
    deployment.kill_entry(former.name)
    deployment.run(0.2)
    suspend(deployment, waiting, 7.5)
    run_until_taken(deployment, [successor])
    deployment.run(25)


def test_a_restarted_agent_ends_no_wait_of_a_former_owner():
    """Guards against a second run of an inherited task that is done.

    The owner waits for an agent that its successor has heard. The agent's next
    process reaches this owner first and lists nothing.
    """
    deployment, former, others = deploy_three_workers(entries=3)
    start_job(deployment, former)
    runs_at = busy_worker(deployment)
    agent = deployment.agents[f'agent-{runs_at}']
    for entry in others:
        deployment.block(agent.name, entry.name)
    former.has_peers = False
    former.core.release()
    waiting = run_until_taken(deployment, others)
    successor = next(entry for entry in others if entry is not waiting)
    deployment.block(f'agent-{idle_worker(deployment)}', successor.name)
    deployment.blocked.discard((agent.name, successor.name))
    former.is_alive = False
    deployment.kill_entry(former.name)
    deployment.run(0.2)
    isolate(deployment, waiting)
    run_until_taken(deployment, [successor])
    deployment.run(0.5)
    end_as_done(deployment.workers[runs_at])
    deployment.run(0.5)
    deployment.kill_agent(agent.name)
    deployment.blocked.add((agent.name, successor.name))
    deployment.blocked.discard((agent.name, waiting.name))
    deployment.run(0.1)
    deployment.start_agent(agent.name, deployment.workers[runs_at])
    deployment.run(25)


def test_a_former_owner_stops_no_attempt_of_its_successor():
    """Guards against the end of a sound run by an owner with an older picture.

    For the former owner the task still runs elsewhere. The agent of the next
    attempt is restarted and reaches the former owner first.
    """
    deployment, former, (successor,) = deploy_three_workers()
    start_job(deployment, former)
    failing = busy_worker(deployment)
    isolate(deployment, former)
    run_until_taken(deployment, [successor])
    deployment.run(0.5)
    deployment.workers[failing].is_leaving = True
    deployment.agents[f'agent-{failing}'].beat()
    deployment.run(0.2)
    deployment.workers[failing].fail_all()
    deployment.run(0.6)
    runs_at = busy_worker(deployment)
    agent = deployment.agents[f'agent-{runs_at}']
    deployment.kill_agent(agent.name)
    deployment.blocked.add((agent.name, successor.name))
    deployment.run(0.1)
    deployment.start_agent(agent.name, deployment.workers[runs_at])
    for _step in range(100):
        deployment.run(STEP_S)
        assert deployment.workers[runs_at].runs


@pytest.mark.parametrize('outage_s', [0, 0.3, 1])
def test_a_departure_is_applied_once_the_store_answers_again(outage_s):
    """Guards against a task that waits for a lease of an agent that left.

    The agent is gone before the ownership could be confirmed.
    """
    deployment, former, _others = deploy_three_workers()
    job = start_job(deployment, former)
    number = busy_worker(deployment)
    worker = deployment.workers[number]
    boot = worker.boot
    worker.crash()
    worker.is_unresponsive = True
    if outage_s:
        deployment.rows.rejected_clients.update(deployment.entries)
    former.core.handle_message(AgentLeft(boot, []), f'agent-{number}')
    deployment.kill_agent(f'agent-{number}')
    deployment.run(outage_s)
    deployment.rows.rejected_clients.clear()
    deployment.run(1)
    assert len(starts_of(deployment, job)) == 2


def test_a_read_confirms_the_ownership_as_of_its_sending():
    """Guards against an answer that is older than the evidence it confirms."""
    deployment, former, _others = deploy_three_workers()
    (owned,) = former.core.owner.shards.by_shard.values()
    run_until_confirmed(deployment, former)
    deployment.rows.pauses = lambda: (0, 1)
    deployment.run(0.5)
    asked_ms = former.clock.now()
    assert not owned.ownership.check_since(asked_ms)
    deployment.run(0.9)
    assert not owned.ownership.check_since(asked_ms)
    deployment.run(0.2)
    assert owned.ownership.check_since(asked_ms)
    assert not owned.ownership.check_since(asked_ms + 500)


def test_a_check_of_the_ownership_that_fails_is_repeated():
    """Guards against an owner that never expires an attempt again."""
    deployment, former, _others = deploy_three_workers()
    (owned,) = former.core.owner.shards.by_shard.values()
    store = owned._reader._store
    read_one, store.read_one = store.read_one, lambda place: fail(HistoryLost())
    assert not owned.ownership.check_since(former.clock.now())
    deployment.run(0.1)
    store.read_one = read_one
    asked_ms = former.clock.now()
    assert not owned.ownership.check_since(asked_ms)
    deployment.run(0.1)
    assert owned.ownership.check_since(asked_ms)
