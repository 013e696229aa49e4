"""Entries that the store rejects relay their calls through a peer."""

import pytest
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from hyssopring.jobs.messages import pack
from hyssopring.jobs.model import JobState
from hyssopring.jobs.relay import RelayedStore
from hyssopring.jobs.relay_messages import RelayedRead, RelayedResponse
from hyssopring.jobs.relayed_calls import (
    outcome_from_response,
    response_for_outcome,
)
from hyssopring.jobs.rows import Changes, Page, Row, RowKey, StoreRefused
from standins.jobs.deployment import a_job, settled, starts_of
from standins.jobs.processes import ReactorClock


def other_entry(deployment, name):
    return next(entry_id for entry_id in deployment.entries if entry_id != name)


def test_owner_rejected_by_the_store_keeps_its_shard():
    """The store refuses the owner's calls, without notice, and serves peers.

    The owner could not record ends of tasks, and jobs completed only after
    another entry had taken the shard, 3.5 s later.
    """
    deployment = settled()
    owner = deployment.owner
    deployment.rows.rejected_clients.add(owner)
    job = a_job(steps=((2, ()), (2, (0,))))
    outcomes = deployment.submit(job, other_entry(deployment, owner))
    deployment.run(2.5)
    assert outcomes[0].is_ok()
    assert deployment.owner == owner
    assert deployment.state(job.job_id, owner) is JobState.COMPLETED
    deployment.run(10)
    assert deployment.owner == owner
    assert len(starts_of(deployment, job)) == 4


def test_entry_rejected_by_the_store_accepts_jobs():
    """A caller whose entry alone is rejected gets no error."""
    deployment = settled()
    rejected_entry = other_entry(deployment, deployment.owner)
    deployment.rows.rejected_clients.add(rejected_entry)
    job = a_job()
    outcomes = deployment.submit(job, rejected_entry)
    deployment.run(0.2)
    assert outcomes[0].is_ok()
    deployment.run(2)
    assert deployment.state(job.job_id, rejected_entry) is JobState.COMPLETED


def test_direct_calls_resume_once_the_store_serves_again():
    deployment = settled()
    owner = deployment.owner
    deployment.rows.rejected_clients.add(owner)
    deployment.run(3)
    deployment.rows.rejected_clients.clear()
    deployment.run(3)
    deployment.entries[owner].has_peers = False
    deployment.run(12)
    assert deployment.owner == owner


class _Direct:
    """A store that refuses calls while ``is_away``."""

    def __init__(self):
        self.is_away = True
        self.calls = 0

    def read(self, table, part, first=''):
        self.calls += 1
        return fail(StoreRefused('away')) if self.is_away else succeed('page')

    changes = read


class _Peer:
    """A peer whose responses the test delivers."""

    connected_entries = ['peer']

    def __init__(self):
        self.requests = []

    def send_to_entry(self, _entry_id, message):
        self.requests.append(message)
        return True


def test_late_relayed_response_does_not_stop_direct_calls():
    """A relayed call waits for changes while the store serves again.

    Its response must not count as a failure of direct calls. When it did,
    each wait relayed all calls again.
    """
    reactor, direct, peer = Clock(), _Direct(), _Peer()
    store = RelayedStore(reactor, ReactorClock(reactor), direct, peer)
    waits = [store.changes('op', 0, 800)]
    store.handle_response(
        RelayedResponse(peer.requests[0].number, 'changes', 1, [], False)
    )
    waits.append(store.changes('op', 1, 800))
    direct.is_away = False
    reactor.advance(1.1)
    store.read('op', '')
    store.handle_response(
        RelayedResponse(peer.requests[1].number, 'changes', 2, [], False)
    )
    relayed, calls = len(peer.requests), direct.calls
    store.read('op', '')
    assert len(peer.requests) == relayed
    assert direct.calls == calls + 1


@pytest.mark.parametrize('late_s', [0, 1])
def test_relayed_write_without_a_response_is_not_refused(late_s):
    """The peer's write is applied, now or later, and its response is lost.

    The entry's own call was refused. If the caller got a refusal, the job
    would run nevertheless: the outcome is unknown.
    """
    deployment = settled()
    rejected_entry = other_entry(deployment, deployment.owner)
    deployment.rows.rejected_clients.add(rejected_entry)
    deployment.run(0.05)
    deployment.rows.lose_next = 1
    deployment.rows.late_s = late_s
    job = a_job()
    outcomes = deployment.submit(job, rejected_entry)
    deployment.run(6)
    assert outcomes[0].is_ok() or outcomes[0].unwrap_err().answer.status == 504
    assert deployment.state(job.job_id, deployment.owner) is JobState.COMPLETED


def test_outage_of_the_store_is_reported_without_delay():
    """No peer is served either; the caller must not wait for timeouts."""
    deployment = settled()
    deployment.rows.is_down = True
    outcomes = deployment.submit(a_job())
    deployment.run(0.1)
    assert outcomes[0].unwrap_err().answer.status == 503


def test_no_count_is_returned_while_no_owner_knows_the_jobs():
    """The owner dies while jobs wait, and another entry is asked to count.

    The owner does not respond, and no other entry has read the jobs yet. The
    count was zero then, as if the jobs had started.
    """
    deployment = settled(workers=1, work_ms=lambda task: 9000)
    for number in range(1, 12):
        deployment.submit(a_job(number, steps=((8, ()),)))
    deployment.run(1)
    owner = deployment.owner
    deployment.kill_entry(owner)
    deployment.run(0.5)
    counts = []
    entry = deployment.entries[other_entry(deployment, owner)]
    entry.core.job_api.pending('queue').addCallback(counts.append)
    deployment.run(1)
    assert counts[0].unwrap_err().answer.status == 503


def test_caller_gets_a_response_in_time_although_the_store_does_not_respond():
    """The store responds neither to the entry nor to its peers.

    The direct call and the relayed one together took 2.7 s of the caller's
    3 s. The caller must learn that the outcome is unknown early enough to
    submit the job elsewhere.
    """
    deployment = settled()
    deployment.rows.is_silent = True
    job = a_job()
    outcomes = []
    entry = deployment.entries['entry-0']
    until = entry.clock.now() + 1300
    entry.core.job_api.submit(job, until).addCallback(outcomes.append)
    deployment.run(1.4)
    assert outcomes[0].unwrap_err().answer.status == 504


class _Peers:
    """Two peers, of which the first never responds."""

    connected_entries = ['silent', 'served']

    def __init__(self):
        self.requests = []

    def send_to_entry(self, entry_id, message):
        self.requests.append((entry_id, message.number))
        return True


def test_read_is_sent_to_a_second_peer_after_a_timeout():
    """The store ignores an entry and the peer that it asks first.

    The entry retried that peer only, 2.3 s each time, while another one was
    served: it used an old configuration for 3.8 s.
    """
    reactor, peers = Clock(), _Peers()
    store = RelayedStore(reactor, ReactorClock(reactor), _Direct(), peers)
    store.read('op', '').addErrback(lambda failure: None)
    reactor.advance(1.6)
    assert [peer_id for peer_id, _number in peers.requests] == [
        'silent',
        'served',
    ]
    store.handle_response(
        RelayedResponse(peers.requests[1][1], 'page', 1, [], False)
    )
    reactor.advance(0.3)
    store.read('op', '').addErrback(lambda failure: None)
    assert peers.requests[2][0] == 'served'


def test_entry_that_is_not_served_refuses_relayed_calls_without_delay():
    """The store ignores two entries, and one asks the other.

    If the other one tried the call, the first would wait 1.2 s for the same
    result.
    """
    reactor, direct = Clock(), _Direct()
    responses = []

    class Links:
        connected_entries = []

        def send_response(self, peer_id, message):
            responses.append((peer_id, message.number, message.kind))

    store = RelayedStore(reactor, ReactorClock(reactor), direct, Links())
    store.read('op', '').addErrback(lambda failure: None)
    store.serve(RelayedRead(7, 'op', '', '', False), 'other')
    assert responses == [('other', 7, 'refused')]
    assert direct.calls == 1
    reactor.advance(1.1)
    store.serve(RelayedRead(8, 'op', '', '', False), 'other')
    assert direct.calls == 2


def _job_row(number, text, version=0):
    row_key = RowKey('my', 'p0', f'job-{number:04d}')
    return Row(row_key, text, version or number)


def test_long_page_is_relayed_in_chunks():
    """An owner that the store rejects loads a shard of 300 large jobs.

    A whole page, 1 MB in one message, takes 3 s on a link of 5 Mbit/s, longer
    than the relay timeout of 1.5 s.
    """
    rows = tuple(_job_row(number, 'x' * 3500) for number in range(1, 301))
    received, remaining = [], rows
    while remaining:
        response = response_for_outcome(Page(remaining, False, 9), 1)
        assert len(pack(response)) < 150_000
        page = outcome_from_response(response)
        received.extend(page.rows)
        remaining = remaining[len(page.rows) :]
        assert page.has_more == bool(remaining)
    assert tuple(received) == rows


def test_long_changes_are_relayed_in_chunks():
    """No row is lost, and the rows of a transaction are not separated."""
    rows = tuple(
        _job_row(number, 'x' * 3500, version=number // 3)
        for number in range(3, 303)
    )
    received, after = [], 0
    while True:
        remaining = tuple(row for row in rows if row.version > after)
        changes = outcome_from_response(
            response_for_outcome(Changes(remaining, 200), 1)
        )
        if changes.version == 200:
            break
        assert changes.rows
        received.extend(changes.rows)
        after = changes.version
    received.extend(changes.rows)
    assert tuple(received) == rows


def test_rows_longer_than_a_chunk_are_relayed_one_by_one():
    rows = tuple(_job_row(number, 'x' * 300_000) for number in range(1, 4))
    page = outcome_from_response(response_for_outcome(Page(rows, False, 9), 1))
    assert (len(page.rows), page.has_more) == (1, True)
    changes = outcome_from_response(response_for_outcome(Changes(rows, 9), 1))
    assert (len(changes.rows), changes.version) == (1, 1)
