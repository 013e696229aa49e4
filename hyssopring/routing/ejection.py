"""Eject backend servers that fail, stall or are much slower than others."""

import math
import random
import statistics
from typing import Final, Sequence

from hyssopring.logs import Event, log_event
from hyssopring.membership import BackendView
from hyssopring.routing.backend_state import (
    BackendState,
    Ejection,
    RoutingSettings,
)
from hyssopring.routing.latency import LatencyWindow

__all__ = ('BackendStates', 'Ejector')

_MIN_SAMPLES: Final = 5
_MAX_DOUBLINGS: Final = 8
_PROBE_JITTER: Final = 0.3
_GOOD_PROBE_RATIO: Final = 2.0

BackendStates = Sequence[tuple[BackendView, BackendState]]


class Ejector:
    """Eject backends, probe them and restore them.

    At most a fraction of a service's backends is ejected: if most of them
    look unhealthy, the cause is elsewhere, and ejecting them all would cause
    an outage.
    """

    def __init__(self, settings: RoutingSettings, rng: random.Random) -> None:
        """Create an ejector; ``rng`` spreads the probes of the entries."""
        self._settings = settings
        self._rng = rng

    def usable(
        self,
        backend_states: BackendStates,
        now_ms: float,
    ) -> BackendStates:
        """Return the backends that may get the next call.

        A backend whose probe is due is returned alone, so that it gets the
        call.
        """
        due_probes = [
            pair for pair in backend_states if _is_probe_due(pair[1], now_ms)
        ]
        if due_probes:
            return due_probes[:1]
        healthy = [pair for pair in backend_states if _is_usable(pair[1])]
        return healthy or backend_states

    def on_answer(
        self,
        view: BackendView,
        state: BackendState,
        request_id: str,
        took_ms: float,
        window: LatencyWindow,
    ) -> None:
        """Restore a backend, or extend its ejection.

        A failing or stalled backend is restored by any answer, a slow one by
        a probe that is answered fast enough.
        """
        ejection = state.ejection
        if ejection is None:
            return
        is_probe = request_id == ejection.probe_id
        # At most the 95th percentile, or twice the median.
        is_good = took_ms <= _GOOD_PROBE_RATIO * max(
            window.p95_ms / 2, window.median_ms
        )
        if ejection.reason != 'slow' or (is_probe and is_good):
            self._restore(view, state)
        elif is_probe:
            self._extend_ejection(state, state.last_response_at)

    def on_failure(self, state: BackendState, now_ms: float) -> None:
        """Extend the ejection of a backend that has failed again."""
        if state.ejection is not None:
            self._extend_ejection(state, now_ms)

    def evaluate(
        self,
        backend_states: BackendStates,
        window: LatencyWindow,
        now_ms: float,
    ) -> None:
        """Eject failing, stalled and slow backends up to the limit."""
        ejected_count = sum(
            1 for _, state in backend_states if state.ejection is not None
        )
        remaining = (
            int(len(backend_states) * self._settings.max_ejected_fraction)
            - ejected_count
        )
        if remaining <= 0:
            return
        slow_limit = self._slow_limit(backend_states)
        stall_ms = max(
            self._settings.min_stall_ms,
            self._settings.stall_factor * window.p95_ms,
        )
        for view, state in backend_states:
            if state.ejection is not None or remaining <= 0:
                continue
            reason = self._ejection_reason(state, slow_limit, stall_ms, now_ms)
            if reason:
                remaining -= 1
                self._eject(view, state, reason, now_ms)

    def _slow_limit(self, backend_states: BackendStates) -> float:
        log_latencies = [
            state.log_latency
            for _, state in backend_states
            if state.samples >= _MIN_SAMPLES
        ]
        if not log_latencies:
            return math.inf
        return statistics.median(log_latencies) + math.log(
            self._settings.slow_ratio
        )

    def _ejection_reason(
        self,
        state: BackendState,
        slow_limit: float,
        stall_ms: float,
        now_ms: float,
    ) -> str:
        if state.failures >= self._settings.failures:
            return 'failing'
        if state.is_stalled(now_ms, stall_ms):
            return 'stalled'
        if state.samples >= _MIN_SAMPLES and state.log_latency > slow_limit:
            return 'slow'
        return ''

    def _eject(
        self,
        view: BackendView,
        state: BackendState,
        reason: str,
        now_ms: float,
    ) -> None:
        state.ejection = Ejection(reason, now_ms)
        self._extend_ejection(state, now_ms)
        log_event(
            Event.BACKEND_EJECTED,
            backend=view.report.backend_id,
            agent=view.agent.agent_id,
            why=reason,
            failures=state.failures,
            unanswered=state.in_flight,
            latency=f'{math.exp(state.log_latency):.1f}ms',
        )

    def _extend_ejection(self, state: BackendState, now_ms: float) -> None:
        if state.ejection is None:
            return
        doublings = min(state.ejection_count, _MAX_DOUBLINGS)
        duration_ms = min(
            self._settings.ejection_ms * 2**doublings,
            self._settings.max_ejection_ms,
        )
        state.ejection_count += 1
        state.ejection.next_probe_at = now_ms + duration_ms * (
            1 + _PROBE_JITTER * self._rng.random()
        )
        state.ejection.probe_id = ''

    def _restore(self, view: BackendView, state: BackendState) -> None:
        state.ejection = None
        state.ejection_count = 0
        state.failures = 0
        # The mean latency was measured while the backend was unhealthy.
        state.samples = 0
        log_event(
            Event.BACKEND_RESTORED,
            backend=view.report.backend_id,
            agent=view.agent.agent_id,
        )


def _is_probe_due(state: BackendState, now_ms: float) -> bool:
    ejection = state.ejection
    if ejection is None or now_ms < ejection.next_probe_at:
        return False
    return not ejection.probe_id


def _is_usable(state: BackendState) -> bool:
    # A slow backend stays usable: its estimate keeps calls away while others
    # are faster. Removing its slots altogether would overload the others,
    # which would then look slow too.
    return state.ejection is None or state.ejection.reason == 'slow'
