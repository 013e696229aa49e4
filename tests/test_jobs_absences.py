"""What the roster says of agents that are away, and who may rely on it.

The workers' book asserts all the while that no task runs twice.
"""

import pytest

from hyssopring.jobs.documents import AgentRow, RosterRow, MalformedRowError
from hyssopring.jobs.row_keys import agent_key, owner_key, roster_key
from hyssopring.jobs.rows import RowPut, Transaction
from hyssopring.jobs.times import GRANT_EXPIRY_MS
from standins.jobs.deployment import Deployment, a_job, settled, starts_of

FOREVER_MS = 1e9
AWAY = 'agent-0'
LOST_AFTER_S = GRANT_EXPIRY_MS / 1000


def lasting(workers=3, entries=3):
    """One lasting task on each worker."""
    deployment = settled(
        Deployment(
            workers=workers, entries=entries, work_ms=lambda task: FOREVER_MS
        )
    )
    job = a_job(steps=((workers, ()),), is_keeper=True, max_per_worker=1)
    deployment.submit(job)
    deployment.run(1)
    assert all(worker.runs for worker in deployment.workers)
    return deployment, job


def row_text(deployment, agent=AWAY):
    row = deployment.rows.rows.get(agent_key(0, agent))
    return row.text if row else None


def owned_shard(deployment):
    entry = deployment.entries[deployment.owner]
    return entry.core.owner.shards.by_shard[0]


def kill_owner(deployment, back_s=0.7):
    name = deployment.owner
    deployment.kill_entry(name)
    deployment.run(back_s)
    deployment.start_entry(name)
    for _each in range(500):
        deployment.run(0.01)
        shards = deployment.entries[name].core.owner.shards.by_shard.values()
        if any(owned.is_loaded for owned in shards):
            return
    raise AssertionError('the owner has not come back')


def run_until_reign(deployment, reign):
    """Go on until an owner of this reign knows all jobs."""
    for _each in range(800):
        deployment.run(0.01)
        for entry in deployment.entries.values():
            for owned in entry.core.owner.shards.by_shard.values():
                if owned.epoch == reign and owned.is_loaded:
                    return
    raise AssertionError('there is no such reign')


def wait_left_s(deployment, agent=AWAY):
    return owned_shard(deployment).wait_ms(agent) / 1000


def test_the_row_of_an_agent_that_is_away_says_until_when():
    """A next owner could not know when an agent was last granted."""
    deployment, _job = lasting()
    deployment.kill_agent(AWAY)
    deployment.run(2)
    told = AgentRow.from_text(row_text(deployment))
    left_s = (told.over_ms - deployment.rows.now_ms) / 1000
    assert LOST_AFTER_S - 3 < left_s <= LOST_AFTER_S - 1


def test_an_agent_that_is_away_for_a_moment_costs_no_write():
    """Each restart of an entry would write one row for each agent."""
    deployment, _job = lasting()
    version = deployment.rows.rows[agent_key(0, AWAY)].version
    deployment.block(AWAY, deployment.owner)
    deployment.run(0.5)
    deployment.blocked.clear()
    deployment.run(3)
    assert deployment.rows.rows[agent_key(0, AWAY)].version == version


def test_an_agent_that_came_back_is_waited_for_again():
    """An agent is away, comes back, and is then cut off with its task.

    An owner that went by what the row had said before would start the task a
    second time while it runs.
    """
    deployment, job = lasting()
    deployment.cut_off(AWAY)
    deployment.run(5)
    deployment.heal(AWAY)
    deployment.run(2)
    assert not AgentRow.from_text(row_text(deployment)).is_suspended
    deployment.cut_off(AWAY)
    kill_owner(deployment)
    assert wait_left_s(deployment) > LOST_AFTER_S - 1
    deployment.run(LOST_AFTER_S + 3)
    assert len(starts_of(deployment, job)) == 3


def test_an_agent_is_not_granted_before_its_row_is_taken_back():
    """An agent comes back while the store does not answer.

    Granted at once, its task would run on past the time that the next owner
    reads in the row.
    """
    deployment, _job = lasting()
    deployment.cut_off(AWAY)
    deployment.run(3)
    deployment.rows.is_silent = True
    deployment.heal(AWAY)
    deployment.run(1)
    worker = deployment.entries[deployment.owner].core.fleet.by_agent[AWAY]
    assert worker.is_connected
    owned = owned_shard(deployment)
    assert not owned.roster.may_grant(AWAY)
    assert not owned.may_start_on(AWAY)
    granted_at = worker.granted_at
    deployment.run(1)
    assert worker.granted_at == granted_at
    deployment.rows.is_silent = False
    deployment.run(2)
    assert owned.roster.may_grant(AWAY)
    assert worker.granted_at > granted_at


def test_an_agent_whose_worker_answers_again_is_waited_for_again():
    """A worker is silent for some seconds and runs on; then all is cut off.

    An owner that went by what the row had said of the silent worker's agent
    would start the task a second time while it runs.
    """
    deployment, job = lasting()
    worker = deployment.workers[0]
    worker.is_dark = True
    deployment.run(4)
    assert AgentRow.from_text(row_text(deployment)).is_suspended
    worker.is_dark = False
    deployment.run(2)
    assert not AgentRow.from_text(row_text(deployment)).is_suspended
    assert worker.runs
    deployment.cut_off(AWAY)
    kill_owner(deployment)
    assert wait_left_s(deployment) > LOST_AFTER_S - 1
    deployment.run(LOST_AFTER_S + 3)
    assert len(starts_of(deployment, job)) == 3


@pytest.mark.parametrize('late_s', [0.2, 1, 3])
def test_a_row_that_is_written_late_does_not_follow_the_agent_s_return(late_s):
    """The write that an agent is away has no answer, and is done later.

    The agent is back by then and is granted: a next owner that read the row
    would start its task a second time.
    """
    deployment, _job = lasting()
    deployment.cut_off(AWAY)
    deployment.run(0.9)
    deployment.rows.lose_next, deployment.rows.late_s = 1, late_s
    deployment.run(0.5)
    deployment.heal(AWAY)
    deployment.run(6)
    assert owned_shard(deployment).roster.may_grant(AWAY)
    assert not AgentRow.from_text(row_text(deployment)).is_suspended
    deployment.cut_off(AWAY)
    kill_owner(deployment)
    assert wait_left_s(deployment) > LOST_AFTER_S - 1
    deployment.run(LOST_AFTER_S + 3)


def test_an_owner_of_the_release_before_makes_the_rows_void():
    """During a roll an owner grants agents without a look at their rows."""
    deployment, _job = lasting()
    deployment.cut_off(AWAY)
    deployment.run(3)
    assert row_text(deployment)
    place = owner_key(0)
    newer = deployment.rows.rows[place].text.replace('"reign":1', '"reign":2')
    deployment.rows.apply(Transaction((), (RowPut(place, newer),)))
    run_until_reign(deployment, 3)
    assert wait_left_s(deployment) > LOST_AFTER_S - 1


def test_a_store_that_tells_no_time_leaves_the_wait_as_it_was():
    """Without a common clock nothing is known of an agent's last grant."""
    deployment, _job = lasting()
    deployment.kill_agent(AWAY)
    deployment.run(3)
    deployment.rows.tells_time = False
    kill_owner(deployment)
    assert wait_left_s(deployment) > LOST_AFTER_S - 1


def test_a_wait_that_a_dead_owner_shortens_is_written_again():
    """An owner learns that the one before is dead: 18 s become 8 s.

    Its own successor would have waited for the longer time.
    """
    deployment, _job = lasting()
    deployment.cut_off(AWAY)
    former = deployment.owner
    deployment.kill_entry(former)
    deployment.run(7)
    long = AgentRow.from_text(row_text(deployment)).over_ms
    deployment.start_entry(former)
    deployment.run(4)
    assert AgentRow.from_text(row_text(deployment)).over_ms < long - 3000


def test_an_agent_whose_time_is_over_is_struck_though_an_owner_may_act():
    """It would hold up every owner until the silent one's authority ends."""
    deployment, _job = lasting()
    deployment.cut_off(AWAY)
    deployment.run(6)
    deployment.kill_entry(deployment.owner)
    deployment.run(9)
    assert owned_shard(deployment).former.may_act
    assert row_text(deployment) is None


def test_a_chain_of_owners_begins_anew_after_a_gap():
    """What was said before an owner that keeps no rows counts no more."""
    assert RosterRow(0, 0).next(0) == RosterRow(1, 1, is_complete=True)
    assert RosterRow(4, 2).next(4) == RosterRow(5, 2)
    assert RosterRow(4, 2, is_complete=True).next(4).is_complete
    assert RosterRow(4, 2, is_complete=True).next(5) == RosterRow(6, 6)


@pytest.mark.parametrize(
    'text',
    [
        'x',
        '[]',
        '{"tasks":7}',
        '{"over_ms":1,"reign":-1}',
        '{"over_ms":1e999,"reign":1}',
    ],
)
def test_a_row_that_cannot_be_read_says_nothing(text):
    """A row of another writer must not shorten a wait."""
    with pytest.raises(MalformedRowError):
        AgentRow.from_text(text)


@pytest.mark.parametrize('text', ['', '{}'])
def test_an_empty_row_shortens_no_wait(text):
    """The rows of the release before are empty."""
    assert AgentRow.from_text(text) == AgentRow()
    assert not AgentRow.from_text(text).is_suspended


def test_the_owners_row_and_the_roster_s_are_written_together():
    """An owner between the two would vouch for rows that it never read."""
    deployment, _job = lasting()
    rows = deployment.rows.rows
    kill_owner(deployment)
    assert rows[owner_key(0)].version == rows[roster_key(0)].version
    assert '"reign":2,"since":1' in rows[roster_key(0)].text
