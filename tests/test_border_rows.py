"""Rows that another writer left: an odd one hides none of the others."""

import json
import random

import pytest
from border_support import Rows, mutated
from twisted.internet.defer import succeed
from twisted.internet.task import Clock as Reactor

from hyssopring.clock import ManualClock
from hyssopring.jobs.discovery import EntryDiscovery
from hyssopring.jobs.documents import (
    EntryRow,
    JobRow,
    OwnerRow,
    ProgressRow,
    MalformedRowError,
)
from hyssopring.jobs.links import LinkDialler
from hyssopring.jobs.model import JobState
from hyssopring.jobs.peer_entries import PeerEntries
from hyssopring.jobs.row_keys import (
    ENTRIES_TABLE,
    job_key,
    owner_key,
    progress_key,
)
from hyssopring.jobs.rows import Page, Row, RowKey
from standins.jobs.deployment import Deployment, a_job, settled, starts_of

ODD_ENTRIES = (
    '',
    'no json',
    '[]',
    '7',
    '{}',
    '{"address": "a:1"}',
    '{"address": 7, "incarnation": "1"}',
    '{"address": "a:1", "incarnation": "1", "shards": "all"}',
    '{"address": "a:1", "incarnation": "1", "cores": NaN}',
    '{"address": "a:1", "incarnation": "1", "cores": 1e999}',
    '{"address": "a:1", "incarnation": "1", "cores": -1}',
)


def entry(key, text, version=1):
    return Row(RowKey(ENTRIES_TABLE, '', key), text, version)


def put(deployment, place, text):
    """Another writer changes a row."""
    rows = deployment.rows
    rows.version += 1
    row = Row(place, text, rows.version)
    rows.rows[place] = row
    rows.changes.append(row)


@pytest.mark.parametrize('text', ODD_ENTRIES)
def test_an_odd_entry_row_names_no_entry_and_the_others_hold(text, errors):
    peers = PeerEntries(ManualClock(), 'me')
    good = EntryRow('b:1', '1', (0,), 2).to_text()
    for _reading in range(3):
        peers.read([entry('a', text), entry('b', good)])
    assert peers.addresses == {'b': 'b:1'} and peers.owner_of(0) == 'b'
    assert len(errors) == 1 and 'a' in errors[0]['peer']


def test_an_entry_whose_row_turns_odd_is_silent_and_then_dead():
    clock = ManualClock()
    peers = PeerEntries(clock, 'me')
    good = EntryRow('b:1', '1', (0,), 2).to_text()
    peers.read([entry('b', good)])
    peers.read([entry('b', 'odd', 2)])
    assert peers.addresses and peers.is_owner_live(OwnerRow('b', '1', 1), 1)
    clock.advance(10_000)
    peers.read([entry('b', 'odd', 3)])
    assert not peers.addresses
    peers.read([entry('b', good, 4)])
    assert peers.addresses


@pytest.mark.parametrize('text', ODD_ENTRIES)
def test_an_odd_entry_row_keeps_no_entry_from_a_takeover(text):
    deployment = settled(work_ms=lambda task: 3000)
    job = a_job(steps=((6, ()), (2, (0,))))
    deployment.submit(job)
    deployment.run(1)
    put(deployment, RowKey(ENTRIES_TABLE, '', 'odd'), text)
    deployment.kill_entry(deployment.owner)
    deployment.run(14)
    survivor = deployment.owner
    assert deployment.state(job.job_id, survivor) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 8


class Dialler:
    connected = ()

    def __init__(self):
        self.learnt = []

    def add_addresses(self, addresses):
        self.learnt.extend(addresses)


def test_an_agent_finds_the_readable_entries():
    rows = [entry(str(nth), text) for nth, text in enumerate(ODD_ENTRIES)]
    rows.append(entry('z', EntryRow('z:1', '1').to_text()))
    dialler, clock = Dialler(), ManualClock()
    store = Rows(succeed(Page(tuple(rows), False, 9)))
    discovery = EntryDiscovery(clock, store, dialler, random.Random(1))
    clock.advance(2000)
    discovery.tick()
    assert dialler.learnt == ['z:1']


@pytest.mark.parametrize('address', ['', 'a', 'a:', 'a:b', ':1', 'a:70000'])
def test_an_address_that_names_no_port_is_not_dialled(address, errors):
    dialler = LinkDialler(Reactor(), ManualClock(), None, None, None, None)
    for _time in range(3):
        dialler.add_addresses([address, 'b:1'])
    assert list(dialler._by_address) == ['b:1']
    assert len(errors) == 1


JOB = a_job(7, steps=((1, ()),))
GOOD_JOB = json.loads(JobRow(JOB, 1).to_text())
STEP = GOOD_JOB['job']['steps'][0]


def changed_job(**changes):
    return json.dumps({**GOOD_JOB, 'job': {**GOOD_JOB['job'], **changes}})


ODD_JOBS = (
    '',
    'no json',
    '[]',
    '{}',
    '{"job": 7}',
    changed_job(steps=7),
    changed_job(job_id='5'),
    changed_job(job_id='no number'),
    changed_job(job_id=f'{8:016x}'),
    changed_job(steps=[{**STEP, 'after': [0]}]),
    changed_job(steps=[{**STEP, 'after': [-1]}]),
    changed_job(steps=[{**STEP, 'count': -1}]),
    changed_job(steps=[{**STEP, 'count': 10**12}]),
    changed_job(steps=[{**STEP, 'estimate_ms': 10**400}]),
    changed_job(steps=[]),
    json.dumps({**GOOD_JOB, 'accepted_ms': float('nan')}),
)


@pytest.mark.parametrize('text', ODD_JOBS)
@pytest.mark.parametrize('is_history_lost', [False, True])
def test_an_odd_job_row_hides_no_other_job(text, is_history_lost, errors):
    """Neither from a poll nor from the next owner."""
    deployment = settled()
    job = a_job(9, steps=((2, ()),))
    deployment.book.sizes[job.job_id] = job.steps[0].reserved_size
    put(deployment, job_key(JOB.job_id), text)
    put(deployment, job_key(job.job_id), JobRow(job, 0).to_text())
    if is_history_lost:
        deployment.rows.forget_history()
    deployment.run(6)
    assert deployment.state(job.job_id, deployment.owner) is JobState.COMPLETED
    late = a_job(10, steps=((2, ()),))
    deployment.book.sizes[late.job_id] = late.steps[0].reserved_size
    deployment.kill_entry(deployment.owner)
    put(deployment, job_key(late.job_id), JobRow(late, 0).to_text())
    deployment.run(9)
    survivor = deployment.owner
    assert deployment.state(late.job_id, survivor) is JobState.COMPLETED
    assert len(starts_of(deployment, late)) == 2
    assert len(starts_of(deployment, JOB)) == 0
    assert 1 <= len(errors) <= 6


def test_a_job_whose_row_is_mended_runs():
    deployment = settled()
    deployment.book.sizes[JOB.job_id] = JOB.steps[0].reserved_size
    put(deployment, job_key(JOB.job_id), 'odd')
    deployment.run(4)
    put(deployment, job_key(JOB.job_id), JobRow(JOB, 0).to_text())
    deployment.run(6)
    assert deployment.state(JOB.job_id, deployment.owner) is JobState.COMPLETED


ODD_PROGRESS = (
    '',
    'no json',
    '[]',
    '{"done": 7}',
    '{"state": "odd"}',
    '{"state": "active"}',
    '{"done": {"0.0": -1}}',
    '{"done": {"0.0": "many"}}',
    '{"ended_ms": NaN}',
)


@pytest.mark.parametrize('text', ODD_PROGRESS)
def test_a_job_of_unknown_progress_waits_and_the_others_go_on(text, errors):
    """Begun anew its tasks that are done would run a second time."""
    deployment = settled()
    done = a_job(3, steps=((2, ()),))
    deployment.submit(done)
    deployment.run(4)
    assert len(starts_of(deployment, done)) == 2
    other = a_job(4, steps=((2, ()),))
    deployment.book.sizes[other.job_id] = other.steps[0].reserved_size
    deployment.kill_entry(deployment.owner)
    put(deployment, progress_key(done.job_id), text)
    put(deployment, job_key(other.job_id), JobRow(other, 0).to_text())
    deployment.run(9)
    survivor = deployment.owner
    assert deployment.state(other.job_id, survivor) is JobState.COMPLETED
    deployment.rows.forget_history()
    deployment.run(9)
    assert len(starts_of(deployment, done)) == 2
    assert 1 <= len(errors) <= 4


def test_the_state_of_a_job_with_an_odd_row_is_not_known():
    deployment = settled()
    put(deployment, job_key(JOB.job_id), JobRow(JOB, 0).to_text())
    put(deployment, progress_key(JOB.job_id), 'odd')
    deployment.entries[deployment.owner].core.owner.shards.by_shard.clear()
    states = []
    desk = deployment.entries['entry-0'].core.job_api
    desk._stored(JOB.job_id).addBoth(states.append)
    deployment.run(1)
    assert states[0].is_err()


ODD_OWNERS = (
    '',
    'no json',
    '[]',
    '{"entry_id": "entry-0"}',
    '{"entry_id": "e", "incarnation": "1", "reign": "high"}',
    '{"entry_id": "e", "incarnation": "1", "reign": -1}',
    '{"entry_id": "e", "incarnation": "1", "reign": 99999999999999999999}',
)


@pytest.mark.parametrize('text', ODD_OWNERS)
def test_a_shard_with_an_odd_owner_row_is_taken_under_a_higher_reign(text):
    """Never taken its jobs would stand still; under a lower reign agents
    would refuse all orders."""
    deployment = settled(work_ms=lambda task: 3000)
    job = a_job(steps=((6, ()), (2, (0,))))
    deployment.submit(job)
    deployment.run(1)
    before = deployment.entries[deployment.owner].core.owner.shards.by_shard
    reign = before[0].epoch
    deployment.kill_entry(deployment.owner)
    put(deployment, owner_key(0), text)
    deployment.run(30)
    survivor = deployment.owner
    after = deployment.entries[survivor].core.owner.shards.by_shard[0]
    assert after.epoch > reign and not after.former.is_over
    assert deployment.state(job.job_id, survivor) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 8


READERS = (
    (EntryRow, EntryRow('a:1', '1', (0,), 2).to_text()),
    (OwnerRow, OwnerRow('a', '1', 3).to_text()),
    (JobRow, JobRow(JOB, 1).to_text()),
    (ProgressRow, ProgressRow('completed', {'0.0': 1}).to_text()),
)


@pytest.mark.parametrize('seed', range(4))
def test_any_row_is_read_or_refused(seed):
    rng = random.Random(seed)
    for _round in range(300):
        kind, text = rng.choice(READERS)
        changed = json.dumps(mutated(rng, json.loads(text)))
        if rng.random() < 0.2:
            changed = changed[: rng.randrange(len(changed))]
        try:
            document = kind.from_text(changed)
        except MalformedRowError:
            continue
        assert kind.from_text(document.to_text()) == document


@pytest.mark.parametrize('seed', range(3))
def test_a_deployment_works_on_among_odd_rows(seed):
    """Any row may turn odd at any time, but for those of the job in hand."""
    rng = random.Random(seed)
    deployment = settled(Deployment(work_ms=lambda task: 1000))
    for number in range(20, 26):
        places = sorted(
            (row.row_key for row in deployment.rows.rows.values()), key=str
        )
        place = rng.choice(places)
        put(deployment, place, rng.choice(ODD_ENTRIES))
        put(deployment, RowKey(ENTRIES_TABLE, '', f'x{number}'), 'odd')
        deployment.run(20)
        job = a_job(number, steps=((2, ()),))
        deployment.submit(job)
        deployment.run(6)
        assert len(starts_of(deployment, job)) == 2
