"""Entries that the store turns away make their calls through a peer."""

import pytest
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from hyssopring.jobs.messages import pack
from hyssopring.jobs.model import JobState
from hyssopring.jobs.relay import RelayedStore
from hyssopring.jobs.relay_messages import RelayedResponse, RelayedRead
from hyssopring.jobs.relayed_calls import answer_of, outcome_of
from hyssopring.jobs.rows import Changes, Page, Row, RowKey, StoreRefused
from standins.jobs.deployment import a_job, settled, starts_of
from standins.jobs.processes import ReactorClock


def another_than(deployment, name):
    return next(each for each in deployment.entries if each != name)


def test_an_owner_that_the_store_turns_away_goes_on():
    """The store refuses the owner's calls and serves its peers'.

    Nobody is told. Ends could not be recorded, and the jobs were shown as
    completed only once another entry had taken the shard, 3.5 s later.
    """
    deployment = settled()
    owner = deployment.owner
    deployment.rows.shunned.add(owner)
    job = a_job(steps=((2, ()), (2, (0,))))
    outcomes = deployment.submit(job, another_than(deployment, owner))
    deployment.run(2.5)
    assert outcomes[0].is_ok()
    assert deployment.owner == owner
    assert deployment.state(job.job_id, owner) is JobState.COMPLETED
    deployment.run(10)
    assert deployment.owner == owner
    assert len(starts_of(deployment, job)) == 4


def test_an_entry_that_the_store_turns_away_accepts_jobs():
    """A caller reaches an entry that alone is turned away: no refusal."""
    deployment = settled()
    shunned = another_than(deployment, deployment.owner)
    deployment.rows.shunned.add(shunned)
    job = a_job()
    outcomes = deployment.submit(job, shunned)
    deployment.run(0.2)
    assert outcomes[0].is_ok()
    deployment.run(2)
    assert deployment.state(job.job_id, shunned) is JobState.COMPLETED


def test_the_direct_way_is_taken_again_once_it_is_open():
    deployment = settled()
    owner = deployment.owner
    deployment.rows.shunned.add(owner)
    deployment.run(3)
    deployment.rows.shunned.clear()
    deployment.run(3)
    deployment.entries[owner].has_peers = False
    deployment.run(12)
    assert deployment.owner == owner


class _Direct:
    """A store that refuses while ``is_away``."""

    def __init__(self):
        self.is_away = True
        self.calls = 0

    def read(self, table, part, first=''):
        self.calls += 1
        return fail(StoreRefused('away')) if self.is_away else succeed('page')

    changes = read


class _Peer:
    """A peer that answers when the test says so."""

    connected_entries = ['peer']

    def __init__(self):
        self.asked = []

    def to_entry(self, _entry_id, message):
        self.asked.append(message)
        return True


def test_a_relayed_answer_that_comes_late_does_not_close_the_direct_way():
    """A relayed call waits for changes while the store serves again.

    Its answer says nothing of the direct way; taken for a sign that the entry
    is still turned away, each wait sent all calls through the peer again.
    """
    reactor, direct, peer = Clock(), _Direct(), _Peer()
    store = RelayedStore(reactor, ReactorClock(reactor), direct, peer)
    waits = [store.changes('op', 0, 800)]
    store.answered(
        RelayedResponse(peer.asked[0].number, 'changes', 1, [], False)
    )
    waits.append(store.changes('op', 1, 800))
    direct.is_away = False
    reactor.advance(1.1)
    store.read('op', '')
    store.answered(
        RelayedResponse(peer.asked[1].number, 'changes', 2, [], False)
    )
    asked, calls = len(peer.asked), direct.calls
    store.read('op', '')
    assert len(peer.asked) == asked
    assert direct.calls == calls + 1


@pytest.mark.parametrize('late_s', [0, 1])
def test_a_relayed_write_without_an_answer_is_no_refusal(late_s):
    """The peer's write is done, now or later, and its answer is lost.

    The entry itself was refused. Said to be refused, the job would run all the
    same: the outcome is unknown until the write is met again.
    """
    deployment = settled()
    shunned = another_than(deployment, deployment.owner)
    deployment.rows.shunned.add(shunned)
    deployment.run(0.05)
    deployment.rows.lose_next = 1
    deployment.rows.late_s = late_s
    job = a_job()
    outcomes = deployment.submit(job, shunned)
    deployment.run(6)
    assert outcomes[0].is_ok() or outcomes[0].unwrap_err().answer.status == 504
    assert deployment.state(job.job_id, deployment.owner) is JobState.COMPLETED


def test_a_store_that_serves_nobody_is_told_of_at_once():
    """No peer is served either: the caller hears so without a delay."""
    deployment = settled()
    deployment.rows.is_down = True
    outcomes = deployment.submit(a_job())
    deployment.run(0.1)
    assert outcomes[0].unwrap_err().answer.status == 503


def test_no_count_is_given_while_nobody_knows_the_jobs():
    """The owner dies while jobs wait, and another entry is asked for them.

    The owner does not answer it, and nobody else has read the jobs yet. The
    count was then none, as if they had begun.
    """
    deployment = settled(workers=1, work_ms=lambda task: 9000)
    for number in range(1, 12):
        deployment.submit(a_job(number, steps=((8, ()),)))
    deployment.run(1)
    owner = deployment.owner
    deployment.kill_entry(owner)
    deployment.run(0.5)
    counts = []
    entry = deployment.entries[another_than(deployment, owner)]
    entry.core.job_api.pending('queue').addCallback(counts.append)
    deployment.run(1)
    assert counts[0].unwrap_err().answer.status == 503


def test_a_caller_is_answered_in_time_although_the_store_is_silent():
    """The store takes a call and says nothing; so it does to the peers.

    The direct call and the relayed one together took 2.7 s of the caller's
    3 s. It is told in time to hand the job in elsewhere, and that the outcome
    is unknown; the write goes on, and the job is met if it is done late.
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
    """Peers of which the first one named answers nothing."""

    connected_entries = ['silent', 'served']

    def __init__(self):
        self.asked = []

    def to_entry(self, entry_id, message):
        self.asked.append((entry_id, message.number))
        return True


def test_a_reading_is_asked_of_another_peer_than_the_one_left_in_doubt():
    """The store ignores an entry and the peer that it asks first.

    The entry asked that peer again and again, 2.3 s each time, while another
    one was served: it went on by an old configuration for 3.8 s.
    """
    reactor, peers = Clock(), _Peers()
    store = RelayedStore(reactor, ReactorClock(reactor), _Direct(), peers)
    store.read('op', '').addErrback(lambda failure: None)
    reactor.advance(1.6)
    assert [name for name, _number in peers.asked] == ['silent', 'served']
    store.answered(RelayedResponse(peers.asked[1][1], 'page', 1, [], False))
    reactor.advance(0.3)
    store.read('op', '').addErrback(lambda failure: None)
    assert peers.asked[2][0] == 'served'


def test_an_entry_that_was_not_served_itself_refuses_its_peers_at_once():
    """Two entries are ignored by the store, and one asks the other.

    Asked to try all the same, the other one would let it wait for 1.2 s to
    say that it is ignored as well.
    """
    reactor, direct = Clock(), _Direct()
    answers = []

    class Links:
        connected_entries = []

        def answer(self, peer_id, message):
            answers.append((peer_id, message.number, message.kind))

    store = RelayedStore(reactor, ReactorClock(reactor), direct, Links())
    store.read('op', '').addErrback(lambda failure: None)
    store.serve(RelayedRead(7, 'op', '', '', False), 'other')
    assert answers == [('other', 7, 'refused')]
    assert direct.calls == 1
    reactor.advance(1.1)
    store.serve(RelayedRead(8, 'op', '', '', False), 'other')
    assert direct.calls == 2


def _job_row(number, text, version=0):
    place = RowKey('my', 'p0', f'job-{number:04d}')
    return Row(place, text, version or number)


def test_a_long_page_goes_to_a_peer_in_pieces():
    """An owner that the store turns away loads a shard of 300 large jobs.

    A whole page, 1 MB in one message, needs 3 s on a link of 5 Mbit/s; the
    peer's answer is waited for 1.5 s, so that it never came.
    """
    rows = tuple(_job_row(number, 'x' * 3500) for number in range(1, 301))
    found, left = [], rows
    while left:
        answer = answer_of(Page(left, False, 9), 1)
        assert len(pack(answer)) < 150_000
        page = outcome_of(answer)
        found.extend(page.rows)
        left = left[len(page.rows) :]
        assert page.has_more == bool(left)
    assert tuple(found) == rows


def test_long_changes_go_to_a_peer_in_pieces():
    """None is lost, and no transaction's rows are told apart."""
    rows = tuple(
        _job_row(number, 'x' * 3500, version=number // 3)
        for number in range(3, 303)
    )
    found, after = [], 0
    while True:
        left = tuple(row for row in rows if row.version > after)
        changes = outcome_of(answer_of(Changes(left, 200), 1))
        if changes.version == 200:
            break
        assert changes.rows
        found.extend(changes.rows)
        after = changes.version
    found.extend(changes.rows)
    assert tuple(found) == rows


def test_rows_that_are_longer_than_a_piece_go_one_by_one():
    rows = tuple(_job_row(number, 'x' * 300_000) for number in range(1, 4))
    page = outcome_of(answer_of(Page(rows, False, 9), 1))
    assert (len(page.rows), page.has_more) == (1, True)
    changes = outcome_of(answer_of(Changes(rows, 9), 1))
    assert (len(changes.rows), changes.version) == (1, 1)
