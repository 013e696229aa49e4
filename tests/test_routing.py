"""Tests of routing: selection, ejection, retries, admission and queues."""

import json
import random

import pytest

from hyssopring.agent.backends import AnnouncedBackend, Backends
from hyssopring.agent.queue import CallQueue
from hyssopring.clock import ManualClock
from hyssopring.configuration import ConfigurationState
from hyssopring.errors import ErrorKind
from hyssopring.invariants import Invariants
from hyssopring.membership import Fleet
from hyssopring.metrics import Metrics
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import (
    BackendReport,
    CallRequest,
    CallResponse,
    ConfigurationItem,
    ConfigurationUpdate,
    Heartbeat,
    Hello,
    Resources,
)
from hyssopring.routing import AdmissionControl, BackendSelector, RetryBudget

SERVICE = 'trust/booking'


class SelectorSetup:
    """A selector and a fleet of backends under a manual clock."""

    def __init__(self, count=6, zones=('paddock',)):
        self.fleet = Fleet()
        self.records = []
        for number in range(count):
            hello = Hello(
                1,
                f'agent-{number}',
                'first',
                zones[number % len(zones)],
                'rack',
                '',
                Resources(16, 60),
                0,
            )
            record = self.fleet.connect(hello, 0)
            report = BackendReport(SERVICE, f'b{number}', 8, 64, False, 0, 0, 0)
            beat = Heartbeat(1, 0, (report,), Resources(16, 60), False)
            self.fleet.heartbeat(record, beat, 0)
            self.records.append(record)
        self.selector = BackendSelector(zones[0], random.Random(3))
        self.now = 10_000.0
        self.sent = 0

    def choose(self):
        return self.selector.choose(self.fleet.backends(SERVICE), self.now)

    def send(self):
        view = self.choose().backend
        self.sent += 1
        self.selector.on_sent(view, f'r{self.sent}', self.now)
        return view, f'r{self.sent}'

    def answer(self, view, request_id, outcome='answered', error=''):
        response = CallResponse(request_id, outcome, 200, error=error)
        self.selector.on_response(view.agent, response, self.now)

    def serve(self, rounds, latency_ms=lambda agent_id: 20.0, intercept=None):
        chosen = []
        for _ in range(rounds):
            view, request_id = self.send()
            chosen.append(view.agent.agent_id)
            start = self.now
            self.now += latency_ms(view.agent.agent_id)
            if intercept is None or not intercept(view, request_id):
                self.answer(view, request_id)
            self.now = start + 5
        return chosen


def test_own_calls_spread_over_all_backends():
    setup = SelectorSetup()
    chosen = [setup.send()[0].agent.agent_id for _ in range(36)]
    counts = [chosen.count(agent_id) for agent_id in set(chosen)]
    assert len(counts) == 6
    assert max(counts) <= 8


def test_zone_is_preferred_until_its_queueing_outweighs_the_distance():
    setup = SelectorSetup(zones=('paddock', 'office'))
    zones = [setup.send()[0].agent.zone for _ in range(48)]
    assert set(zones[:3]) == {'paddock'}
    assert 18 <= zones.count('office') <= 24


def test_slow_backend_is_ejected_and_returns_after_a_good_probe():
    """One backend becomes eight times slower.

    The selector ejects it, probes it with single calls, and restores it after
    a fast answer.
    """
    setup = SelectorSetup()
    slow = lambda agent: 160.0 if agent == 'agent-2' else 20.0  # noqa: E731
    setup.serve(300, slow)
    assert setup.serve(150, slow).count('agent-2') <= 1
    setup.now += 20_000
    assert setup.serve(300).count('agent-2') > 20


def test_stalled_backend_gets_only_probes():
    """Calls sent on one connection get no answer.

    Least-connections balancing would keep sending to it whenever its count
    is lowest.
    """
    setup = SelectorSetup()
    setup.serve(200)
    lost = lambda view, _: view.agent.agent_id == 'agent-1'  # noqa: E731
    setup.serve(100, intercept=lost)
    assert setup.serve(100, intercept=lost).count('agent-1') <= 1


def test_not_all_backends_are_ejected():
    """A shared dependency fails, so that every backend answers with errors.

    Ejecting all of them would cause an outage.
    """
    setup = SelectorSetup()

    def fail(view, request_id):
        error = ErrorKind.BACKEND_FAILED.value
        setup.answer(view, request_id, CallOutcome.FAILED.value, error)
        return True

    chosen = setup.serve(200, intercept=fail)
    assert len(set(chosen[-60:])) >= 4


def test_fresh_backend_starts_slowly():
    setup = SelectorSetup()
    setup.records[0].backend_by_id['b0'].since = setup.now
    chosen = [setup.send()[0].agent.agent_id for _ in range(24)]
    assert chosen.count('agent-0') <= 2


def test_extra_sends_stay_a_fraction_of_successes():
    """A zone fails and every call needs a retry.

    Without the budget, the retries double the load of the other backends.
    """
    budget = RetryBudget()
    extra_sends = 0
    for _ in range(1000):
        budget.on_success()
        extra_sends += budget.try_spend() + budget.try_spend()
    assert extra_sends <= 110
    assert not budget.try_spend()


def new_admission(document='{}', entries=1):
    state = ConfigurationState()
    item = ConfigurationItem('team/trust', 1, document)
    template = {'kind': 'service', 'size': {'cores': 1.0, 'memory_gb': 1.0}}
    items = (
        item,
        ConfigurationItem('template/booking', 1, json.dumps(template)),
        ConfigurationItem('parameters/trust/booking', 1, '{}'),
    )
    state.apply(ConfigurationUpdate(0, 1, items))
    clock = ManualClock()
    admission_control = AdmissionControl(clock, state)
    admission_control.entry_count = entries
    return admission_control, state.policy(SERVICE), clock


@pytest.mark.parametrize('entries', (1, 4))
def test_team_gets_its_quota_and_no_more(entries):
    admission_control, policy, clock = new_admission(
        '{"requests_per_s": 200.0}', entries
    )
    admitted = 0
    for _ in range(4000):
        clock.advance(1)
        admitted += admission_control.quota_failure(policy) is None
    assert 780 / entries <= admitted <= 920 / entries
    assert admission_control.quota_failure(policy).kind is ErrorKind.QUOTA


def test_missed_deadline_is_predicted_and_less_urgent_refused_first():
    admission_control, _, _ = new_admission()
    choice = SelectorSetup().choose()
    late_choice = type(choice)(
        choice.backend, '', queue_wait_ms=700, total_ms=720
    )
    assert admission_control.deadline_failure(late_choice, 9, 1000) is None
    failure = admission_control.deadline_failure(late_choice, 2, 1000)
    assert failure.kind is ErrorKind.OVERLOADED
    assert failure.retry_after_ms >= 700


def queued_call(name, urgency=5, budget_ms=1000.0, service=SERVICE):
    return CallRequest(
        name, service, 'GET', '/', (), b'', budget_ms, urgency, False
    )


def test_queue_serves_by_urgency_then_deadline():
    backends = Backends(ManualClock(), Invariants(Metrics()))
    queue = CallQueue(backends)
    for name, urgency, deadline in (('a', 1, 5), ('b', 8, 9), ('c', 8, 7)):
        queue.push(queued_call(name, urgency), deadline)
    assert queue.request_ids == ('c', 'b', 'a')
    queue.discard('c')
    backends.announce(AnnouncedBackend('b0', SERVICE, '', 1, 64))
    ready = queue.take_ready()
    request_id, backend = next(ready)
    assert request_id == 'b'
    backends.on_call_started(backend)
    assert next(ready, None) is None
    assert queue.request_ids == ('a',)


def test_overload_by_one_team_fills_only_its_own_queue():
    """One team sends far more calls than its backends can run.

    With one limit for the whole VM, its calls would fill the queue, and those
    of another team would be refused although their backend is nearly idle.
    """
    queue = CallQueue(Backends(ManualClock(), Invariants(Metrics())), 3)
    for number in range(3):
        queue.push(queued_call(f'flood-{number}', service='flood/booking'), 9)
    refused = queue.failure(queued_call('one-more', service='flood/booking'))
    assert refused.kind is ErrorKind.OVERLOADED
    assert queue.failure(queued_call('rider')) is None


def test_wait_that_exceeds_the_budget_is_refused():
    backends = Backends(ManualClock(), Invariants(Metrics()))
    busy = AnnouncedBackend('b0', SERVICE, '', 2, 64)
    backends.announce(busy)
    busy.latency_ms = 100
    queue = CallQueue(backends)
    assert queue.failure(queued_call('patient', budget_ms=60)) is None
    failure = queue.failure(queued_call('hasty', budget_ms=40))
    assert (failure.kind, failure.retry_after_ms) == (ErrorKind.OVERLOADED, 50)
