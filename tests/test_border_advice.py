"""Malformed elements of the lists of workers that may run a step."""

import random

import pytest
from border_support import mutated, short
from test_platform import QUERY, FakeJsonClient, advice_with, result_of

from hyssopring.jobs.advice_client import AdviceAnswer, AdviceUnavailable

GOOD = ['i-2', 'c8-7']
MALFORMED = {
    'null': None,
    'number': 7,
    'text': 'i-1',
    'object': {'i-1': 't'},
    'empty': [],
    'no ticket': ['i-1'],
    'null ticket': ['i-1', None],
    'numeric ticket': ['i-1', 7],
    'empty ticket': ['i-1', ''],
    'long ticket': ['i-1', 'x' * 100_000],
    'half a surrogate pair': ['i-1', '\ud800'],
    'null id': [None, 't'],
    'list as id': [['i-1'], 't'],
}


def ask(**fields):
    client = FakeJsonClient(200, fields)
    return advice_with(client), client


@pytest.mark.parametrize('name', MALFORMED)
def test_malformed_element_hides_no_other(name, errors):
    """Guards against a step that waits because of one element."""
    advice, _client = ask(approved=[MALFORMED[name], GOOD], validMs=3000)
    for _repetition in range(3):
        answer = result_of(advice.ask(QUERY))
        assert answer.ticket_by_boot == {'i-2': 'c8-7'}
    assert len(errors) == 1


@pytest.mark.parametrize('name', MALFORMED)
def test_answer_without_a_valid_element_is_none(name):
    """Guards against a malformed answer that counts as a denial."""
    advice, _client = ask(approved=[MALFORMED[name]])
    assert result_of(advice.ask(QUERY)).check(AdviceUnavailable)


def test_worker_that_was_not_asked_for_is_not_used():
    advice, _client = ask(approved=[['i-9', 't'], GOOD])
    assert result_of(advice.ask(QUERY)).ticket_by_boot == {'i-2': 'c8-7'}


def test_later_cells_of_an_element_are_ignored():
    advice, _client = ask(approved=[[*GOOD, 'later']])
    assert result_of(advice.ask(QUERY)).ticket_by_boot == {'i-2': 'c8-7'}


@pytest.mark.parametrize(
    'valid_ms',
    [-1, float('nan'), float('inf'), 1e300, 10**400, None, [], 'soon'],
    ids=short,
)
def test_malformed_time_makes_the_answer_invalid(valid_ms):
    """Guards against tickets that are never or always taken for valid."""
    advice, _client = ask(approved=[GOOD], validMs=valid_ms)
    assert result_of(advice.ask(QUERY)).check(AdviceUnavailable)


def test_mutated_answers_are_read_or_rejected():
    rng = random.Random(3)
    good = {'approved': [['i-1', 't'], GOOD], 'validMs': 3000}
    for _round in range(500):
        fields = mutated(rng, good)
        if not isinstance(fields, dict):
            continue
        answer = result_of(ask(**fields)[0].ask(QUERY))
        is_read = isinstance(answer, AdviceAnswer)
        assert is_read or answer.check(AdviceUnavailable)
