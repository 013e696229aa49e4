"""How an owner stores what it has learned, and what its successor reads."""

import random
from dataclasses import replace

import pytest

from hyssopring.jobs.interference import PRIOR
from hyssopring.jobs.row_keys import LEARNED_TABLE, learned_key
from hyssopring.jobs.rows import Row, StoreRefused
from hyssopring.jobs.scheduling_options import (
    FairnessOptions,
    LearningOptions,
    SchedulingOptions,
    StragglerOptions,
)
from hyssopring.learning.pairs import Pair
from hyssopring.learning.summary import Summary
from hyssopring.learning.summary_text import decode_summary, encode_summary
from hyssopring.logs import Event, _emit, listen_to_events
from standins.jobs.deployment import (
    WALL_MS,
    Deployment,
    a_job,
    settled,
    starts_of,
)
from standins.jobs.rows import RowsClient
from tests.owner_support import run_until_taken

LEARNING = SchedulingOptions(learning=LearningOptions())
KEY = learned_key(0)
PAIR = ('keeper', 'loud')
ESTIMATE_MS = 1000
WORK_MS = 2000
KNOWN = Summary(WALL_MS, {PAIR: Pair(0.4, 0.001)})


@pytest.fixture
def events():
    """Everything that was logged of learned state, as (event, fields)."""
    logged = []

    def record(event, fields):
        if event in _LEARNING_EVENTS:
            logged.append((event, fields))

    listen_to_events(record)
    yield logged
    _emit._listeners.remove(record)


_LEARNING_EVENTS = frozenset(
    (
        Event.LEARNED_STATE_LOADED,
        Event.LEARNED_STATE_IGNORED,
        Event.LEARNED_STATE_SAVED,
    )
)


def refuse_learned_reads(monkeypatch):
    """Refuse reads of the summary until the returned list is empty."""
    refused = [LEARNED_TABLE]
    read, read_one = RowsClient.read, RowsClient.read_one

    def refuse(client):
        return client._fail(StoreRefused('refused'), 0.01)

    def read_page(client, table, part, first=''):
        if table in refused:
            return refuse(client)
        return read(client, table, part, first)

    def read_row(client, row_key):
        if row_key.table in refused:
            return refuse(client)
        return read_one(client, row_key)

    monkeypatch.setattr(RowsClient, 'read', read_page)
    monkeypatch.setattr(RowsClient, 'read_one', read_row)
    return refused


def names_of(events):
    return [event.name for event, _fields in events]


def deployment_with(text=None, options=LEARNING, **given):
    """Return a deployment whose store holds a summary from the start."""
    given = {'work_ms': lambda task: WORK_MS, **given}
    deployment = Deployment(workers=2, options=options, **given)
    if text is not None:
        deployment.rows.version += 1
        deployment.rows.rows[KEY] = Row(KEY, text, deployment.rows.version)
    return deployment


def owner_of(deployment):
    return deployment.entries[deployment.owner].core.owner


def stored(deployment):
    """Return the summary in the store."""
    text = deployment.rows.rows[KEY].text
    return decode_summary(text, deployment.wall_ms())[0]


def run_jobs(deployment, count, first=1):
    """Run jobs of four tasks that take twice their estimate."""
    for number in range(first, first + count):
        deployment.submit(a_job(number, image='cut'), deployment.owner)
        deployment.run(2.5)


def estimate(owner):
    return owner.learning.interference.per_core(*PAIR)


def test_a_new_owner_knows_what_is_stored(events):
    deployment = settled(deployment_with(encode_summary(KNOWN)))
    assert estimate(owner_of(deployment)).mean == pytest.approx(0.4, abs=0.01)
    assert names_of(events)[0] == 'LEARNED_STATE_LOADED'


def test_run_times_pass_from_owner_to_owner():
    deployment = settled(deployment_with())
    run_jobs(deployment, 8)
    former = deployment.owner
    expected_ms = owner_of(deployment).run_times.expected_ms(
        'image:cut', ESTIMATE_MS
    )
    assert expected_ms > 1800
    deployment.run(3)
    deployment.kill_entry(former)
    successors = [each for each in deployment.entries.values() if each.is_alive]
    taken = run_until_taken(deployment, successors)
    deployment.run(0.1)
    loaded_ms = taken.core.owner.run_times.expected_ms('image:cut', ESTIMATE_MS)
    assert loaded_ms == pytest.approx(expected_ms, rel=0.1)


@pytest.mark.parametrize(
    'text',
    [
        'garbage',
        encode_summary(KNOWN)[:50],
        encode_summary(KNOWN).replace('"version":1', '"version":0'),
        encode_summary(KNOWN).replace('"version":1', '"version":2'),
        encode_summary(replace(KNOWN, saved_ms=2 * WALL_MS)),
    ],
)
def test_an_unusable_row_is_logged_once_and_stops_nothing(events, text):
    deployment = settled(deployment_with(text))
    job = a_job(image='cut')
    deployment.submit(job)
    deployment.run(6)
    assert len(starts_of(deployment, job)) == 4
    ignored = [
        fields
        for event, fields in events
        if event is Event.LEARNED_STATE_IGNORED
    ]
    assert len(ignored) == 1
    assert estimate(owner_of(deployment)).mean == PRIOR.mean
    assert stored(deployment).runs_by_key.keys() == {'image:cut'}


def test_jobs_start_while_the_summary_cannot_be_read(events, monkeypatch):
    """Guards against a takeover that waits for the summary.

    It is read once the store allows, and merged. Nothing is written before, as
    that would replace it by what a new owner knows.
    """
    refused = refuse_learned_reads(monkeypatch)
    deployment = deployment_with(encode_summary(KNOWN))
    settled(deployment)
    job = a_job(image='cut')
    deployment.submit(job)
    deployment.run(3)
    assert len(starts_of(deployment, job)) == 4
    assert not events
    assert deployment.rows.rows[KEY].text == encode_summary(KNOWN)
    refused.clear()
    deployment.run(4)
    assert estimate(owner_of(deployment)).mean == pytest.approx(0.4, abs=0.01)
    assert stored(deployment).pair_by_images.keys() == {PAIR}
    assert stored(deployment).runs_by_key.keys() == {'image:cut'}


def test_a_deposed_owner_does_not_replace_its_successors_summary():
    """Guards against a write of a former owner that learns on."""
    deployment = settled(deployment_with())
    run_jobs(deployment, 2)
    deployment.run(4)
    former = deployment.entries[deployment.owner]
    state = former.core.owner.learning.state
    sync = state._sync_by_shard[0]
    deployment.cut_off(former.name)
    deployment.rows.rejected_clients.add(former.name)
    others = [
        each for each in deployment.entries.values() if each is not former
    ]
    run_until_taken(deployment, others)
    deployment.run(5)
    text = deployment.rows.rows[KEY].text
    deployment.rows.rejected_clients.clear()
    state.run_times.record('image:late', 100, 100)
    sync._owned.is_dropped = False
    sync._write(state.encode(state.summary()), state.summary())
    deployment.run(0.1)
    assert deployment.rows.rows[KEY].text == text
    assert sync._owned.is_dropped


def test_a_store_that_is_down_delays_the_summary_only():
    deployment = settled(deployment_with())
    run_jobs(deployment, 1)
    deployment.run(3)
    deployment.rows.lose_next = 4
    run_jobs(deployment, 4, first=2)
    deployment.run(4)
    runs = stored(deployment).runs_by_key['image:cut']
    assert runs.ends >= 18


def test_an_entry_that_takes_the_shard_again_skips_its_own_summary(events):
    """Guards against evidence that counts twice, at each change of owner."""
    deployment = settled(deployment_with(entries=1))
    run_jobs(deployment, 4)
    deployment.run(3)
    owner = owner_of(deployment)
    known = owner.run_times.expected_ms('image:cut', ESTIMATE_MS)
    owner.learning.state.load(deployment.rows.rows[KEY].text, 0)
    assert owner.run_times.expected_ms('image:cut', ESTIMATE_MS) == known


def test_an_entry_that_takes_the_shard_again_goes_on_from_its_successor():
    """Guards against old evidence beside a summary that contains it."""
    deployment = settled(deployment_with(encode_summary(KNOWN)))
    owner = owner_of(deployment)
    state = owner.learning.state
    state.run_times.record('image:old', 100, 900)
    state.drop(0)
    later = replace(
        KNOWN,
        saved_ms=deployment.wall_ms() + 100,
        pair_by_images={PAIR: Pair(0.2, 0.001)},
    )
    state.load(encode_summary(later), 0)
    assert estimate(owner).mean == pytest.approx(0.2, abs=0.005)
    assert estimate(owner).deviation ** 2 > 0.001
    assert state.run_times.expected_ms('image:old', 100) == 100


def test_writes_keep_their_interval_and_stop_without_changes(monkeypatch):
    written = []
    commit = RowsClient.commit

    def record(client, transaction):
        if any(put.row_key == KEY for put in transaction.puts):
            written.append(client.store.reactor.seconds())
        return commit(client, transaction)

    monkeypatch.setattr(RowsClient, 'commit', record)
    rng = random.Random(1)
    deployment = settled(
        deployment_with(work_ms=lambda task: rng.uniform(50, 400))
    )
    for number in range(1, 30):
        deployment.submit(a_job(number, image='cut'), deployment.owner)
        deployment.run(0.4)
    intervals = [
        later - earlier
        for earlier, later in zip(written, written[1:], strict=False)
    ]
    assert len(intervals) > 3
    assert min(intervals) >= 1.99
    written.clear()
    deployment.run(20)
    assert len(written) <= 1


def test_without_learning_no_row_is_read_or_written(monkeypatch):
    refused = refuse_learned_reads(monkeypatch)
    options = SchedulingOptions(stragglers=StragglerOptions())
    deployment = settled(deployment_with(options=options))
    run_jobs(deployment, 4)
    deployment.run(3)
    assert refused and KEY not in deployment.rows.rows
    assert owner_of(deployment).learning.state is None
    assert (
        owner_of(deployment).run_times.expected_ms('image:cut', ESTIMATE_MS)
        > 1600
    )


def test_run_times_exist_only_where_a_part_uses_them():
    options = SchedulingOptions(fairness=FairnessOptions())
    assert owner_of(settled(deployment_with(options=options))).run_times is None


def test_a_job_whose_tasks_always_fail_teaches_nothing():
    """Guards against times to a failure that count as run times."""
    deployment = settled(deployment_with())
    job = a_job(image='broken', attempts=2)
    deployment.submit(job)
    for _attempt in range(4):
        deployment.run(0.5)
        for worker in deployment.workers:
            worker.fail_all()
    deployment.run(2)
    run_times = owner_of(deployment).run_times
    assert run_times.expected_ms('image:broken', 700) == 700
