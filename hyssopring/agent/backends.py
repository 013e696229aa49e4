"""Registry of the backend servers that announce themselves on this VM."""

from dataclasses import dataclass, field

from hyssopring.agent.tail import TailWindow
from hyssopring.clock import Clock
from hyssopring.invariants import Invariants
from hyssopring.logs import Event, log_event
from hyssopring.protocol.messages import BackendReport

__all__ = ('AnnouncedBackend', 'Backends', 'ServiceLoad')

# A backend server whose last announcement is older gets no new calls here, and
# entries are informed by the next heartbeat.
_ANNOUNCEMENT_TTL_MS = 2000
# An invariant: no call starts this long after a backend server began to leave
# or, without that, last announced itself.
_MAX_START_AFTER_LEAVING_MS = 3000
# A backend server that is silent for this long, while the agent is active, is
# removed and its capacity counts as free.
_REMOVAL_TIMEOUT_MS = 3000
# The longest time that one check adds to the active time, also after a pause.
_MAX_CHECK_INTERVAL_MS = 1000
# The weight of the newest call in a moving average.
_LATENCY_WEIGHT = 0.2


@dataclass(slots=True)
class AnnouncedBackend:
    """One backend server, as it last announced itself.

    Attributes:
        address: ``host:port`` where it accepts requests.
        slots: How many calls may run at once.
        connections: How many connections it accepts.
        leaving: Whether it accepts no new calls.
        announced_at: When it last announced itself, in ms of the VM's clock.
        announced_at_active_ms: The agent's active time at that announcement.
        in_flight: The number of its running calls.
        latency_ms: Moving average of call latency; 0 before the first call.
        tail: The recent latency tail.
        leaving_since: When it began to leave, None if it is not leaving.
    """

    backend_id: str
    service_name: str
    address: str
    slots: int
    connections: int
    leaving: bool = False
    announced_at: float = 0
    in_flight: int = 0
    latency_ms: float = 0
    announced_at_active_ms: float = 0
    tail: TailWindow = field(default_factory=TailWindow)
    leaving_since: float | None = None


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The numbers of running and queued calls of a service on this VM."""

    in_flight: int
    queued: int


class Backends:
    """The live backend servers by id, with their running calls."""

    def __init__(self, clock: Clock, invariants: Invariants) -> None:
        """Start without backend servers."""
        self._clock = clock
        self._invariants = invariants
        self._backend_by_id: dict[str, AnnouncedBackend] = {}
        self._queued_by_service: dict[str, int] = {}
        self._checked_at = clock.now()
        self._active_ms: float = 0

    def announce(self, backend: AnnouncedBackend) -> None:
        """Add a backend server or update it."""
        now_ms = self._clock.now()
        backend.announced_at = now_ms
        backend.announced_at_active_ms = self._active_ms
        if backend.leaving:
            backend.leaving_since = now_ms
        known = self._backend_by_id.get(backend.backend_id)
        if known is None:
            self._backend_by_id[backend.backend_id] = backend
            log_event(
                Event.BACKEND_ANNOUNCED,
                backend=backend.backend_id,
                service=backend.service_name,
                slots=backend.slots,
            )
            return
        if backend.leaving and not known.leaving:
            known.leaving_since = now_ms
            log_event(Event.BACKEND_LEAVING, backend=backend.backend_id)
        elif not backend.leaving:
            known.leaving_since = None
        known.address = backend.address
        known.slots = backend.slots
        known.connections = backend.connections
        known.leaving = backend.leaving
        known.announced_at = backend.announced_at
        known.announced_at_active_ms = backend.announced_at_active_ms

    def is_leaving(self, backend_id: str) -> bool:
        """Whether a backend server is known and leaving."""
        backend = self._backend_by_id.get(backend_id)
        return backend is not None and backend.leaving

    def expire(self) -> None:
        """Remove backend servers that are silent and have no running calls.

        A silent backend server gets no new calls at once, but is removed only
        after silence during the agent's active time, to which a pause of the
        agent adds one check interval at most. Otherwise a paused agent would
        remove backend servers that still run, give their capacity to tasks
        and overcommit the VM. Call it with each heartbeat.
        """
        now_ms = self._clock.now()
        self._add_active_time(now_ms)
        for backend in list(self._backend_by_id.values()):
            is_silent = now_ms - backend.announced_at > _ANNOUNCEMENT_TTL_MS
            if is_silent and not backend.leaving:
                backend.leaving = True
                backend.leaving_since = backend.announced_at
                log_event(Event.BACKEND_EXPIRED, backend=backend.backend_id)
            silent_ms = self._active_ms - backend.announced_at_active_ms
            if silent_ms > _REMOVAL_TIMEOUT_MS and not backend.in_flight:
                self._backend_by_id.pop(backend.backend_id)

    @property
    def is_discovery_complete(self) -> bool:
        """Whether every backend server has had time to announce itself.

        An agent that has just started knows none of those on its VM.
        """
        return self._active_ms >= _ANNOUNCEMENT_TTL_MS

    def service_by_id(self) -> dict[str, str]:
        """Return the service name of each known backend server."""
        return {
            backend.backend_id: backend.service_name
            for backend in self._backend_by_id.values()
        }

    def has_service(self, service_name: str) -> bool:
        """Whether a backend server of this service accepts calls."""
        return any(
            backend.service_name == service_name
            and self._accepts_calls(backend)
            for backend in self._backend_by_id.values()
        )

    def free_backend(self, service_name: str) -> AnnouncedBackend | None:
        """Return the least loaded backend server, None if all are full."""
        usable = [
            backend
            for backend in self._backend_by_id.values()
            if backend.service_name == service_name
            and self._accepts_calls(backend)
            and backend.in_flight < backend.slots
        ]
        return min(
            usable,
            key=lambda backend: backend.in_flight / backend.slots,
            default=None,
        )

    def mean_slot_wait_ms(self, service_name: str) -> float:
        """Return the mean time in ms until a slot of a service is free.

        It is 0 as long as no call of the service has finished.
        """
        slots_per_ms = sum(
            backend.slots / backend.latency_ms
            for backend in self._backend_by_id.values()
            if backend.service_name == service_name and backend.latency_ms
        )
        return 1 / slots_per_ms if slots_per_ms else 0

    def on_call_started(self, backend: AnnouncedBackend) -> None:
        """Occupy one of the backend server's slots."""
        backend.in_flight += 1
        now_ms = self._clock.now()
        leaving_since = (
            backend.announced_at
            if backend.leaving_since is None
            else backend.leaving_since
        )
        self._invariants.check(
            now_ms - leaving_since <= _MAX_START_AFTER_LEAVING_MS,
            'a backend server that is leaving gets no new work',
            backend.backend_id,
        )
        self._invariants.check(
            backend.in_flight <= backend.slots,
            'no backend server is given more than its slots',
            backend.backend_id,
        )

    def on_call_finished(
        self, backend: AnnouncedBackend, took_ms: float
    ) -> None:
        """Release a slot and update the latencies."""
        backend.in_flight -= 1
        backend.latency_ms += _LATENCY_WEIGHT * (took_ms - backend.latency_ms)
        backend.tail.add(self._clock.now(), took_ms)

    def change_queued(self, service_name: str, change: int) -> None:
        """Change the number of calls of a service that wait for a slot."""
        count = self._queued_by_service.get(service_name, 0) + change
        self._queued_by_service[service_name] = count

    def load(self, service_name: str) -> ServiceLoad:
        """Return the numbers of a service's running and queued calls."""
        running = sum(
            backend.in_flight
            for backend in self._backend_by_id.values()
            if backend.service_name == service_name
        )
        return ServiceLoad(
            running,
            self._queued_by_service.get(service_name, 0),
        )

    def reports(self) -> tuple[BackendReport, ...]:
        """Return the reports that are sent to entries."""
        return tuple(
            BackendReport(
                service_name=backend.service_name,
                backend_id=backend.backend_id,
                slots=backend.slots,
                connections=backend.connections,
                leaving=backend.leaving,
                in_flight=backend.in_flight,
                queued=self._queued_by_service.get(backend.service_name, 0),
                latency_ms=backend.latency_ms,
                tail_ms=backend.tail.latency_ms(self._clock.now()),
            )
            for backend in self._backend_by_id.values()
        )

    def _add_active_time(self, now_ms: float) -> None:
        """Add the time in which the agent could receive announcements."""
        self._active_ms += min(
            now_ms - self._checked_at, _MAX_CHECK_INTERVAL_MS
        )
        self._checked_at = now_ms

    def _accepts_calls(self, backend: AnnouncedBackend) -> bool:
        # After a pause, the agent may handle a request before its timer has
        # marked the backend server as silent.
        age = self._clock.now() - backend.announced_at
        return not backend.leaving and age <= _ANNOUNCEMENT_TTL_MS
