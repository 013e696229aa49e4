"""Tests of an agent's calls: at most once, remembered and within slots."""

import pytest

from hyssopring.agent.backends import AnnouncedBackend, Backends
from hyssopring.agent.calls import CallExecutor
from hyssopring.agent.memory import MemoryLimits, OutcomeMemory
from hyssopring.clock import ManualClock
from hyssopring.invariants import Invariants
from hyssopring.metrics import Metrics
from hyssopring.protocol.messages import (
    CallRequest,
    CallResponse,
    OutcomeQuery,
)


class CallSetup:
    """An executor whose backend server responds when a test calls ``respond``."""

    def __init__(self, slots=2, limits=MemoryLimits()):
        self.clock = ManualClock(1000)
        metrics = Metrics()
        self.backends = Backends(self.clock, Invariants(metrics))
        self.executor = CallExecutor(
            self.clock,
            self.backends,
            self,
            self,
            metrics,
            OutcomeMemory(limits),
        )
        self.slots = slots
        self.executor.last_heartbeat = 1
        self.sent = []
        self.runs = []
        self.announce()

    def announce(self, leaving=False):
        self.backends.announce(
            AnnouncedBackend('b', 'trust/booking', 'b', self.slots, 64, leaving)
        )

    def send(self, entry_id, message):
        self.sent.append((entry_id, message))

    def call(self, address, request, timeout_ms, done):
        self.runs.append((request.request_id, done))

    def submit(self, request_id, entry_id='e', budget_ms=1000, after=None):
        after = self.executor.last_heartbeat if after is None else after
        self.executor.on_call(
            entry_id,
            CallRequest(
                request_id,
                'trust/booking',
                'POST',
                '/',
                (),
                b'',
                budget_ms,
                1,
                False,
                after,
            ),
        )

    def respond(self, request_id, outcome='answered', body=b'done'):
        for run_id, done in self.runs:
            if run_id == request_id:
                done(CallResponse(request_id, outcome, 200, body=body))

    def query(self, request_id, entry_id='f', after=1, peek=False):
        self.executor.on_query(entry_id, OutcomeQuery(request_id, after, peek))
        return self.sent[-1][1] if self.sent else None

    def run_count(self, request_id):
        return [run_id for run_id, _ in self.runs].count(request_id)


def test_late_copy_is_answered_from_memory():
    """A copy of a request arrives late on an old connection.

    The first one has been answered. If the backend server ran the copy, a
    booking would be made twice.
    """
    setup = CallSetup()
    setup.submit('r')
    setup.submit('r', entry_id='f')
    setup.respond('r')
    setup.submit('r', entry_id='g')
    assert setup.run_count('r') == 1
    assert [entry_id for entry_id, _ in setup.sent] == ['e', 'f', 'g']
    assert {message.body for _, message in setup.sent} == {b'done'}


def test_request_queried_before_its_arrival_never_runs():
    """A request arrives after its entry received "not run" for it.

    The entry has sent the booking to another agent by then. If the delayed
    first copy ran as well, the booking would be made twice.
    """
    setup = CallSetup()
    assert setup.query('r').outcome == 'not-run'
    setup.submit('r')
    assert setup.run_count('r') == 0
    assert setup.sent[-1][1].outcome == 'not-run'


def test_peek_does_not_refuse_the_request():
    setup = CallSetup()
    assert setup.query('r', peek=True).outcome == 'unseen'
    setup.submit('r')
    assert setup.query('r', peek=True).outcome == 'running'
    setup.respond('r')
    assert [entry_id for entry_id, _ in setup.sent] == ['f', 'f', 'e']
    assert setup.query('r', peek=True).body == b'done'


def test_dropped_request_is_unknown_and_its_copy_does_not_run():
    """The agent has dropped the id of a request after many later ones.

    If it reported "not run" then, the entry would send the booking again.
    """
    setup = CallSetup(
        limits=MemoryLimits(responses=2, response_bytes=100, ids=3)
    )
    for number in range(20):
        setup.executor.last_heartbeat = number
        setup.submit(f'r{number}')
        setup.respond(f'r{number}')
    assert setup.query('r19', after=19).outcome == 'answered'
    assert setup.query('r17', after=17).outcome == 'unknown'
    assert setup.query('r0', after=0).outcome == 'unknown'
    setup.submit('r0', after=0)
    assert setup.run_count('r0') == 1
    assert setup.query('never-sent', after=20).outcome == 'not-run'


@pytest.mark.parametrize('size', [10, 60])
def test_memory_is_bounded_by_bytes_and_count(size):
    memory = OutcomeMemory(
        MemoryLimits(responses=5, response_bytes=100, ids=50)
    )
    for number in range(400):
        memory.add(
            CallResponse(f'{number}', 'answered', 200, (), b'.' * size), 1
        )
    remembered = [
        number for number in range(400) if memory.response_to(f'{number}')
    ]
    assert len(remembered) == min(5, 100 // size)
    assert memory.may_have_seen('399', 2) and not memory.may_have_seen('0', 2)
    assert memory.may_have_seen('0', 1)


def test_cancelled_calls_leave_the_queue():
    """Many callers cancel their queued calls at once.

    If the calls stayed in the queue, it would remain full and all later calls
    would be refused.
    """
    setup = CallSetup(slots=1)
    for number in range(65):
        setup.submit(f'r{number}')
    setup.submit('refused')
    assert setup.sent[-1][1].error == 'overloaded'
    for number in range(1, 65):
        setup.executor.on_cancel(f'r{number}')
    setup.executor.on_cancel('r0')
    setup.submit('next')
    setup.respond('r0')
    assert setup.run_count('next') == 1
    assert setup.run_count('r1') == 0
    assert setup.backends.load('trust/booking').queued == 0


def test_leaving_backend_gets_no_new_calls_and_finishes_running_ones():
    """A backend server announces that it is leaving.

    A call from the agent's queue that started on it seconds later would be
    cut off when it exits.
    """
    setup = CallSetup(slots=1)
    setup.submit('running')
    setup.submit('waiting')
    setup.announce(leaving=True)
    setup.executor.tick()
    assert setup.sent[-1][1].request_id == 'waiting'
    assert setup.sent[-1][1].outcome == 'not-run'
    setup.submit('new')
    assert setup.sent[-1][1].outcome == 'not-run'
    setup.clock.advance(5000)
    setup.respond('running')
    assert setup.sent[-1][1].body == b'done'
    assert [run_id for run_id, _ in setup.runs] == ['running']


def test_silent_backend_gets_no_new_calls():
    """A backend server crashes while its agent is paused.

    The first request after the pause must not be sent to it.
    """
    setup = CallSetup()
    setup.clock.advance(3500)
    setup.submit('r')
    assert setup.runs == []
    assert setup.sent[-1][1].outcome == 'not-run'
    setup.announce()
    setup.submit('s')
    assert setup.run_count('s') == 1
