"""The backend servers of a VM, as their agent knows them."""

from hyssopring.agent.backends import AnnouncedBackend, Backends
from hyssopring.clock import ManualClock
from hyssopring.invariants import Invariants
from hyssopring.metrics import Metrics


def _announced():
    clock = ManualClock(1000)
    backends = Backends(clock, Invariants(Metrics()))
    announce = lambda: backends.announce(  # noqa: E731
        AnnouncedBackend('runner', 'trust/booking', '127.0.0.1:1', 8, 64)
    )
    announce()
    return clock, backends, announce


def test_agents_own_pause_does_not_free_a_backends_room():
    """A VM gets more work than it holds: its agent was paused for longer than
    announcements live, took the backend server that runs on for gone at its
    first heartbeat, and gave its processors to tasks before the next
    announcement."""
    clock, backends, announce = _announced()
    clock.advance(10_000)
    for _ in range(5):
        backends.expire()
        clock.advance(20)
    assert not backends.has_service('trust/booking')
    assert backends.service_by_id() == {'runner': 'trust/booking'}
    announce()
    assert backends.has_service('trust/booking')


def test_fresh_agent_knows_nothing_until_it_has_listened():
    """A VM gets more work than it holds: its agent was restarted and gave the
    room of a backend server to tasks before that server's next announcement."""
    clock, backends, _ = _announced()
    assert not backends.is_settled
    clock.advance(10_000)
    backends.expire()
    assert not backends.is_settled
    clock.advance(1000)
    backends.expire()
    assert backends.is_settled


def test_silent_backend_is_dropped_while_the_agent_listens():
    clock, backends, _ = _announced()
    for _ in range(6):
        clock.advance(1000)
        backends.expire()
    assert backends.service_by_id() == {}
