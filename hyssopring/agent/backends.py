"""The backend servers that announce themselves on this VM."""

from dataclasses import dataclass, field

from hyssopring.agent.tail import TailWindow
from hyssopring.clock import Clock
from hyssopring.invariants import Invariants
from hyssopring.logs import Event, log_event
from hyssopring.protocol.messages import BackendReport

__all__ = ('AnnouncedBackend', 'Backends', 'ServiceLoad')

# A backend that has not announced for this long gets no new work: its slots
# are refused here at once, and entries hear of it with the next heartbeat.
_ANNOUNCEMENT_TTL_MS = 2000
# The promise: no new work this long after it left or last announced.
_LEAVING_MS = 3000
# Listened to in vain for this long, a backend's size counts as free.
_DROP_MS = 3000
# What one look adds to the time listened, however long ago the last one was.
_MAX_LOOK_MS = 1000
_LATENCY_WEIGHT = 0.2


@dataclass(slots=True)
class AnnouncedBackend:
    """One backend server, as it announced itself.

    Attributes:
        address: ``host:port`` where it takes requests.
        heard_at: When it last announced itself.
        heard_at_listened: The agent's time listened at that moment.
        left_at: Since when it takes no new work, None while it does.
    """

    backend_id: str
    service_name: str
    address: str
    slots: int
    connections: int
    leaving: bool = False
    heard_at: float = 0
    in_flight: int = 0
    latency_ms: float = 0
    heard_at_listened: float = 0
    tail: TailWindow = field(default_factory=TailWindow)
    left_at: float | None = None


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Calls running and waiting for one service on this VM."""

    in_flight: int
    queued: int


class Backends:
    """The live backend servers by id, with their slots."""

    def __init__(self, clock: Clock, invariants: Invariants) -> None:
        """Start empty: backend servers announce themselves."""
        self._clock = clock
        self._invariants = invariants
        self._backend_by_id: dict[str, AnnouncedBackend] = {}
        self._queued_by_service: dict[str, int] = {}
        self._looked_at = clock.now()
        self._listened_ms: float = 0

    def announce(self, backend: AnnouncedBackend) -> None:
        """Take or renew an announcement."""
        now = self._clock.now()
        backend.heard_at = now
        backend.heard_at_listened = self._listened_ms
        if backend.leaving:
            backend.left_at = now
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
            known.left_at = now
            log_event(Event.BACKEND_LEAVING, backend=backend.backend_id)
        elif not backend.leaving:
            known.left_at = None
        known.address = backend.address
        known.slots = backend.slots
        known.connections = backend.connections
        known.leaving = backend.leaving
        known.heard_at = backend.heard_at
        known.heard_at_listened = backend.heard_at_listened

    def is_leaving(self, backend_id: str) -> bool:
        """Whether this backend has said that it is leaving."""
        backend = self._backend_by_id.get(backend_id)
        return backend is not None and backend.leaving

    def expire(self) -> None:
        """Drop backends that stopped announcing and have nothing running.

        An agent that was paused has heard nothing of a backend server that
        runs on: taken for gone after the pause, its size would be given to
        tasks and the VM be overfull. So it gets no new work at once, but is
        dropped only after time in which the agent did listen; a pause counts
        as one look. Call it with each heartbeat.
        """
        now = self._clock.now()
        self._listen(now)
        for backend in list(self._backend_by_id.values()):
            is_silent = now - backend.heard_at > _ANNOUNCEMENT_TTL_MS
            if is_silent and not backend.leaving:
                backend.leaving = True
                backend.left_at = backend.heard_at
                log_event(Event.BACKEND_EXPIRED, backend=backend.backend_id)
            silent_ms = self._listened_ms - backend.heard_at_listened
            if silent_ms > _DROP_MS and not backend.in_flight:
                self._backend_by_id.pop(backend.backend_id)

    @property
    def is_settled(self) -> bool:
        """Whether each backend server has had time to announce itself.

        A fresh agent knows of none yet, although some may run on its VM.
        """
        return self._listened_ms >= _ANNOUNCEMENT_TTL_MS

    def service_by_id(self) -> dict[str, str]:
        """Return the service of each known backend server."""
        return {
            backend.backend_id: backend.service_name
            for backend in self._backend_by_id.values()
        }

    def has_service(self, service_name: str) -> bool:
        """Whether a backend of this service takes new work."""
        return any(
            backend.service_name == service_name and self._takes_work(backend)
            for backend in self._backend_by_id.values()
        )

    def free_backend(self, service_name: str) -> AnnouncedBackend | None:
        """Return the backend with most free slots, None if all are full."""
        usable = [
            backend
            for backend in self._backend_by_id.values()
            if backend.service_name == service_name
            and self._takes_work(backend)
            and backend.in_flight < backend.slots
        ]
        return min(
            usable,
            key=lambda backend: backend.in_flight / backend.slots,
            default=None,
        )

    def slot_ms(self, service_name: str) -> float:
        """Return the mean time until one of a service's slots is free."""
        slots_per_ms = sum(
            backend.slots / backend.latency_ms
            for backend in self._backend_by_id.values()
            if backend.service_name == service_name and backend.latency_ms
        )
        return 1 / slots_per_ms if slots_per_ms else 0

    def started(self, backend: AnnouncedBackend) -> None:
        """A call takes one of the backend's slots."""
        backend.in_flight += 1
        now = self._clock.now()
        left_at = (
            backend.heard_at if backend.left_at is None else backend.left_at
        )
        self._invariants.check(
            now - left_at <= _LEAVING_MS,
            'a backend server that is leaving gets no new work',
            backend.backend_id,
        )
        self._invariants.check(
            backend.in_flight <= backend.slots,
            'no backend server is given more than its slots',
            backend.backend_id,
        )

    def finished(self, backend: AnnouncedBackend, took_ms: float) -> None:
        """A call gives its slot back."""
        backend.in_flight -= 1
        backend.latency_ms += _LATENCY_WEIGHT * (took_ms - backend.latency_ms)
        backend.tail.add(self._clock.now(), took_ms)

    def queued(self, service_name: str, change: int) -> None:
        """Count calls that wait for a slot."""
        count = self._queued_by_service.get(service_name, 0) + change
        self._queued_by_service[service_name] = count

    def load(self, service_name: str) -> ServiceLoad:
        """Return a service's running and waiting calls."""
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
        """Return what entries are to know of each backend."""
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

    def _listen(self, now: float) -> None:
        """Count the time in which this agent was awake to hear."""
        self._listened_ms += min(now - self._looked_at, _MAX_LOOK_MS)
        self._looked_at = now

    def _takes_work(self, backend: AnnouncedBackend) -> bool:
        # Its age is looked at here too: an agent that was paused may take a
        # request before its timer has found the backend silent.
        age = self._clock.now() - backend.heard_at
        return not backend.leaving and age <= _ANNOUNCEMENT_TTL_MS
