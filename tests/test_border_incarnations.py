"""Incarnations of a runner, as the border tells them apart."""

import pytest
from test_platform import LOOK, Answers, result_of, worker_with

from hyssopring.logs import Event, _emit, listen_to_events
from hyssopring.platform.incarnation import born_text

BORN = 1_764_756_371_000


@pytest.fixture
def restarts():
    """Every restart of a worker that was logged."""
    logged = []

    def hear(event, fields):
        if event is Event.WORKER_RESTARTED:
            logged.append(fields)

    listen_to_events(hear)
    yield logged
    _emit._listeners.remove(hear)


def look(worker, **fields):
    worker._client = Answers(200, {'clockMs': 1, **fields})
    return result_of(worker.look(type('Look', (), LOOK)))


def test_a_restart_under_the_same_id_is_logged_once(restarts):
    worker = worker_with(None)
    for born in (BORN, BORN, BORN + 5000, BORN + 5000):
        look(worker, born=born, running=[], finished=[[1]])
    assert len(restarts) == 1
    assert restarts[0]['before'] == str(BORN)
    assert restarts[0]['born'] == str(BORN + 5000)
    assert restarts[0]['finished'] == 1


def test_a_runner_that_tells_no_start_has_no_restart(restarts):
    worker = worker_with(None)
    for _each in range(2):
        look(worker)
    assert not restarts


ODD_STARTS = ['x', -1, 1.5, 10**30, True, [1], {'a': 1}, float('nan')]


@pytest.mark.parametrize('odd', ODD_STARTS)
def test_an_odd_start_names_an_incarnation_all_the_same(odd):
    words = {born_text(other) for other in (*ODD_STARTS, BORN)}
    assert len(words) == len(ODD_STARTS) + 1
    assert born_text(odd) == born_text(odd)


def test_a_whole_number_names_the_same_start_in_either_form():
    assert born_text(BORN) == born_text(float(BORN)) == str(BORN)
