"""Former owners that go on while another entry owns the shard.

A link between one agent and one entry may be missing, so that the former owner
reaches an agent that the next one does not. In each of these cases a task once
ran twice.
"""

from owner_support import (
    STEP_S,
    busy_worker,
    deploy_three_workers,
    idle_worker,
    run_until_taken,
    start_job,
    stop_renewals,
    suspend,
)
from twisted.internet.defer import fail

from hyssopring.jobs.row_keys import owner_key
from hyssopring.jobs.rows import RowPut, StoreRefused, Transaction
from standins.jobs.deployment import a_job, starts_of

WAIT_S = 25


def test_an_owner_whose_row_is_renewed_again_is_still_deposed():
    """An owner's renewals fail for some seconds, and go on after a takeover.

    The renewal of its own row does not prove that it owns the shard. It kept
    an agent's tasks alive long after its successor, which could not reach
    that agent, had stopped waiting.
    """
    deployment, former, (successor,) = deploy_three_workers()
    start_job(deployment, former, 2)
    deployment.block(f'agent-{busy_worker(deployment)}', successor.name)
    renew = former.membership.renew
    stop_renewals(former)
    run_until_taken(deployment, [successor])
    former.membership.renew = renew
    deployment.run(30)
    assert not former.core.owner.shards.by_shard


def test_an_owner_that_the_store_serves_again_starts_nothing():
    """An owner is cut off from the store and its peers for 19 s.

    It expires an attempt while it may not act. Served again, it renewed its
    row and started the task on an agent that only it could reach.
    """
    deployment, former, (successor,) = deploy_three_workers()
    start_job(deployment, former)
    runs_at = busy_worker(deployment)
    deployment.block(f'agent-{idle_worker(deployment)}', successor.name)
    former.has_peers = False
    deployment.rows.rejected_clients.add(former.name)
    run_until_taken(deployment, [successor])
    deployment.run(1)
    deployment.block(f'agent-{runs_at}', former.name)
    deployment.run(18)
    deployment.rows.rejected_clients.discard(former.name)
    deployment.run(10)


def test_an_owner_that_wakes_expires_no_attempt_of_its_successor():
    """An owner is frozen for 12 s while its successor goes on.

    The agent of a running task reaches the successor only. The former owner
    woke, expired the attempt, renewed its row and started the task on an agent
    that reached the former owner only.
    """
    deployment, former, (successor,) = deploy_three_workers()
    start_job(deployment, former)
    runs_at = busy_worker(deployment)
    deployment.block(f'agent-{idle_worker(deployment)}', successor.name)
    former.thaws_at = deployment.reactor.seconds() + 12
    deployment.block(f'agent-{runs_at}', former.name)
    deployment.run(30)


def test_a_second_takeover_waits_for_the_first_owner_too():
    """An owner is cut off with one agent; its successor dies at once.

    The successor's next process takes the shard from its own former process,
    which is dead. It waited only for that one's grants while the first owner
    still acted.
    """
    deployment, former, (successor,) = deploy_three_workers()
    start_job(deployment, former, 2)
    stop_renewals(former)
    deployment.block(f'agent-{busy_worker(deployment)}', successor.name)
    run_until_taken(deployment, [successor])
    deployment.run(0.5)
    deployment.kill_entry(successor.name)
    deployment.run(0.7)
    deployment.start_entry(successor.name)
    deployment.run(WAIT_S)


def test_a_planned_handover_does_not_forget_an_owner_that_may_act():
    """As above, but the successor releases the shard as planned."""
    deployment, former, others = deploy_three_workers(entries=3)
    start_job(deployment, former, 2)
    stop_renewals(former)
    runs_at = busy_worker(deployment)
    for other in others:
        deployment.block(f'agent-{runs_at}', other.name)
    successor = run_until_taken(deployment, others)
    deployment.run(0.5)
    successor.core.release()
    deployment.run(0.2)
    deployment.kill_entry(successor.name)
    deployment.run(WAIT_S)


def test_a_wait_that_is_over_is_removed_from_the_store():
    """A silent owner's successor has waited; the next one need not."""
    deployment, former, (successor,) = deploy_three_workers()
    former.is_alive = False
    deployment.kill_entry(former.name)
    run_until_taken(deployment, [successor])
    rows_before = [row for row in deployment.rows.rows if row.key == 'wait']
    deployment.run(19)
    rows_after = [row for row in deployment.rows.rows if row.key == 'wait']
    assert (len(rows_before), len(rows_after)) == (1, 0)


def test_a_restarted_agent_that_reaches_the_former_owner_only_keeps_tasks():
    """An agent knows the new owner, is restarted, and loses its link to it.

    The agent's new process reaches the former owner only and accepts its
    grants. The new owner expired the attempts 8.4 s after its own last grant.
    """
    deployment, former, (successor,) = deploy_three_workers()
    start_job(deployment, former)
    number = busy_worker(deployment)
    stop_renewals(former)
    run_until_taken(deployment, [successor])
    deployment.run(0.3)
    deployment.kill_agent(f'agent-{number}')
    deployment.run(0.2)
    deployment.blocked.add((f'agent-{number}', successor.name))
    deployment.start_agent(f'agent-{number}', deployment.workers[number])
    deployment.run(WAIT_S)


def test_a_restarted_agent_takes_no_second_attempt_from_a_former_owner():
    """As above, but the attempt fails under the new owner first."""
    deployment, former, (successor,) = deploy_three_workers()
    start_job(deployment, former)
    number = busy_worker(deployment)
    stop_renewals(former)
    for each in range(3):
        deployment.block(f'agent-{each}', former.name)
    run_until_taken(deployment, [successor])
    deployment.run(0.5)
    worker = deployment.workers[number]
    worker.fail_all()
    deployment.run(0.5)
    deployment.kill_agent(f'agent-{number}')
    deployment.run(0.2)
    deployment.blocked.discard((f'agent-{number}', former.name))
    deployment.blocked.add((f'agent-{number}', successor.name))
    deployment.start_agent(f'agent-{number}', worker)
    deployment.run(WAIT_S)


def test_a_restarted_agent_gets_no_waiting_task_from_a_former_owner():
    """Guards against two owners that start a task for the first time.

    All agents obey the successor, which starts the task once a worker fits it.
    An agent is restarted, does not know the successor any more and reaches the
    former owner only, for which the task still waits.
    """
    deployment, former, (successor,) = deploy_three_workers()
    job = a_job(steps=((1, ()),), label='b')
    deployment.submit(job, former.name)
    deployment.run(1)
    suspend(deployment, former, 6.5)
    for number in (0, 2):
        deployment.block(f'agent-{number}', former.name)
    run_until_taken(deployment, [successor])
    deployment.run(0.5)
    for worker in deployment.workers[:2]:
        worker.labels = ('b', 'r1')
    deployment.kill_agent('agent-1')
    deployment.blocked.add(('agent-1', successor.name))
    deployment.run(0.2)
    deployment.start_agent('agent-1', deployment.workers[1])
    deployment.run(WAIT_S)
    assert len(starts_of(deployment, job)) == 1


def test_a_job_notice_that_a_former_owner_receives_is_forwarded():
    """Guards against a job that waits until all agents have reported.

    The job's notice reaches an entry that has just lost the shard. If the
    notice is dropped, the owner finds the job by a poll only and must assume
    that a former owner has started it.
    """
    deployment, former, (successor,) = deploy_three_workers()
    deployment.block('agent-0', successor.name)
    former.core.release()
    run_until_taken(deployment, [successor])
    deployment.run(0.2)
    successor.core.poll = lambda: None
    former.membership.owner_of = lambda shard: successor.name
    job_api = former.core.job_api
    job = a_job(steps=((1, ()),))
    notices = []
    job_api._send_to_owner = lambda shard, message: notices.append(message)
    deployment.submit(job, former.name)
    deployment.run(0.1)
    former.core.handle_message(notices[0], successor.name)
    deployment.run(0.5)
    assert len(starts_of(deployment, job)) == 1


def test_an_owner_that_may_not_act_yet_expires_no_reported_attempt():
    """An owner takes a shard while its own row is not renewed.

    It sends no grants yet. It expired all reported attempts at once, as it
    counted its own grants only.
    """
    deployment, former, (successor,) = deploy_three_workers()
    deployment.run(10)
    job = start_job(deployment, former, 3)
    deployment.kill_entry(former.name)
    run_until_taken(deployment, [successor])
    owner = successor.core.owner
    owner._may_act = owner._planner._may_act = lambda: False
    deployment.run(0.1)
    owned = successor.core.owner.shards.by_shard[0]
    step_run = owned.by_job[job.job_id].step_runs['0.0']
    for _step in range(60):
        deployment.run(STEP_S)
        assert len(step_run.running) == 3


def test_an_owner_that_is_deposed_while_it_reads_starts_nothing():
    """A shard is taken again while its first new owner reads the rows.

    The last owner receives a job's notice and starts it. The first one found
    the job among the rows that it had read, and started it too.
    """
    deployment, former, (successor,) = deploy_three_workers()
    former.core.release()
    run_until_taken(deployment, [successor])
    owned = successor.core.owner.shards.by_shard[0]
    assert not owned.is_loaded
    place = owner_key(0)
    newer = deployment.rows.rows[place]
    deployment.rows.apply(
        Transaction(
            (), (RowPut(place, newer.text.replace('"reign":2', '"reign":3')),)
        )
    )
    deployment.run(0.2)
    assert not owned.is_loaded
    assert owned.is_dropped


def test_a_job_is_found_though_the_check_of_the_owner_failed_at_first():
    """The store refuses the read of the owner row after a read of jobs.

    The jobs were marked as seen and never read again.
    """
    deployment, former, _others = deploy_three_workers()
    core = former.core
    owned = core.owner.shards.by_shard[0]
    job = a_job(steps=((1, ()),))
    core.job_api._notify_owner = lambda row: None
    read_one, refused = owned._reader._store.read_one, []

    def refuse_once(place):
        if place == owner_key(0) and not refused:
            refused.append(place)
            return fail(StoreRefused('refused'))
        return read_one(place)

    owned._reader._store.read_one = refuse_once
    deployment.submit(job, former.name)
    deployment.run(4)
    assert refused
    assert len(starts_of(deployment, job)) == 1


def test_an_entry_that_stops_does_not_rank_first_for_a_shard():
    """Two of three entries are stopped in turn while their rows are renewed.

    The third one waited 1.5 s for each of them, while neither took the shard.
    """
    deployment, former, others = deploy_three_workers(entries=3)
    others[0].core.release()
    deployment.run(1.2)
    former.core.release()
    deployment.run(1.3)
    assert others[1].core.owner.shards.by_shard
