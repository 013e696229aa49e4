"""Incarnations of a runner, as the border tells them apart."""

import pytest
from test_border_runner import GOOD
from test_platform import LOOK, Answers, result_of, worker_with

from hyssopring.jobs.advice_client import AdviceQuery
from hyssopring.logs import Event, _emit, listen_to_events
from hyssopring.platform.advice import PlatformAdvice
from hyssopring.platform.incarnation import boot_name
from hyssopring.platform.reports import ReportsResource
from standins.runner_wire import OWN_HOST, post_report

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
    return result_of(worker.poll(type('PollRequest', (), LOOK)))


def test_a_restart_under_the_same_id_is_logged_once(restarts):
    worker = worker_with(None)
    for born in (BORN, BORN, BORN + 5000, BORN + 5000):
        look(worker, born=born, running=[], finished=[[1]])
    assert len(restarts) == 1
    assert restarts[0]['before'] == f'i-1#{BORN}'
    assert restarts[0]['boot'] == f'i-1#{BORN + 5000}'
    assert restarts[0]['finished'] == 1


def test_a_runner_that_tells_no_start_has_no_restart(restarts):
    worker = worker_with(None)
    for _each in range(2):
        look(worker)
    assert not restarts


ODD_STARTS = ['x', -1, 1.5, 10**30, True, [1], {'a': 1}, float('nan')]


@pytest.mark.parametrize('odd', ODD_STARTS)
def test_an_odd_start_names_an_incarnation_all_the_same(odd):
    words = {boot_name('i-1', other) for other in (*ODD_STARTS, BORN)}
    assert len(words) == len(ODD_STARTS) + 1
    assert boot_name('i-1', odd) == boot_name('i-1', odd)


def test_a_whole_number_names_the_same_start_in_either_form():
    whole = boot_name('i-1', BORN)
    assert whole == boot_name('i-1', float(BORN)) == f'i-1#{BORN}'


class Reports:
    """An agent's resource for reports, and what it has passed on."""

    def __init__(self):
        self.boots, self.left = [], []
        self._resource = ReportsResource(
            lambda told: self.boots.append(told.boot),
            self.left.append,
            (OWN_HOST,),
        )

    def beat(self, **changes):
        post_report(self._resource, 'i-1', {**GOOD, **changes})

    def leave(self, fields):
        post_report(self._resource, 'i-1', fields, 'deregister')


def test_each_incarnation_reports_under_a_boot_of_its_own():
    reports = Reports()
    for born in (BORN, BORN + 1, None):
        reports.beat(born=born)
    assert reports.boots == [f'i-1#{BORN}', f'i-1#{BORN + 1}', 'i-1']


@pytest.mark.parametrize('odd', ODD_STARTS)
def test_a_report_with_an_odd_start_is_taken(odd):
    reports = Reports()
    reports.beat(born=odd)
    assert len(reports.boots) == 1


def test_a_farewell_counts_for_the_incarnation_that_it_names():
    reports = Reports()
    reports.beat(born=BORN + 1)
    reports.leave({'born': BORN})
    assert reports.left == [f'i-1#{BORN}']


@pytest.mark.parametrize(
    ('state', 'boot'), [('ready', 'i-1'), ('draining', f'i-1#{BORN}')]
)
def test_a_farewell_without_a_start_needs_a_worker_that_leaves(state, boot):
    """Guards against a late farewell that ends the next incarnation."""
    reports = Reports()
    reports.beat(born=BORN, state=state)
    reports.leave({})
    assert reports.left == [boot]


@pytest.mark.parametrize(
    ('asked', 'born', 'boot'),
    [
        (f'i-1#{BORN}', BORN, f'i-1#{BORN}'),
        (f'i-1#{BORN}', BORN + 1, f'i-1#{BORN + 1}'),
        (f'i-1#{BORN}', None, f'i-1#{BORN}'),
        ('i-1', BORN, 'i-1'),
    ],
)
def test_a_list_names_the_incarnation_that_answered(asked, born, boot):
    worker = worker_with(Answers(200, {'clockMs': 1, 'born': born}))
    listing = result_of(
        worker.poll(type('PollRequest', (), {**LOOK, 'boot': asked}))
    )
    assert listing.boot == boot


def test_calls_carry_the_id_alone():
    answers = Answers(200, {'clockMs': 1})
    worker_with(answers).stop(f'i-1#{BORN}', 1, 'a', 1)
    assert answers.calls[0][-1] == (('Expected-Instance', 'i-1'),)


def test_advice_is_asked_by_id_and_counts_for_the_incarnation():
    boots = (f'i-1#{BORN}', 'i-2')
    answers = Answers(200, {'approved': [['i-1', 't'], ['i-2', 'u']]})
    advice = PlatformAdvice(None, '127.0.0.1:1')
    advice._client = answers
    advised = result_of(advice.ask(AdviceQuery('step', boots, 100)))
    assert answers.calls[0][2]['workers'] == ['i-1', 'i-2']
    assert advised.ticket_by_boot == {boots[0]: 't', 'i-2': 'u'}


def test_a_new_incarnation_is_met_on_a_new_connection():
    """Guards against connections to the former one that are silent for good."""
    answers = Answers(200, {'clockMs': 1})
    worker = worker_with(answers)
    for boot in (f'i-1#{BORN}', f'i-1#{BORN}', f'i-1#{BORN + 1}'):
        worker.poll(type('PollRequest', (), {**LOOK, 'boot': boot}))
    assert answers.closings == 2


@pytest.mark.parametrize('verb', ['heartbeat', 'deregister'])
def test_another_machine_can_report_no_incarnation(verb):
    """Guards against running tasks that a foreign report makes given up."""
    reports = Reports()
    status = post_report(
        reports._resource, 'i-1', {**GOOD, 'born': BORN}, verb, '10.1.0.9'
    )
    assert status == 403
    assert not reports.boots and not reports.left
