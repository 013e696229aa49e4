"""Malformed responses of the store, and malformed configurations."""

import base64
import random

import pytest
from border_support import DEEP, LARGE_NUMBERS, PreparedStore, mutated, short
from test_platform import FakeJsonClient, result_of, store_with
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock as Reactor

from hyssopring.jobs.rows import (
    Changes,
    Page,
    Row,
    RowCheck,
    RowKey,
    StoreRefused,
    StoreUncertain,
    Transaction,
)
from hyssopring.platform.configuration import ConfigurationFollower


def wire_row(key='k', **changes):
    text = base64.b64encode(b'text').decode()
    return {
        'table': 't',
        'part': 'p',
        'key': key,
        'value': text,
        'ver': 4,
        **changes,
    }


@pytest.mark.parametrize('value', ['%%', '/w==', 'YQ', 7, [], {}, 'é', True])
def test_row_with_an_undecodable_value_keeps_key_and_version(value, errors):
    """Some readers need the key only.

    For example, a shard's next owner must wait for each agent with a row.
    """
    rows = [wire_row('a', value=value), wire_row('b')]
    responses = FakeJsonClient(200, {'ver': 9, 'rows': rows})
    page = result_of(store_with(responses).read('t', 'p'))
    assert [row.row_key.key for row in page.rows] == ['a', 'b']
    assert [row.text for row in page.rows] == ['', 'text']
    assert page.rows[0].version == 4 and len(errors) == 1


@pytest.mark.parametrize(
    'ver', ['x', None, [], -3, 1.5, True, 2**63, 10**400], ids=short
)
def test_malformed_version_is_read_as_zero(ver):
    responses = FakeJsonClient(
        200, {'ver': 9, 'rows': [wire_row('a', ver=ver)]}
    )
    page = result_of(store_with(responses).read('t', 'p'))
    assert page.rows[0].version == 0


@pytest.mark.parametrize(
    'row',
    [None, 7, 'row', [], {}, {'key': 'k'}, wire_row(7), wire_row(part=[])],
)
def test_row_without_a_valid_key_is_skipped(row, errors):
    responses = FakeJsonClient(200, {'ver': 9, 'rows': [row, wire_row('b')]})
    page = result_of(store_with(responses).read('t', 'p'))
    assert [row_read.row_key.key for row_read in page.rows] == ['b']
    changes = result_of(store_with(responses).changes('t', 1, 0))
    assert [row_read.row_key.key for row_read in changes.rows] == ['b']
    assert len(errors) == 2


@pytest.mark.parametrize(
    'now_ms', ['x', None, [], True, *LARGE_NUMBERS], ids=short
)
def test_malformed_time_of_the_store_is_none(now_ms):
    """Guards against a read that fails with an error that no caller expects."""
    fields = {'ver': 9, 'rows': [wire_row('a')], 'nowMs': now_ms}
    store = store_with(FakeJsonClient(200, fields))
    page = result_of(store.read('t', 'p'))
    assert len(page.rows) == 1 and page.read_ms is None


MALFORMED_FIELDS = (
    {},
    {'ver': 2**63, 'rows': []},
    {'ver': 10**400, 'rows': []},
    {'ver': None},
    {'ver': 'x', 'rows': []},
    {'ver': -1, 'rows': []},
    {'ver': 9, 'rows': 7},
    {'ver': 9, 'rows': {}},
    {'ver': 9, 'rows': [None], 'hasMore': True},
)


@pytest.mark.parametrize('fields', MALFORMED_FIELDS)
def test_read_with_a_malformed_response_fails(fields):
    store = store_with(FakeJsonClient(200, fields))
    assert result_of(store.read('t', 'p')).check(StoreRefused)
    assert result_of(store.read_one(RowKey('t', 'p', 'k'))).check(StoreRefused)


@pytest.mark.parametrize('fields', MALFORMED_FIELDS[:-1])
def test_changes_with_a_malformed_response_fail(fields):
    store = store_with(FakeJsonClient(200, fields))
    assert result_of(store.changes('t', 1, 0)).check(StoreRefused)


@pytest.mark.parametrize('fields', MALFORMED_FIELDS[:6])
def test_commit_without_a_version_in_the_response_is_uncertain(fields):
    store = store_with(FakeJsonClient(200, fields))
    assert result_of(store.commit(Transaction())).check(StoreUncertain)


def test_conflict_with_malformed_rows_is_refused():
    """Read as an empty list, it would show that the shard has another owner."""
    checked = Transaction((RowCheck(RowKey('t', 'p', 'k'), 4),))
    store = store_with(FakeJsonClient(412, {'rows': 7}))
    assert result_of(store.commit(checked)).check(StoreRefused)


CONFIG = RowKey('op', '', 'config')
TABLE = '{"version": %d, "routes": []}'


@pytest.mark.parametrize(
    'text',
    [
        '',
        '[]',
        '{}',
        '{"version": "new"}',
        '{"version": 5, "routes": 7}',
        '{"version": 5, "routes": [{"name": "a"}]}',
        '{"version": 5, "routes": [{"name": "a", "host": "h", "pathPrefix":'
        ' "/", "service": "s", "slackFactor": NaN}]}',
        '{"version": 5, "limits": {"maxBodyBytes": -1}}',
        '{"version": %d}' % 10**30,
        *(
            '{"version": 5, "routes": [{"name": "a", "host": "h", "service":'
            ' "s", "pathPrefix": "/", %s}]}' % number
            for number in (
                f'"targetLatencyMs": {10**400}',
                f'"priority": {-(10**30)}',
                f'"maxAttempts": {10**30}',
                '"slackFactor": 1e308',
                '"recommendation": {"decisionMs": 1e300}',
            )
        ),
        '{"version": 5, "later": %s}' % DEEP,
    ],
)
def test_malformed_configuration_leaves_the_former_one_in_force(text, errors):
    reactor, tables = Reactor(), []
    store = PreparedStore(
        succeed(Page((Row(CONFIG, TABLE % 1, 1),), False, 1)),
        succeed(Changes((Row(CONFIG, text, 2),), 2)),
        succeed(Changes((Row(CONFIG, TABLE % 6, 3),), 3)),
        fail(StoreRefused()),
    )
    follower = ConfigurationFollower(
        reactor,
        store,
        lambda table, _text: tables.append(table),
    )
    follower.start()
    assert [table.version for table in tables] == [1, 6]
    assert len(errors) == 1


def test_error_in_a_callback_does_not_stop_the_follower(errors):
    """After an error in the callback the process got no later version."""
    reactor, tables = Reactor(), []

    def take(table, _text):
        tables.append(table)
        if len(tables) == 1:
            raise ValueError

    store = PreparedStore(
        succeed(Page((Row(CONFIG, TABLE % 1, 1),), False, 1)),
        succeed(Page((Row(CONFIG, TABLE % 2, 2),), False, 2)),
        fail(StoreRefused()),
    )
    ConfigurationFollower(reactor, store, take).start()
    reactor.advance(1)
    assert [table.version for table in tables] == [1, 2]
    assert len(errors) == 1


@pytest.mark.parametrize('seed', range(4))
def test_mutated_responses_are_read_or_refused(seed):
    rng = random.Random(seed)
    good = {'ver': 9, 'rows': [wire_row('a'), wire_row('b')], 'hasMore': False}
    for _round in range(200):
        fields = mutated(rng, good)
        if not isinstance(fields, dict):
            continue
        store = store_with(FakeJsonClient(200, fields))
        page = result_of(store.read('t', 'p'))
        assert isinstance(page, Page) or page.check(StoreRefused)
        changes = result_of(store.changes('t', 1, 0))
        assert isinstance(changes, Changes) or changes.check(StoreRefused)
