"""Answers of the store, and its configuration, that another writer made odd."""

import base64
import random

import pytest
from border_support import Rows, mutated
from test_platform import Answers, result_of, store_with
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


def stored(key='k', **changes):
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
def test_a_value_that_cannot_be_read_keeps_its_row(value, errors):
    """Who needs the key and the version alone has them, as of an agent that
    a shard's next owner must wait for."""
    rows = [stored('a', value=value), stored('b')]
    answers = Answers(200, {'ver': 9, 'rows': rows})
    page = result_of(store_with(answers).read('t', 'p'))
    assert [row.row_key.key for row in page.rows] == ['a', 'b']
    assert [row.text for row in page.rows] == ['', 'text']
    assert page.rows[0].version == 4 and len(errors) == 1


@pytest.mark.parametrize('ver', ['x', None, [], -3, 1.5, True])
def test_a_version_that_cannot_be_read_matches_no_row(ver):
    answers = Answers(200, {'ver': 9, 'rows': [stored('a', ver=ver)]})
    page = result_of(store_with(answers).read('t', 'p'))
    assert page.rows[0].version == 0


@pytest.mark.parametrize(
    'row', [None, 7, 'row', [], {}, {'key': 'k'}, stored(7), stored(part=[])]
)
def test_a_row_that_lies_nowhere_hides_no_other(row, errors):
    answers = Answers(200, {'ver': 9, 'rows': [row, stored('b')]})
    page = result_of(store_with(answers).read('t', 'p'))
    assert [each.row_key.key for each in page.rows] == ['b']
    changes = result_of(store_with(answers).changes('t', 1, 0))
    assert [each.row_key.key for each in changes.rows] == ['b']
    assert len(errors) == 2


ODD_FIELDS = (
    {},
    {'ver': None},
    {'ver': 'x', 'rows': []},
    {'ver': -1, 'rows': []},
    {'ver': 9, 'rows': 7},
    {'ver': 9, 'rows': {}},
    {'ver': 9, 'rows': [None], 'hasMore': True},
)


@pytest.mark.parametrize('fields', ODD_FIELDS)
def test_an_answer_without_its_fields_is_no_answer(fields):
    store = store_with(Answers(200, fields))
    assert result_of(store.read('t', 'p')).check(StoreRefused)
    assert result_of(store.read_one(RowKey('t', 'p', 'k'))).check(StoreRefused)


@pytest.mark.parametrize('fields', ODD_FIELDS[:-1])
def test_changes_without_their_fields_are_no_answer(fields):
    store = store_with(Answers(200, fields))
    assert result_of(store.changes('t', 1, 0)).check(StoreRefused)


@pytest.mark.parametrize('fields', ODD_FIELDS[:4])
def test_a_commit_without_its_version_is_in_doubt(fields):
    store = store_with(Answers(200, fields))
    assert result_of(store.commit(Transaction())).check(StoreUncertain)


def test_a_conflict_whose_rows_are_odd_is_a_refusal():
    """Taken for no rows it would say that another one owns the shard."""
    checked = Transaction((RowCheck(RowKey('t', 'p', 'k'), 4),))
    store = store_with(Answers(412, {'rows': 7}))
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
    ],
)
def test_an_odd_configuration_leaves_the_former_one_in_force(text, errors):
    reactor, tables = Reactor(), []
    store = Rows(
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


def test_a_table_that_cannot_be_taken_does_not_end_the_following(errors):
    """An error in passing one on left the process without any later one."""
    reactor, tables = Reactor(), []

    def take(table, _text):
        tables.append(table)
        if len(tables) == 1:
            raise ValueError

    store = Rows(
        succeed(Page((Row(CONFIG, TABLE % 1, 1),), False, 1)),
        succeed(Page((Row(CONFIG, TABLE % 2, 2),), False, 2)),
        fail(StoreRefused()),
    )
    ConfigurationFollower(reactor, store, take).start()
    reactor.advance(1)
    assert [table.version for table in tables] == [1, 2]
    assert len(errors) == 1


@pytest.mark.parametrize('seed', range(4))
def test_any_answer_of_the_store_is_read_or_refused(seed):
    rng = random.Random(seed)
    good = {'ver': 9, 'rows': [stored('a'), stored('b')], 'hasMore': False}
    for _round in range(200):
        fields = mutated(rng, good)
        if not isinstance(fields, dict):
            continue
        store = store_with(Answers(200, fields))
        page = result_of(store.read('t', 'p'))
        assert isinstance(page, Page) or page.check(StoreRefused)
        changes = result_of(store.changes('t', 1, 0))
        assert isinstance(changes, Changes) or changes.check(StoreRefused)
