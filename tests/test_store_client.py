"""The store's queue: merging, lost answers, outages, slowness."""

import random

import pytest
from result import Err, Ok

from hyssopring.errors import ErrorKind, Failure
from hyssopring.store.queue import StoreLimits, StoreQueue
from hyssopring.store.rows import Check, Committed, Conflict, Put, Row
from hyssopring.store.rows import Transaction
from standins.table import Table
from standins.virtual import Loop


class TableLink:
    """A table so many milliseconds away, that can be down or lose answers."""

    def __init__(self, delay_ms=3.0, times=StoreLimits()):
        self.loop = Loop()
        self.table = Table()
        self.delay_ms = delay_ms
        self.is_down = False
        self.lose = 0
        self.sent = []
        self.queue = StoreQueue(self.loop.clock, self, random.Random(1), times)

    def call_later(self, delay_ms, action):
        self.loop.later(delay_ms, action)

    def send_commit(self, group, timeout_ms, done):
        puts = [[put.key, put.document, own] for put, own in group.puts]
        checks = [(check.key, check.version) for check in group.checks]
        self._send(
            lambda: self.table.commit('', checks, puts),
            timeout_ms,
            lambda answer: done(answer.map(_outcome)),
        )

    def send_read(self, prefix, timeout_ms, done):
        self._send(
            lambda: [Row(*row) for row in self.table.read(prefix)],
            timeout_ms,
            done,
        )

    def _send(self, work, timeout_ms, done):
        self.sent.append(self.loop.now)
        failed = Err(Failure(ErrorKind.STORE_UNAVAILABLE, 'no answer'))
        if self.is_down:
            self.loop.later(timeout_ms, done, failed)
        elif self.delay_ms > timeout_ms:
            self.loop.later(self.delay_ms, work)
            self.loop.later(timeout_ms, done, failed)
        else:
            self.loop.later(self.delay_ms, self._answer, work, done, failed)

    def _answer(self, work, done, failed):
        answer = work()
        if self.lose:
            self.lose -= 1
            self.loop.later(2000, done, failed)
        else:
            done(Ok(answer))

    def put(self, key, version=0, document=None, answers=None):
        """Commit one checked row; return the list that gets the answer."""
        answers = [] if answers is None else answers
        transaction = Transaction(
            (Check(key, version),), (Put(key, document or {'n': key}),)
        )
        self.queue.commit(transaction, answers.append)
        return answers


def _outcome(answer):
    if 'versions' in answer:
        return Committed(answer['versions'])
    return Conflict(tuple(Row(*row) for row in answer['rows']))


def test_callers_are_merged_and_only_the_culprit_hears_of_a_conflict():
    link = TableLink()
    link.table.commit('other', [], [('jobs/7', {})])
    answers = [link.put(f'jobs/{number}') for number in range(50)]
    link.loop.run(1000)
    outcomes = [answer[0].unwrap() for answer in answers]
    assert [
        number
        for number, outcome in enumerate(outcomes)
        if isinstance(outcome, Conflict)
    ] == [7]
    assert outcomes[7].rows[0].operation == 'other'
    assert link.queue.commits <= 10
    assert len(link.table.rows_by_key) == 50


def test_group_whose_answer_was_lost_is_known_to_have_taken_effect():
    """An operator is told of a conflict with the job that she has just
    submitted: the table committed it, the answer was lost, and the repeat
    met the first copy's rows."""
    link = TableLink()
    link.lose = 1
    answers = [link.put(f'jobs/{number}') for number in range(9)]
    link.loop.run(10_000)
    assert all(answer[0].unwrap().version_by_key for answer in answers)
    assert {row[1] for row in link.table.rows_by_key.values()} == {1}


def test_lost_answer_and_a_rival_since_is_a_conflict():
    """The effect took place and was then written over by another."""
    link = TableLink()
    link.lose = 1
    answers = [link.put('shards/1'), link.put('jobs/1')]
    link.loop.run(100)
    link.table.commit('rival', [], [('shards/1', {})])
    link.loop.run(10_000)
    assert isinstance(answers[0][0].unwrap(), Conflict)
    assert isinstance(answers[1][0].unwrap(), Committed)


def test_a_renewal_does_not_wait_behind_a_thousand_chunks():
    """An entry loses its shards because it has too much to write."""
    link = TableLink()
    for number in range(1000):
        link.put(f'chunks/{number}')
    renewal = link.put('entries/a')
    link.loop.run(100)
    assert renewal


def test_outage_brings_no_storm_and_no_silence():
    """The table comes back and falls over again under everybody's retries."""
    link = TableLink()
    link.is_down = True
    answers = [link.put(f'jobs/{number}') for number in range(2500)]
    link.loop.run(60_000)
    errors = [answer[0].unwrap_err().kind for answer in answers]
    assert errors.count(ErrorKind.STORE_UNAVAILABLE) >= 2000
    assert errors.count(ErrorKind.OUTCOME_UNKNOWN) <= 500
    assert len(link.sent) < 30
    link.is_down = False
    before = len(link.sent)
    late = [link.put(f'late/{number}') for number in range(500)]
    link.loop.run(2000)
    assert all(answer[0].is_ok() for answer in late)
    assert len(link.sent) - before < 30


@pytest.mark.parametrize('delay_ms', [1000.0, 3000.0, 4500.0])
def test_slow_table_is_waited_for(delay_ms):
    """The table answers after seconds; its answers must still be heard, or
    every entry loses every lease although the table works."""
    link = TableLink(delay_ms)
    link.put('entries/a')
    link.loop.run(20_000)
    answers = link.put('entries/b')
    link.loop.run(10_000)
    assert answers[0].is_ok()


def test_reads_that_wait_share_one_call():
    link = TableLink(100.0, StoreLimits(max_in_flight=1))
    answers = []
    link.queue.read('a/', answers.append)
    for _ in range(20):
        link.queue.read('b/', answers.append)
    link.loop.run(1000)
    assert (len(answers), link.queue.reads) == (21, 2)
