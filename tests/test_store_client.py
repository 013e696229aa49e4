"""The store queue: merging, lost responses, outages, slow responses."""

import random

import pytest
from result import Err, Ok

from hyssopring.errors import ErrorKind, Failure
from hyssopring.store.queue import StoreLimits, StoreQueue
from hyssopring.store.rows import Check, Committed, Conflict, Put, Row
from hyssopring.store.rows import Transaction
from standins.table import Table
from standins.virtual import Loop


class TableTransport:
    """Transport to a simulated table with delay, outages and lost responses."""

    def __init__(self, delay_ms=3.0, times=StoreLimits()):
        self.loop = Loop()
        self.table = Table()
        self.delay_ms = delay_ms
        self.is_down = False
        self.responses_to_lose = 0
        self.sent_at_ms = []
        self.queue = StoreQueue(self.loop.clock, self, random.Random(1), times)

    def call_later(self, delay_ms, action):
        self.loop.later(delay_ms, action)

    def send_commit(self, group, timeout_ms, done):
        puts = [
            [put.key, put.document, operation_id]
            for put, operation_id in group.puts
        ]
        checks = [(check.key, check.version) for check in group.checks]
        self._send(
            lambda: self.table.commit('', checks, puts),
            timeout_ms,
            lambda response: done(response.map(_outcome)),
        )

    def send_read(self, prefix, timeout_ms, done):
        self._send(
            lambda: [Row(*row) for row in self.table.read(prefix)],
            timeout_ms,
            done,
        )

    def _send(self, operation, timeout_ms, done):
        self.sent_at_ms.append(self.loop.now)
        failure = Err(Failure(ErrorKind.STORE_UNAVAILABLE, 'no answer'))
        if self.is_down:
            self.loop.later(timeout_ms, done, failure)
        elif self.delay_ms > timeout_ms:
            self.loop.later(self.delay_ms, operation)
            self.loop.later(timeout_ms, done, failure)
        else:
            self.loop.later(
                self.delay_ms, self._respond, operation, done, failure
            )

    def _respond(self, operation, done, failure):
        response = operation()
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            self.loop.later(2000, done, failure)
        else:
            done(Ok(response))

    def put(self, key, version=0, document=None, responses=None):
        """Commit one checked row; return the list that gets the response."""
        responses = [] if responses is None else responses
        transaction = Transaction(
            (Check(key, version),), (Put(key, document or {'n': key}),)
        )
        self.queue.commit(transaction, responses.append)
        return responses


def _outcome(response):
    if 'versions' in response:
        return Committed(response['versions'])
    return Conflict(tuple(Row(*row) for row in response['rows']))


def test_only_the_conflicting_transaction_of_a_group_fails():
    transport = TableTransport()
    transport.table.commit('other', [], [('jobs/7', {})])
    responses = [transport.put(f'jobs/{number}') for number in range(50)]
    transport.loop.run(1000)
    outcomes = [response[0].unwrap() for response in responses]
    assert [
        number
        for number, outcome in enumerate(outcomes)
        if isinstance(outcome, Conflict)
    ] == [7]
    assert outcomes[7].rows[0].operation == 'other'
    assert transport.queue.commits <= 10
    assert len(transport.table.rows_by_key) == 50


def test_group_is_committed_once_when_its_response_is_lost():
    """A submission must not conflict with itself.

    The table commits the group, its response is lost, and the retry finds the
    rows of the first attempt.
    """
    transport = TableTransport()
    transport.responses_to_lose = 1
    responses = [transport.put(f'jobs/{number}') for number in range(9)]
    transport.loop.run(10_000)
    assert all(response[0].unwrap().version_by_key for response in responses)
    assert {row[1] for row in transport.table.rows_by_key.values()} == {1}


def test_overwritten_row_of_a_lost_response_is_a_conflict():
    """The transaction was committed and then overwritten by another one."""
    transport = TableTransport()
    transport.responses_to_lose = 1
    responses = [transport.put('shards/1'), transport.put('jobs/1')]
    transport.loop.run(100)
    transport.table.commit('rival', [], [('shards/1', {})])
    transport.loop.run(10_000)
    assert isinstance(responses[0][0].unwrap(), Conflict)
    assert isinstance(responses[1][0].unwrap(), Committed)


def test_renewal_is_not_queued_behind_a_thousand_chunks():
    """Otherwise an entry with many writes loses the leases of its shards."""
    transport = TableTransport()
    for number in range(1000):
        transport.put(f'chunks/{number}')
    renewal = transport.put('entries/a')
    transport.loop.run(100)
    assert renewal


def test_outage_causes_no_retry_storm():
    """Retries must not overload a table that has just recovered.

    Calls fail during the outage and succeed after it.
    """
    transport = TableTransport()
    transport.is_down = True
    responses = [transport.put(f'jobs/{number}') for number in range(2500)]
    transport.loop.run(60_000)
    errors = [response[0].unwrap_err().kind for response in responses]
    assert errors.count(ErrorKind.STORE_UNAVAILABLE) >= 2000
    assert errors.count(ErrorKind.OUTCOME_UNKNOWN) <= 500
    assert len(transport.sent_at_ms) < 30
    transport.is_down = False
    sent_before = len(transport.sent_at_ms)
    later_responses = [transport.put(f'late/{number}') for number in range(500)]
    transport.loop.run(2000)
    assert all(response[0].is_ok() for response in later_responses)
    assert len(transport.sent_at_ms) - sent_before < 30


@pytest.mark.parametrize('delay_ms', [1000.0, 3000.0, 4500.0])
def test_responses_of_a_slow_table_are_received(delay_ms):
    """The table responds after seconds.

    If the timeout did not grow, entries would lose all leases although the
    table works.
    """
    transport = TableTransport(delay_ms)
    transport.put('entries/a')
    transport.loop.run(20_000)
    responses = transport.put('entries/b')
    transport.loop.run(10_000)
    assert responses[0].is_ok()


def test_pending_reads_of_a_prefix_are_merged():
    transport = TableTransport(100.0, StoreLimits(max_in_flight=1))
    responses = []
    transport.queue.read('a/', responses.append)
    for _ in range(20):
        transport.queue.read('b/', responses.append)
    transport.loop.run(1000)
    assert (len(responses), transport.queue.reads) == (21, 2)
