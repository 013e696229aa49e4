"""Tests of the backend servers in their agent's registry and ledger."""

from hyssopring.agent.backend_sizes import BackendSizes
from hyssopring.agent.backends import AnnouncedBackend, Backends
from hyssopring.agent.ledger import Ledger
from hyssopring.clock import ManualClock
from hyssopring.configuration import ConfigurationState
from hyssopring.invariants import Invariants
from hyssopring.metrics import Metrics
from hyssopring.protocol.messages import Resources


def _announced_backend():
    clock = ManualClock(1000)
    backends = Backends(clock, Invariants(Metrics()))
    announce = lambda: backends.announce(  # noqa: E731
        AnnouncedBackend('runner', 'trust/booking', '127.0.0.1:1', 8, 64)
    )
    announce()
    return clock, backends, announce


def test_pause_of_the_agent_does_not_free_a_backends_capacity():
    """An agent is paused for longer than an announcement is valid.

    If it removed the running backend server at its first heartbeat after that,
    tasks would get its processors before the next announcement, and the VM
    would be overcommitted.
    """
    clock, backends, announce = _announced_backend()
    clock.advance(10_000)
    for _ in range(5):
        backends.expire()
        clock.advance(20)
    assert not backends.has_service('trust/booking')
    assert backends.service_by_id() == {'runner': 'trust/booking'}
    announce()
    assert backends.has_service('trust/booking')


def test_discovery_is_complete_only_after_active_time():
    """An agent restarts on a VM where backend servers run.

    A pause does not count as time to receive announcements. If it did, tasks
    would get the capacity of a backend server before its next announcement.
    """
    clock, backends, _ = _announced_backend()
    assert not backends.is_discovery_complete
    clock.advance(10_000)
    backends.expire()
    assert not backends.is_discovery_complete
    clock.advance(1000)
    backends.expire()
    assert backends.is_discovery_complete


def test_restarted_agent_reserves_nothing_before_discovery_is_complete():
    """An agent restarts, and a start arrives before the first announcement.

    If the task started, the VM would be overcommitted once the backend server
    that runs there announces itself.
    """
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


def test_silent_backend_is_removed_while_the_agent_is_active():
    clock, backends, _ = _announced_backend()
    for _ in range(6):
        clock.advance(1000)
        backends.expire()
    assert backends.service_by_id() == {}
