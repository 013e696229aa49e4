"""Choose a backend server for a request from delayed load reports."""

import math
import random
import statistics
from dataclasses import dataclass, field
from typing import Final, Sequence

from hyssopring.errors import ErrorKind
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord, BackendView
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import CallResponse
from hyssopring.routing.backend_state import (
    BackendState,
    RoutingSettings,
)
from hyssopring.routing.ejection import BackendStates, Ejector
from hyssopring.routing.latency import LatencyWindow

__all__ = ('BackendChoice', 'BackendSelector')

# Assumed until a backend of the service has enough samples.
_DEFAULT_LATENCY_MS: Final = 20.0
_MIN_SAMPLES: Final = 5
# Crowding when all usable slots are taken.
_CROWDING_FACTOR: Final = 2.0
# Ratio to the median latency above which a backend's own latency is used.
_MIN_SLOW_RATIO: Final = 1.8
_CROWDING_POWER: Final = 4
_JITTER: Final = 0.02
_EVALUATION_INTERVAL_MS: Final = 5.0
_BACKEND_ERRORS: Final = frozenset(
    (
        ErrorKind.BACKEND_FAILED.value,
        ErrorKind.NO_BACKEND.value,
        ErrorKind.TRUNCATED.value,
        ErrorKind.PROTOCOL.value,
    )
)


@dataclass(frozen=True, slots=True)
class BackendChoice:
    """The backend chosen for a call.

    Attributes:
        backend: The chosen backend server.
        reason: Reason for the log.
        queue_wait_ms: Expected wait for a slot.
        total_ms: Expected time until the answer, including the wait.
    """

    backend: BackendView
    reason: str
    queue_wait_ms: float = 0
    total_ms: float = 0


class BackendSelector:
    """Choose the backend with the shortest expected time to answer.

    The estimate is service time x (1 + crowding) + wait, plus a fixed cost for
    a backend in another zone. The wait is the service time of the calls beyond
    the usable slots, divided by the number of slots. Crowding grows as the
    slots fill up and keeps some of them free for calls that other entries have
    sent since the last report.
    """

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        settings: RoutingSettings = RoutingSettings(),
    ) -> None:
        """Create a selector.

        Args:
            zone: The entry's availability zone, preferred until waiting there
                costs more than the round trip to another zone.
            rng: Random numbers for jitter and probe times.
            settings: Constants of the routing policy.
        """
        self._zone = zone
        self._rng = rng
        self._settings = settings
        self._states_by_agent: dict[str, dict[str, BackendState]] = {}
        self._service_by_name: dict[str, _ServiceState] = {}
        self._ejector = Ejector(settings, rng)

    def latency_window(self, service_name: str) -> LatencyWindow:
        """Return the recent latencies of a service."""
        return self._service(service_name).window

    def utilization(self, service_name: str) -> float:
        """Return the fraction of a service's slots that is in use."""
        return self._service(service_name).utilization

    def backend_state(self, view: BackendView) -> BackendState:
        """Return the state of a backend, updated with its latest report."""
        state_by_backend = self._states_by_agent.setdefault(
            view.agent.agent_id, {}
        )
        state = state_by_backend.get(view.report.backend_id)
        if state is None or state.since != view.since:
            # The backend is new, or its agent has reconnected.
            state = BackendState(view.since)
            state_by_backend[view.report.backend_id] = state
        if view.reported_at > state.reported_at:
            call_count = view.report.in_flight + view.report.queued
            state.update_load(call_count, view.reported_at)
        return state

    def remove_agent(self, record: AgentRecord) -> None:
        """Drop the state of a disconnected agent's backends."""
        self._states_by_agent.pop(record.agent_id, None)

    def choose(
        self,
        candidates: Sequence[BackendView],
        now_ms: float,
    ) -> BackendChoice | None:
        """Pick the backend with the shortest expected time to answer.

        Args:
            candidates: Backends of one service.
            now_ms: Clock time in milliseconds.

        Returns:
            The choice, None if no candidate is routable.
        """
        backend_states = [
            (view, self.backend_state(view))
            for view in candidates
            if view.is_routable
        ]
        if not backend_states:
            return None
        service = self._service(backend_states[0][0].report.service_name)
        if now_ms - service.evaluated_at >= _EVALUATION_INTERVAL_MS:
            service.evaluated_at = now_ms
            self._ejector.evaluate(backend_states, service.window, now_ms)
            service.typical_ms = _typical_ms(backend_states)
            service.reported_per_own_call = _reported_per_own_call(
                backend_states
            )
            service.utilization = _utilization(backend_states)
        usable = self._ejector.usable(backend_states, now_ms)
        estimates = [
            self._estimate(view, state, service, now_ms)
            for view, state in usable
        ]
        return min(estimates, key=self._jittered_ms).choice()

    def on_sent(
        self, view: BackendView, request_id: str, now_ms: float
    ) -> None:
        """Record a sent call; on an ejected backend it is the probe."""
        state = self.backend_state(view)
        state.record_sent(request_id, now_ms)
        if state.ejection is None or state.ejection.probe_id:
            return
        state.ejection.probe_id = request_id
        log_event(
            Event.BACKEND_PROBED,
            backend=view.report.backend_id,
            agent=view.agent.agent_id,
            request=request_id,
            why=state.ejection.reason,
        )

    def on_response(
        self,
        record: AgentRecord,
        response: CallResponse,
        now_ms: float,
    ) -> None:
        """Record a response, even if no caller waits for it any more.

        Answers that were slower than their hedge count as well: otherwise
        only the fast answers of a slow backend would be measured.
        """
        for view in record.backend_by_id.values():
            state = self.backend_state(view)
            sent_at = state.sent_at_by_id.pop(response.request_id, None)
            if sent_at is not None:
                self._record_response(view, state, response, sent_at, now_ms)

    def _record_response(
        self,
        view: BackendView,
        state: BackendState,
        response: CallResponse,
        sent_at: float,
        now_ms: float,
    ) -> None:
        outcome = CallOutcome.from_wire(response.outcome)
        call_count = response.in_flight + response.queued
        if call_count or outcome is CallOutcome.ANSWERED:
            state.update_load(call_count, now_ms)
        state.record_response(now_ms)
        if outcome is CallOutcome.ANSWERED:
            window = self.latency_window(view.report.service_name)
            state.failures = 0
            state.record_latency(
                now_ms - sent_at, self._settings.latency_weight
            )
            window.add(now_ms - sent_at)
            self._ejector.on_answer(
                view, state, response.request_id, now_ms - sent_at, window
            )
        elif response.error in _BACKEND_ERRORS:
            state.failures += 1
            self._ejector.on_failure(state, now_ms)

    def _service(self, service_name: str) -> '_ServiceState':
        service = self._service_by_name.get(service_name)
        if service is None:
            service = _ServiceState()
            self._service_by_name[service_name] = service
        return service

    def _jittered_ms(self, estimate: '_Estimate') -> float:
        # Without jitter, entries with the same reports choose the same one.
        return estimate.total_ms * (1 + _JITTER * self._rng.random())

    def _estimate(
        self,
        view: BackendView,
        state: BackendState,
        service: '_ServiceState',
        now_ms: float,
    ) -> '_Estimate':
        settings = self._settings
        service_ms = self._service_ms(state, service.typical_ms, now_ms)
        slots = max(view.report.slots, 1)
        usable_slots = slots * state.slow_start_fraction(
            now_ms, settings.slow_start_ms
        )
        prior_load = state.in_flight * service.reported_per_own_call
        load = state.estimated_load(now_ms, prior_load, settings) + 1
        wait_ms = service_ms * max(load - usable_slots, 0) / slots
        crowding = (
            _CROWDING_FACTOR * min(load / usable_slots, 1) ** _CROWDING_POWER
        )
        total_ms = service_ms * (1 + crowding) + wait_ms
        if view.agent.zone != self._zone:
            total_ms += settings.zone_cost_ms
        return _Estimate(view, load, service_ms, wait_ms, total_ms)

    def _service_ms(
        self,
        state: BackendState,
        typical_ms: float,
        now_ms: float,
    ) -> float:
        if state.samples < _MIN_SAMPLES:
            return typical_ms
        # Smaller differences are noise: following them would send most calls
        # to a backend after a few fast answers.
        log_latency = state.log_latency_with_open_calls(
            now_ms, self._settings.latency_weight
        )
        measured_ms = math.exp(log_latency)
        return (
            measured_ms
            if measured_ms > typical_ms * _MIN_SLOW_RATIO
            else typical_ms
        )


@dataclass(slots=True)
class _ServiceState:
    """Figures of one service, updated at each evaluation.

    Attributes:
        window: Recent latencies.
        typical_ms: Median latency of its healthy backends.
        reported_per_own_call: Reported calls per call of this entry.
        utilization: Fraction of its slots that is in use.
        evaluated_at: Clock time in milliseconds of the last evaluation.
    """

    window: LatencyWindow = field(default_factory=LatencyWindow)
    typical_ms: float = _DEFAULT_LATENCY_MS
    reported_per_own_call: float = 1
    utilization: float = 0
    evaluated_at: float = -math.inf


@dataclass(slots=True)
class _Estimate:
    """Expected times of a call on one backend."""

    view: BackendView
    load: float
    service_ms: float
    wait_ms: float
    total_ms: float

    def choice(self) -> BackendChoice:
        why = (
            f'least-time {self.total_ms:.1f}ms '
            f'load={self.load - 1:.1f}/{self.view.report.slots} '
            f'service={self.service_ms:.1f}ms zone={self.view.agent.zone}'
        )
        return BackendChoice(self.view, why, self.wait_ms, self.total_ms)


def _typical_ms(backend_states: BackendStates) -> float:
    log_latencies = [
        state.log_latency
        for _, state in backend_states
        if state.samples >= _MIN_SAMPLES and state.ejection is None
    ]
    return (
        math.exp(statistics.median(log_latencies))
        if log_latencies
        else _DEFAULT_LATENCY_MS
    )


def _reported_per_own_call(backend_states: BackendStates) -> float:
    """Return the number of reported calls per call of this entry."""
    own_calls = sum(state.in_flight for _, state in backend_states)
    reported_calls = sum(state.reported for _, state in backend_states)
    return max(reported_calls / own_calls, 1) if own_calls else 1


def _utilization(backend_states: BackendStates) -> float:
    loads = [
        max(state.reported, state.in_flight) for _, state in backend_states
    ]
    slots = sum(view.report.slots for view, _ in backend_states)
    return sum(loads) / max(slots, 1)
