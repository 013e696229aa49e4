"""Shard leases of entries: one planner per shard, and always one in the end."""

import pytest
from result import Ok

from hyssopring.clock import ManualClock
from hyssopring.protocol.messages import EntryMember
from hyssopring.leases import ShardHolder, ShardSettings
from hyssopring.store.rows import Committed, Conflict, Row
from standins.table import Table
from standins.virtual import VirtualDeployment


def holders(deployment):
    """Shards by the entries that hold them with a valid lease now."""
    return {
        name: [held.shard for held in entry.core.shards.held()]
        for name, entry in deployment.entry_by_name.items()
        if entry.is_alive
    }


def all_held(deployment):
    return sorted(sum(holders(deployment).values(), []))


def test_every_shard_is_planned_again_after_an_outage():
    """Jobs stand still after the table was down for a minute, for ever.

    Both entries' leases lapse in the outage. Afterwards the shards' rows
    still name their old holders, which renew and so look alive to each other.
    """
    deployment = VirtualDeployment()
    deployment.run(10_000)
    deployment.table.outage = True
    deployment.run(60_000)
    assert all_held(deployment) == []
    deployment.table.outage = False
    deployment.run(10_000)
    assert all_held(deployment) == [0, 1, 2, 3]


@pytest.mark.parametrize('skipped', range(6))
def test_every_shard_is_planned_when_an_answer_was_lost(skipped):
    """Jobs of some shards never start after a short fault of the table.

    The entry's takeover of a shard takes effect, its answer is lost, and it
    does not know that it is the holder; nobody else may take the shard.
    """
    deployment = VirtualDeployment(entries=1)
    deployment.run(1001 + skipped * 1000)
    deployment.entry().store.lose_answers = 1
    deployment.run(20_000)
    assert all_held(deployment) == [0, 1, 2, 3]


def test_lost_answer_to_a_renewal_deposes_nobody():
    """Every job of an entry stalls for seconds after one lost answer."""
    deployment = VirtualDeployment(entries=1)
    deployment.run(10_000)
    epochs = [held.epoch for held in deployment.entry().core.shards.held()]
    deployment.entry().store.lose_answers = 1
    deployment.run(5_000)
    held = deployment.entry().core.shards.held()
    assert [each.epoch for each in held] == epochs


def test_paused_entry_finds_itself_deposed():
    """A job's task runs in two places after an entry was frozen.

    The entry is stopped for 30 s, its shards are taken over, and it goes on
    as if nothing had happened.
    """
    deployment = VirtualDeployment()
    deployment.run(10_000)
    paused = deployment.entry(0)
    paused.is_paused = True
    deployment.run(30_000)
    assert holders(deployment)['entry-1'] == [0, 1, 2, 3]
    paused.is_paused = False
    for _ in range(200):
        deployment.run(50)
        held = all_held(deployment)
        assert len(held) == len(set(held))
    assert held == [0, 1, 2, 3]


def test_entry_of_the_same_id_waits_for_the_old_ones_lease():
    """Two planners run one shard after an entry's VM was replaced.

    The old VM is cut off but still runs; the new process of the same id
    must not write over the old one's row while its lease may be good.
    """
    deployment = VirtualDeployment(entries=1)
    deployment.run(10_000)
    old = deployment.entry(0)
    fresh = deployment.restart_entry(0)
    deployment.loop.later(1500, setattr, old.store, 'is_cut', True)
    for _ in range(300):
        deployment.run(50)
        assert not (old.core.shards.held() and fresh.core.shards.held())
    assert len(fresh.core.shards.held()) == 4


class _RacingStore:
    """Answers at once; lets another act between two reads."""

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
    """Two planners hold one shard while entries start together.

    One reads the entries, another registers and takes a shard, the first
    reads the shards and finds a holder that it has not heard of.
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
    assert [bool(each.held()) for each in (first, second)] == [False, True]
