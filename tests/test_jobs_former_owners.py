"""Owners that go on without knowing of their successors.

A link may be missing between one agent and one entry only, so that the former
owner reaches an agent that the next one does not. Each of these days ran one
task twice.
"""

from owner_support import (
    STEP_S,
    busy,
    idle,
    run_until_taken,
    silence,
    start_one,
    three,
)
from twisted.internet.defer import fail

from hyssopring.jobs.row_keys import owner_key
from hyssopring.jobs.rows import RowPut, StoreRefused, Transaction
from standins.jobs.deployment import a_job, starts_of

WAIT_S = 25


def test_an_owner_whose_row_is_renewed_again_is_still_deposed():
    """An owner's renewals fail for some seconds, and go on after a takeover.

    It had authority as long as its own row was renewed, which says nothing of
    the shard, and kept an agent's tasks alive that its successor could not
    reach, long after that one's wait was over.
    """
    deployment, former, (successor,) = three()
    start_one(deployment, former, 2)
    deployment.block(f'agent-{busy(deployment)}', successor.name)
    renew = former.membership.renew
    silence(former)
    run_until_taken(deployment, [successor])
    former.membership.renew = renew
    deployment.run(30)
    assert not former.core.owner.shards.by_shard


def test_an_owner_that_the_store_serves_again_starts_nothing():
    """An owner is cut from the store and its peers for 19 s.

    It gives an attempt up while it may not act. Served again, it renewed its
    row and started the attempt on an agent that only it could reach.
    """
    deployment, former, (successor,) = three()
    start_one(deployment, former)
    runs_at = busy(deployment)
    deployment.block(f'agent-{idle(deployment)}', successor.name)
    former.has_peers = False
    deployment.rows.shunned.add(former.name)
    run_until_taken(deployment, [successor])
    deployment.run(1)
    deployment.block(f'agent-{runs_at}', former.name)
    deployment.run(18)
    deployment.rows.shunned.discard(former.name)
    deployment.run(10)


def test_an_owner_that_wakes_gives_up_no_attempt_of_its_successor():
    """An owner is frozen for 12 s while its successor goes on.

    The agent of a running task is linked to the successor only. The owner
    woke, counted the attempt as lapsed, renewed its row and started it on an
    agent that was linked to itself only.
    """
    deployment, former, (successor,) = three()
    start_one(deployment, former)
    runs_at = busy(deployment)
    deployment.block(f'agent-{idle(deployment)}', successor.name)
    former.thaws_at = deployment.reactor.seconds() + 12
    deployment.block(f'agent-{runs_at}', former.name)
    deployment.run(30)


def test_a_second_takeover_waits_for_the_first_owner_too():
    """An owner is cut off with one agent; its successor dies at once.

    The successor's next process takes the shard back from its own former
    process, which is dead, and waited only as long as that one's grants
    last. The first owner still acted.
    """
    deployment, former, (successor,) = three()
    start_one(deployment, former, 2)
    silence(former)
    deployment.block(f'agent-{busy(deployment)}', successor.name)
    run_until_taken(deployment, [successor])
    deployment.run(0.5)
    deployment.kill_entry(successor.name)
    deployment.run(0.7)
    deployment.start_entry(successor.name)
    deployment.run(WAIT_S)


def test_a_planned_handover_does_not_forget_an_owner_that_may_act():
    """As above, but the successor gives the shard up as planned."""
    deployment, former, others = three(entries=3)
    start_one(deployment, former, 2)
    silence(former)
    runs_at = busy(deployment)
    for other in others:
        deployment.block(f'agent-{runs_at}', other.name)
    successor = run_until_taken(deployment, others)
    deployment.run(0.5)
    successor.core.release()
    deployment.run(0.2)
    deployment.kill_entry(successor.name)
    deployment.run(WAIT_S)


def test_a_wait_that_is_over_is_not_owed_any_more():
    """A silent owner's successor has waited; the next one need not."""
    deployment, former, (successor,) = three()
    former.is_alive = False
    deployment.kill_entry(former.name)
    run_until_taken(deployment, [successor])
    owed = [row for row in deployment.rows.rows if row.key == 'wait']
    deployment.run(19)
    left = [row for row in deployment.rows.rows if row.key == 'wait']
    assert (len(owed), len(left)) == (1, 0)


def test_a_restarted_agent_that_reaches_the_former_owner_only_keeps_tasks():
    """An agent has heard of the new owner, is restarted, and loses its link.

    The new process hears the former owner only, and takes its grants. The new
    owner counted the attempts there as lapsed 8.4 s after its own last grant.
    """
    deployment, former, (successor,) = three()
    start_one(deployment, former)
    number = busy(deployment)
    silence(former)
    run_until_taken(deployment, [successor])
    deployment.run(0.3)
    deployment.kill_agent(f'agent-{number}')
    deployment.run(0.2)
    deployment.blocked.add((f'agent-{number}', successor.name))
    deployment.start_agent(f'agent-{number}', deployment.workers[number])
    deployment.run(WAIT_S)


def test_a_restarted_agent_takes_no_second_attempt_from_a_former_owner():
    """As above, but the attempt fails under the new owner first."""
    deployment, former, (successor,) = three()
    start_one(deployment, former)
    number = busy(deployment)
    silence(former)
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


def test_a_job_that_a_former_owner_is_told_of_is_passed_on():
    """A job's notice comes to an entry that has just lost the shard.

    It was dropped, and the owner found the job by its poll only: a job that
    may have begun, for which it waited until all agents were heard.
    """
    deployment, former, (successor,) = three()
    deployment.block('agent-0', successor.name)
    former.core.release()
    run_until_taken(deployment, [successor])
    deployment.run(0.2)
    successor.core.poll = lambda: None
    former.membership.owner_of = lambda shard: successor.name
    desk = former.core.job_api
    job = a_job(steps=((1, ()),))
    notices = []
    desk._send_to_owner = lambda shard, message: notices.append(message)
    deployment.submit(job, former.name)
    deployment.run(0.1)
    former.core.handle_message(notices[0], successor.name)
    deployment.run(0.5)
    assert len(starts_of(deployment, job)) == 1


def test_an_owner_that_may_not_act_yet_gives_up_nothing_that_it_hears_of():
    """An owner takes a shard while its own row is not renewed.

    It grants nothing, and hears from the agents what runs. Counted from its
    own grants only, all of that was over at once.
    """
    deployment, former, (successor,) = three()
    deployment.run(10)
    job = start_one(deployment, former, 3)
    deployment.kill_entry(former.name)
    run_until_taken(deployment, [successor])
    owner = successor.core.owner
    owner._may_act = owner._planner._may_act = lambda: False
    deployment.run(0.1)
    owned = successor.core.owner.shards.by_shard[0]
    step_run = owned.by_job[job.job_id].step_runs['0.0']
    for _each in range(60):
        deployment.run(STEP_S)
        assert len(step_run.running) == 3


def test_an_owner_that_is_deposed_while_it_reads_starts_nothing():
    """A shard changes hands twice while its first taker reads the rows.

    A job is told to the last one, which starts it. The first one found it
    among the rows that it had read, and started it too.
    """
    deployment, former, (successor,) = three()
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
    """The store refuses the reading that is to show the owner's row.

    The jobs that were read with it were marked as seen, and were not looked
    for again.
    """
    deployment, former, _others = three()
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


def test_an_entry_that_stops_does_not_come_first_for_a_shard():
    """Two of three entries are stopped in turn; both still show that they live.

    The third one left the shard to them, 1.5 s to each, while neither took it.
    """
    deployment, former, others = three(entries=3)
    others[0].core.release()
    deployment.run(1.2)
    former.core.release()
    deployment.run(1.3)
    assert others[1].core.owner.shards.by_shard
