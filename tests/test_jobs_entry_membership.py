"""Takeovers of shards by an entry, on a store in memory."""

from types import SimpleNamespace

from twisted.internet.task import Clock as Reactor

from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.jobs.documents import (
    EntryRow,
    FormerOwnerProcess,
    FormerOwnersRow,
    OwnerRow,
)
from hyssopring.jobs.entry_membership import EntryMembership
from hyssopring.jobs.row_keys import (
    ENTRIES_TABLE,
    former_owners_key,
    owner_key,
)
from hyssopring.jobs.rows import RowKey, RowPut, Transaction
from standins.jobs.processes import ProcessReactor, ReactorClock
from standins.jobs.rows import MemoryRows

# The entry that comes first in line for the shard.
STRONGER = RowKey(ENTRIES_TABLE, '', 'b')
STEP_S = 0.1
STEPS_PER_TICK = 10
RUN_S = 6
FORMER_ROW = EntryRow('', 'b1', (0,), 1)
# The shard is free from then on, and taken after a delay for the rank.
REPLACED_AT_S = 2
DIES_AT_S = 2.7


def put(store, row_key, document):
    row_put = RowPut(row_key, document.to_text())
    return store.apply(Transaction((), (row_put,))).version


def test_a_former_owner_has_not_ended_before_earlier_ones_have():
    """Guards against departures that an earlier owner has overtaken."""
    reactor = Reactor()
    process = SimpleNamespace(is_alive=True, thaws_at=None)
    store = MemoryRows(reactor)
    client = store.client('c', ProcessReactor(reactor, process))
    earlier = FormerOwnerProcess('a', 'a1', 1)
    put(store, former_owners_key(0), FormerOwnersRow((earlier,)))
    put(store, owner_key(0), OwnerRow('b', 'b1', 2))
    member = EntryMembership(
        reactor,
        ReactorClock(reactor),
        client,
        'c',
        'c1',
        '',
    )
    dead = {'b'}
    acquired = []
    member.is_dead = lambda process: process.entry_id in dead
    member.on_acquired = acquired.append
    member.owned = lambda: tuple(each.shard for each in acquired)
    for step in range(round(RUN_S / STEP_S)):
        if step % STEPS_PER_TICK == 0:
            is_replaced = reactor.seconds() >= REPLACED_AT_S
            row = EntryRow('', 'b2', (), 1) if is_replaced else FORMER_ROW
            put(store, STRONGER, row)
            member.tick()
        if reactor.seconds() >= DIES_AT_S:
            dead.add(earlier.entry_id)
        reactor.advance(STEP_S)
    (shard,) = acquired
    assert not shard.unconfirmed
    assert shard.former_ended_at >= DIES_AT_S * MILLIS_PER_SECOND
