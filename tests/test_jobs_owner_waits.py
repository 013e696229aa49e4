"""For whom a new owner waits, and what ends the wait early.

Too short a wait runs a task twice; too long a one keeps keepers away.
"""

from owner_support import busy, run_until_taken, silence, start_one, three

from hyssopring.clock import ManualClock
from hyssopring.jobs.documents import EntryRow, FormerOwnerProcess, OwnerRow
from hyssopring.jobs.former_owner import FormerOwner, AcquiredShard
from hyssopring.jobs.messages import AgentGrant, ShardReleased
from hyssopring.jobs.model import AttemptEnd
from hyssopring.jobs.peer_entries import PeerEntries
from hyssopring.jobs.row_keys import former_owners_key
from hyssopring.jobs.rows import Row, RowKey, RowPut, Transaction
from standins.jobs.deployment import starts_of


def cut_off_from_successor():
    """The owner is silent, then frozen; agent-0 is cut off from the next one.

    Returns the deployment, the frozen owner and its successor.
    """
    deployment, former, (successor,) = three()
    start_one(deployment, former)
    silence(former)
    run_until_taken(deployment, [successor])
    deployment.run(1)
    former.thaws_at = deployment.reactor.seconds() + 60
    deployment.block('agent-0', successor.name)
    return deployment, former, successor


def test_an_agent_stays_listed_while_a_former_owner_may_act():
    """An agent is heard, then cut off, within the wait for a silent owner.

    It may have been restarted and reach the former owner only. Struck off, it
    would not be waited for by the next owner.
    """
    deployment, former, successor = cut_off_from_successor()
    deployment.run(12)
    roster = successor.core.owner.shards.by_shard[0].roster
    assert 'agent-0' in roster
    deployment.run(10)
    assert 'agent-0' not in roster


def test_an_agent_that_left_before_its_owner_gave_up_is_waited_for():
    """An agent ends with its worker, and its owner dies without a word.

    Until it died the owner may have given the agent's next process tasks.
    """
    deployment, former, (successor,) = three()
    deployment.workers[0].is_leaving = True
    deployment.agents['agent-0'].beat()
    deployment.run(0.1)
    deployment.block('agent-0', former.name)
    deployment.stop_agent('agent-0')
    deployment.run(0.1)
    deployment.kill_entry(former.name)
    run_until_taken(deployment, [successor])
    deployment.run(0.2)
    owned = successor.core.owner.shards.by_shard[0]
    assert owned.is_loaded
    assert owned.unreported == {'agent-0'}


def test_a_former_owner_that_had_just_begun_tells_how_long_to_wait():
    """An owner drops a shard 40 ms after it took it, unheard by most agents.

    Its successor knew nothing of those it had not heard, and waited 18.4 s
    for VMs that were gone, though the former owner had to wait 8.4 s only.
    """
    clock = ManualClock(0)
    before = FormerOwnerProcess('b', 'process', 1)
    taken = AcquiredShard(0, 5, 1, 0, (before,), confirmed_at=0, former=before)
    former = FormerOwner(clock, taken)
    told = ShardReleased(0, 4, [AgentGrant('heard', 20)], wait_ms=8300)
    former.record_release(told, 0)
    clock.advance(8335)
    assert former.grant_expires_at('not-heard') < clock.now()
    assert former.grant_expires_at('heard') >= clock.now()
    clock.advance(20)
    assert former.grant_expires_at('heard') < clock.now()


def test_an_owner_row_is_a_sign_of_life_of_its_entry():
    """An entry wakes after seconds, and takes a shard before it renews.

    Its row is old, and another entry took the shard from it within 10 ms, as
    from a silent owner.
    """
    clock = ManualClock(0)
    peers = PeerEntries(clock, 'me')
    row = EntryRow('b:1', 'process', (), 1).to_text()
    peers.read([Row(RowKey('hs_entry', '', 'b'), row, 5)])
    clock.advance(4000)
    owner = OwnerRow('b', 'process', 2)
    assert peers.is_owner_live(owner, 7) is None
    assert peers.is_owner_live(owner, 4) is False


def test_an_entry_that_starts_after_a_release_knows_that_it_happened():
    """All entries are replaced in turn, and VMs with them.

    No other entry was there to be told when the owner gave the shard up. The
    next one had just started, and did not take the last word of agents that
    ended after that: it waited 8.4 s for them, and keepers with it.
    """
    deployment, former, (successor,) = three()
    start_one(deployment, former, 2)
    deployment.kill_entry(successor.name)
    deployment.run(0.1)
    former.core.release()
    deployment.run(0.5)
    deployment.start_entry(successor.name)
    deployment.run(1.2)
    number = busy(deployment)
    worker = deployment.workers[number]
    worker.is_leaving = True
    deployment.agents[f'agent-{number}'].beat()
    for run in list(worker.runs.values()):
        worker.end(run, AttemptEnd.STOPPED)
    deployment.run(0.7)
    worker.is_dark = True
    deployment.stop_agent(f'agent-{number}')
    deployment.run(4)
    owned = deployment.entries[successor.name].core.owner.shards.by_shard[0]
    assert owned.former.is_over
    assert not owned.unreported


def test_two_owners_that_were_killed_are_not_waited_for_once_they_are_back():
    """A VM is lost for good, and two owners in a row are killed after it.

    The third owner knew of the first only that it may still act, and of the
    second nothing at all: the lost VM's keeper waited 18.4 s. Both entries
    were back within seconds, so that their former processes were dead.
    """
    deployment, first, others = three(entries=3)
    job = start_one(deployment, first)
    number = busy(deployment)
    deployment.workers[number].crash()
    deployment.workers[number].is_dark = True
    deployment.kill_agent(f'agent-{number}')
    deployment.kill_entry(first.name)
    second = run_until_taken(deployment, others)
    deployment.kill_entry(second.name)
    (third,) = (each for each in others if each is not second)
    run_until_taken(deployment, [third])
    deployment.run(1)
    assert not third.core.owner.shards.by_shard[0].former.is_over
    deployment.start_entry(first.name)
    deployment.start_entry(second.name)
    deployment.run(2)
    assert third.core.owner.shards.by_shard[0].former.is_over
    deployment.run(9)
    assert len(starts_of(deployment, job)) == 2


def test_a_silent_owner_stays_in_doubt_however_many_follow_it():
    """An owner freezes; its successor is killed and comes back.

    Only the successor is known to be dead. The first one may wake and order
    agents that the third owner does not reach: it is waited for.
    """
    deployment, first, others = three(entries=3)
    start_one(deployment, first)
    first.thaws_at = deployment.reactor.seconds() + 60
    second = run_until_taken(deployment, others)
    deployment.kill_entry(second.name)
    (third,) = (each for each in others if each is not second)
    run_until_taken(deployment, [third])
    deployment.start_entry(second.name)
    deployment.run(3)
    former = third.core.owner.shards.by_shard[0].former
    assert not former.is_over
    assert former.wait_ms > 12_000


def test_an_agent_stays_listed_after_its_former_owner_was_found_dead():
    """A frozen owner's VM gets a new process, while an agent is cut off.

    The agent may have been restarted and reached the frozen owner alone before
    that one died: what it was granted then lasts for 8 s more. Struck off at
    the death, its tasks would be started elsewhere beside it.
    """
    deployment, former, successor = cut_off_from_successor()
    deployment.run(9.5)
    deployment.kill_entry(former.name)
    deployment.start_entry(former.name)
    deployment.run(3)
    owned = successor.core.owner.shards.by_shard[0]
    assert owned.former.is_over
    assert 'agent-0' in owned.roster
    deployment.run(9)
    assert 'agent-0' not in owned.roster


def test_a_wait_row_without_names_is_waited_for():
    """Entries of two releases run side by side; the older one's row is empty.

    Nobody knows which owner it speaks of, so that none is found dead: taken
    for no owner at all, the next one would run tasks beside it.
    """
    deployment, former, (successor,) = three()
    deployment.rows.apply(Transaction((), (RowPut(former_owners_key(0), ''),)))
    deployment.kill_entry(former.name)
    run_until_taken(deployment, [successor])
    deployment.start_entry(former.name)
    deployment.run(5)
    owned = successor.core.owner.shards.by_shard[0]
    assert not owned.former.is_over
    assert owned.former.wait_ms > 12_000
    deployment.run(15)
    assert former_owners_key(0) not in deployment.rows.rows


def test_an_owner_hands_on_what_the_one_before_said_of_an_unheard_agent():
    """An agent dies; its owner and the next one give the shard up in a row.

    The second had not heard the agent and named no grant of it, nor a wait:
    the third started its tasks at once, while they ran on.
    """
    deployment, former, others = three(entries=3)
    job = start_one(deployment, former)
    number = busy(deployment)
    deployment.kill_agent(f'agent-{number}')
    former.core.release()
    second = run_until_taken(deployment, others)
    deployment.run(0.3)
    assert second.core.owner.shards.by_shard[0].is_loaded
    second.core.release()
    run_until_taken(deployment, [each for each in others if each != second])
    deployment.run(12)
    assert len(starts_of(deployment, job)) == 2
