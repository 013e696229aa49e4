"""Incarnations of a worker process, told apart by their start time."""

import pytest
from test_border_runner import GOOD
from test_platform import (
    POLL_REQUEST,
    FakeJsonClient,
    result_of,
    worker_with,
)

from hyssopring.jobs.advice_client import AdviceQuery
from hyssopring.logs import Event, _emit, listen_to_events
from hyssopring.platform.advice import PlatformAdvice
from hyssopring.platform.incarnation import boot_name
from hyssopring.platform.reports import ReportsResource
from standins.runner_wire import OWN_HOST, post_report

BORN = 1_764_756_371_000


@pytest.fixture
def restarts():
    """The logged restarts of workers."""
    logged = []

    def on_event(event, fields):
        if event is Event.WORKER_RESTARTED:
            logged.append(fields)

    listen_to_events(on_event)
    yield logged
    _emit._listeners.remove(on_event)


def poll(worker, **fields):
    worker._client = FakeJsonClient(200, {'clockMs': 1, **fields})
    return result_of(worker.poll(type('PollRequest', (), POLL_REQUEST)))


def test_restart_under_the_same_id_is_logged_once(restarts):
    worker = worker_with(None)
    for born in (BORN, BORN, BORN + 5000, BORN + 5000):
        poll(worker, born=born, running=[], finished=[[1]])
    assert len(restarts) == 1
    assert restarts[0]['before'] == f'i-1#{BORN}'
    assert restarts[0]['boot'] == f'i-1#{BORN + 5000}'
    assert restarts[0]['finished'] == 1


def test_worker_that_reports_no_start_time_has_no_restart(restarts):
    worker = worker_with(None)
    for _poll in range(2):
        poll(worker)
    assert not restarts


MALFORMED_STARTS = ['x', -1, 1.5, 10**30, True, [1], {'a': 1}, float('nan')]


@pytest.mark.parametrize('malformed', MALFORMED_STARTS)
def test_malformed_start_still_identifies_an_incarnation(malformed):
    names = {boot_name('i-1', other) for other in (*MALFORMED_STARTS, BORN)}
    assert len(names) == len(MALFORMED_STARTS) + 1
    assert boot_name('i-1', malformed) == boot_name('i-1', malformed)


def test_integer_and_float_start_name_the_same_incarnation():
    boot = boot_name('i-1', BORN)
    assert boot == boot_name('i-1', float(BORN)) == f'i-1#{BORN}'


class Reports:
    """An agent's resource for reports; records what it has passed on."""

    def __init__(self):
        self.boots, self.deregistered = [], []
        self._resource = ReportsResource(
            lambda report: self.boots.append(report.boot),
            self.deregistered.append,
            (OWN_HOST,),
        )

    def send_heartbeat(self, **changes):
        post_report(self._resource, 'i-1', {**GOOD, **changes})

    def deregister(self, fields):
        post_report(self._resource, 'i-1', fields, 'deregister')


def test_each_incarnation_reports_with_its_own_boot_name():
    reports = Reports()
    for born in (BORN, BORN + 1, None):
        reports.send_heartbeat(born=born)
    assert reports.boots == [f'i-1#{BORN}', f'i-1#{BORN + 1}', 'i-1']


@pytest.mark.parametrize('malformed', MALFORMED_STARTS)
def test_report_with_a_malformed_start_is_accepted(malformed):
    reports = Reports()
    reports.send_heartbeat(born=malformed)
    assert len(reports.boots) == 1


def test_deregistration_applies_to_the_incarnation_that_it_names():
    reports = Reports()
    reports.send_heartbeat(born=BORN + 1)
    reports.deregister({'born': BORN})
    assert reports.deregistered == [f'i-1#{BORN}']


@pytest.mark.parametrize(
    ('state', 'boot'), [('ready', 'i-1'), ('draining', f'i-1#{BORN}')]
)
def test_deregistration_without_a_start_needs_a_draining_worker(state, boot):
    """Guards against a late deregistration that ends the next incarnation."""
    reports = Reports()
    reports.send_heartbeat(born=BORN, state=state)
    reports.deregister({})
    assert reports.deregistered == [boot]


@pytest.mark.parametrize(
    ('requested', 'born', 'boot'),
    [
        (f'i-1#{BORN}', BORN, f'i-1#{BORN}'),
        (f'i-1#{BORN}', BORN + 1, f'i-1#{BORN + 1}'),
        (f'i-1#{BORN}', None, f'i-1#{BORN}'),
        ('i-1', BORN, 'i-1'),
    ],
)
def test_listing_names_the_incarnation_that_responded(requested, born, boot):
    worker = worker_with(FakeJsonClient(200, {'clockMs': 1, 'born': born}))
    listing = result_of(
        worker.poll(
            type('PollRequest', (), {**POLL_REQUEST, 'boot': requested})
        )
    )
    assert listing.boot == boot


def test_calls_to_a_worker_carry_only_its_id():
    client = FakeJsonClient(200, {'clockMs': 1})
    worker_with(client).stop(f'i-1#{BORN}', 1, 'a', 1)
    assert client.calls[0][-1] == (('Expected-Instance', 'i-1'),)


def test_advice_is_requested_by_id_and_applies_to_the_incarnation():
    boots = (f'i-1#{BORN}', 'i-2')
    client = FakeJsonClient(200, {'approved': [['i-1', 't'], ['i-2', 'u']]})
    advice = PlatformAdvice(None, '127.0.0.1:1')
    advice._client = client
    advised = result_of(advice.ask(AdviceQuery('step', boots, 100)))
    assert client.calls[0][2]['workers'] == ['i-1', 'i-2']
    assert advised.ticket_by_boot == {boots[0]: 't', 'i-2': 'u'}


def test_new_incarnation_is_called_on_a_new_connection():
    """Guards against connections to the former one that never respond."""
    client = FakeJsonClient(200, {'clockMs': 1})
    worker = worker_with(client)
    for boot in (f'i-1#{BORN}', f'i-1#{BORN}', f'i-1#{BORN + 1}'):
        worker.poll(type('PollRequest', (), {**POLL_REQUEST, 'boot': boot}))
    assert client.idle_closings == 2


@pytest.mark.parametrize('verb', ['heartbeat', 'deregister'])
def test_reports_from_another_machine_are_rejected(verb):
    """Guards against a foreign report that makes running tasks count as lost."""
    reports = Reports()
    status = post_report(
        reports._resource, 'i-1', {**GOOD, 'born': BORN}, verb, '10.1.0.9'
    )
    assert status == 403
    assert not reports.boots and not reports.deregistered
