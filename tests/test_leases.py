"""Shard leases of entries: at most one planner per shard, and one in the end."""

import pytest
from result import Ok

from hyssopring.clock import ManualClock
from hyssopring.leases import ShardHolder, ShardSettings
from hyssopring.protocol.messages import EntryMember
from hyssopring.store.rows import Committed, Conflict, Row
from standins.table import Table
from standins.virtual import VirtualDeployment


def shards_by_entry(deployment):
    """Return the shards that each live entry holds with a valid lease."""
    return {
        name: [held.shard for held in entry.core.shards.held()]
        for name, entry in deployment.entry_by_name.items()
        if entry.is_alive
    }


def all_held_shards(deployment):
    return sorted(sum(shards_by_entry(deployment).values(), []))


def test_every_shard_is_planned_again_after_an_outage():
    """Guards against shards without a planner after an outage of the table.

    Both entries' leases expire in the outage. Afterwards the shards' rows
    still name their old holders, which renew and so are live to each other.
    """
    deployment = VirtualDeployment()
    deployment.run(10_000)
    deployment.table.outage = True
    deployment.run(60_000)
    assert all_held_shards(deployment) == []
    deployment.table.outage = False
    deployment.run(10_000)
    assert all_held_shards(deployment) == [0, 1, 2, 3]


@pytest.mark.parametrize('skipped_polls', range(6))
def test_every_shard_is_planned_when_a_response_was_lost(skipped_polls):
    """Guards against a shard without a planner after a lost response.

    The entry takes a shard, the response is lost, and the entry does not
    know that it is the holder; no other entry may take the shard.
    """
    deployment = VirtualDeployment(entries=1)
    deployment.run(1001 + skipped_polls * 1000)
    deployment.entry().store.lose_responses = 1
    deployment.run(20_000)
    assert all_held_shards(deployment) == [0, 1, 2, 3]


def test_lost_response_to_a_renewal_costs_no_shard():
    """Guards against jobs that stall for seconds after one lost response."""
    deployment = VirtualDeployment(entries=1)
    deployment.run(10_000)
    epochs = [held.epoch for held in deployment.entry().core.shards.held()]
    deployment.entry().store.lose_responses = 1
    deployment.run(5_000)
    held = deployment.entry().core.shards.held()
    assert [held_shard.epoch for held_shard in held] == epochs


def test_paused_entry_detects_that_it_lost_its_shards():
    """Guards against a task that runs twice after an entry was paused.

    The entry is paused for 30 s, its shards are taken over, and it resumes.
    """
    deployment = VirtualDeployment()
    deployment.run(10_000)
    paused = deployment.entry(0)
    paused.is_paused = True
    deployment.run(30_000)
    assert shards_by_entry(deployment)['entry-1'] == [0, 1, 2, 3]
    paused.is_paused = False
    for _ in range(200):
        deployment.run(50)
        held = all_held_shards(deployment)
        assert len(held) == len(set(held))
    assert held == [0, 1, 2, 3]


def test_entry_of_the_same_id_waits_for_the_old_ones_lease():
    """Guards against two planners of a shard after a VM was replaced.

    The old VM is cut off but still runs; the new process of the same id
    must not overwrite the old one's row while its lease may be valid.
    """
    deployment = VirtualDeployment(entries=1)
    deployment.run(10_000)
    old = deployment.entry(0)
    replacement = deployment.restart_entry(0)
    deployment.loop.later(1500, setattr, old.store, 'is_cut', True)
    for _ in range(300):
        deployment.run(50)
        assert not (old.core.shards.held() and replacement.core.shards.held())
    assert len(replacement.core.shards.held()) == 4


class _RacingStore:
    """Responds immediately; can run a callback between two reads."""

    def __init__(self, table):
        self.table = table
        self.before_shards = []

    def commit(self, transaction, done):
        answer = self.table.commit(
            transaction.operation,
            [(check.key, check.version) for check in transaction.checks],
            [(put.key, put.document) for put in transaction.puts],
        )
        if 'versions' in answer:
            done(Ok(Committed(answer['versions'])))
        else:
            done(Ok(Conflict(tuple(Row(*row) for row in answer['rows']))))

    def read(self, prefix, done):
        if prefix == 'shards/' and self.before_shards:
            self.before_shards.pop()()
        done(Ok([Row(*row) for row in self.table.read(prefix)]))


def test_entry_that_registers_between_two_reads_keeps_its_shard():
    """Guards against two planners of a shard when entries start together.

    One entry reads the entries, another registers and takes a shard, and the
    first reads the shards and finds a holder that it does not know.
    """
    clock = ManualClock(1000)
    table = Table()
    stores = [_RacingStore(table), _RacingStore(table)]
    first, second = (
        ShardHolder(
            clock,
            store,
            EntryMember(f'entry-{number}', '', ''),
            lambda held: None,
            lambda shard: None,
            ShardSettings(shards=1),
        )
        for number, store in enumerate(stores)
    )
    stores[0].before_shards.append(second.poll)
    first.poll()
    assert [bool(held_shard.held()) for held_shard in (first, second)] == [
        False,
        True,
    ]


GOOD_ENTRY = {'incarnation': 'x', 'address': 'a:1', 'configuration': 0}


@pytest.mark.parametrize(
    'document',
    [
        {},
        [],
        None,
        'text',
        7,
        {'incarnation': 'x'},
        {**GOOD_ENTRY, 'incarnation': 7},
        {**GOOD_ENTRY, 'address': None},
        {**GOOD_ENTRY, 'configuration': 'new'},
        {**GOOD_ENTRY, 'configuration': float('nan')},
        {**GOOD_ENTRY, 'zone': ['z']},
        {**GOOD_ENTRY, 'agents': '1'},
    ],
    ids=str,
)
def test_malformed_row_among_the_entries_stops_no_entry(document, errors):
    """Guards against entries that never renew their leases again.

    The reader of the rows raised an error, and counted as busy for good.
    """
    deployment = VirtualDeployment()
    deployment.run(10_000)
    assert all_held_shards(deployment) == [0, 1, 2, 3]
    key = 'entries/odd'
    deployment.table.rows_by_key[key] = [key, 1, 'other', document]
    deployment.run(20_000)
    assert all_held_shards(deployment) == [0, 1, 2, 3]
    assert len(errors) == 2, 'once in each entry'
    members = deployment.entry(0).core.shards.registry.members
    assert len(members) == 2


@pytest.mark.parametrize('document', [{}, [], 7, {'incarnation': 7}], ids=str)
def test_entry_whose_row_is_overwritten_registers_again(document):
    deployment = VirtualDeployment()
    deployment.run(10_000)
    key = 'entries/entry-0'
    version = deployment.table.row(key)[1]
    row = [key, version + 1, 'other', document]
    deployment.table.rows_by_key[key] = row
    deployment.run(20_000)
    assert all_held_shards(deployment) == [0, 1, 2, 3]
    assert all(shards_by_entry(deployment).values())


@pytest.mark.parametrize(
    'document',
    [{}, [], 7, {'holder': 'entry-0', 'incarnation': 'x', 'epoch': 10**400}],
    ids=lambda odd: str(odd)[:30],
)
def test_malformed_row_of_a_shard_stops_no_other_shard(document, errors):
    """Guards against shards that no entry takes because of one row."""
    deployment = VirtualDeployment()
    deployment.run(10_000)
    key = 'shards/0001'
    _key, version, _operation, good = deployment.table.row(key)
    row = [key, version + 1, 'other', document]
    deployment.table.rows_by_key[key] = row
    deployment.entry(0).is_alive = False
    deployment.run(5000)
    assert 1 not in all_held_shards(deployment), 'an owner may still act'
    deployment.run(25_000)
    assert all_held_shards(deployment) == [0, 1, 2, 3]
    held = deployment.entry(1).core.shards.get(1)
    assert held.epoch > good['epoch']
    assert len(errors) == 1
