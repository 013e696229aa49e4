"""The backend servers of a VM, as their agent knows them."""

from hyssopring.agent.backend_sizes import BackendSizes
from hyssopring.agent.backends import AnnouncedBackend, Backends
from hyssopring.agent.ledger import Ledger
from hyssopring.clock import ManualClock
from hyssopring.configuration import ConfigurationState
from hyssopring.invariants import Invariants
from hyssopring.metrics import Metrics
from hyssopring.protocol.messages import Resources


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
    assert not backends.is_discovery_complete
    clock.advance(10_000)
    backends.expire()
    assert not backends.is_discovery_complete
    clock.advance(1000)
    backends.expire()
    assert backends.is_discovery_complete


def test_fresh_agent_gives_no_room_to_tasks_until_it_has_listened():
    """A VM gets more work than it holds: its agent was restarted, and a start
    came before the next announcement of the backend server that runs there."""
    clock = ManualClock(1000)
    invariants = Invariants(Metrics())
    backends = Backends(clock, invariants)
    ledger = Ledger(Resources(8, 32, 0), invariants, Metrics())
    sizes = BackendSizes(ledger, backends, ConfigurationState())
    sizes.update_ledger()
    assert not ledger.reserve('job:0', Resources(1, 1, 0))
    for _ in range(2):
        clock.advance(1000)
        backends.expire()
    sizes.update_ledger()
    assert ledger.reserve('job:0', Resources(1, 1, 0))


def test_silent_backend_is_dropped_while_the_agent_listens():
    clock, backends, _ = _announced()
    for _ in range(6):
        clock.advance(1000)
        backends.expire()
    assert backends.service_by_id() == {}
