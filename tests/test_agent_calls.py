"""The agent's side of a call: at most once, remembered, within its slots."""

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


class Rig:
    """An executor whose backend answers when told to."""

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

    def submit(self, request_id, entry='e', budget_ms=1000, after=None):
        after = self.executor.last_heartbeat if after is None else after
        self.executor.on_call(
            entry,
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

    def answer(self, request_id, outcome='answered', body=b'done'):
        for each, done in self.runs:
            if each == request_id:
                done(CallResponse(request_id, outcome, 200, body=body))

    def ask(self, request_id, entry='f', after=1, peek=False):
        self.executor.on_query(entry, OutcomeQuery(request_id, after, peek))
        return self.sent[-1][1] if self.sent else None

    def ran(self, request_id):
        return [each for each, _ in self.runs].count(request_id)


def test_late_copy_is_answered_from_memory():
    """A booking is doubled: its copy, delayed on an old connection, comes
    after the first was answered, and the backend server runs it again."""
    rig = Rig()
    rig.submit('r')
    rig.submit('r', entry='f')
    rig.answer('r')
    rig.submit('r', entry='g')
    assert rig.ran('r') == 1
    assert [entry for entry, _ in rig.sent] == ['e', 'f', 'g']
    assert {message.body for _, message in rig.sent} == {b'done'}


def test_request_that_was_asked_about_first_never_runs():
    """An entry is told "not run" and sends the booking elsewhere; then the
    first copy arrives on the slow connection and runs as well."""
    rig = Rig()
    assert rig.ask('r').outcome == 'not-run'
    rig.submit('r')
    assert rig.ran('r') == 0
    assert rig.sent[-1][1].outcome == 'not-run'


def test_look_refuses_nothing():
    rig = Rig()
    assert rig.ask('r', peek=True).outcome == 'unseen'
    rig.submit('r')
    assert rig.ask('r', peek=True).outcome == 'running'
    rig.answer('r')
    assert [entry for entry, _ in rig.sent] == ['f', 'f', 'e']
    assert rig.ask('r', peek=True).body == b'done'


def test_forgotten_request_is_unknown_and_its_copy_does_not_run():
    """The agent has answered so many calls that it has dropped the first
    one's id. Asked about it, it says "not run", and the booking is doubled."""
    rig = Rig(limits=MemoryLimits(responses=2, response_bytes=100, ids=3))
    for number in range(20):
        rig.executor.last_heartbeat = number
        rig.submit(f'r{number}')
        rig.answer(f'r{number}')
    assert rig.ask('r19', after=19).outcome == 'answered'
    assert rig.ask('r17', after=17).outcome == 'unknown'
    assert rig.ask('r0', after=0).outcome == 'unknown'
    rig.submit('r0', after=0)
    assert rig.ran('r0') == 1
    assert rig.ask('never-sent', after=20).outcome == 'not-run'


@pytest.mark.parametrize('size', [10, 60])
def test_memory_is_bounded_by_bytes_and_count(size):
    memory = OutcomeMemory(MemoryLimits(responses=5, response_bytes=100, ids=50))
    for number in range(400):
        memory.add(
            CallResponse(f'{number}', 'answered', 200, (), b'.' * size), 1
        )
    kept = [number for number in range(400) if memory.response_to(f'{number}')]
    assert len(kept) == min(5, 100 // size)
    assert memory.may_have_seen('399', 2) and not memory.may_have_seen('0', 2)
    assert memory.may_have_seen('0', 1)


def test_cancelled_calls_leave_the_queue():
    """A wave of parents gives up; the queue stays full of calls that are gone
    and each later caller is refused."""
    rig = Rig(slots=1)
    for number in range(65):
        rig.submit(f'r{number}')
    rig.submit('refused')
    assert rig.sent[-1][1].error == 'overloaded'
    for number in range(1, 65):
        rig.executor.on_cancel(f'r{number}')
    rig.executor.on_cancel('r0')
    rig.submit('next')
    rig.answer('r0')
    assert rig.ran('next') == 1
    assert rig.ran('r1') == 0
    assert rig.backends.load('trust/booking').queued == 0


def test_leaving_backend_gets_nothing_new_and_finishes_what_runs():
    """A backend server says that it leaves; a call still waiting in the
    agent's queue starts on it seconds later and is cut off."""
    rig = Rig(slots=1)
    rig.submit('running')
    rig.submit('waiting')
    rig.announce(leaving=True)
    rig.executor.tick()
    assert rig.sent[-1][1].request_id == 'waiting'
    assert rig.sent[-1][1].outcome == 'not-run'
    rig.submit('new')
    assert rig.sent[-1][1].outcome == 'not-run'
    rig.clock.advance(5000)
    rig.answer('running')
    assert rig.sent[-1][1].body == b'done'
    assert [each for each, _ in rig.runs] == ['running']


def test_silent_backend_gets_nothing_new():
    """The backend server died without a word while its agent was paused; the
    first request after the pause is sent to it."""
    rig = Rig()
    rig.clock.advance(3500)
    rig.submit('r')
    assert rig.runs == []
    assert rig.sent[-1][1].outcome == 'not-run'
    rig.announce()
    rig.submit('s')
    assert rig.ran('s') == 1
