"""Ejects backend servers that fail, stall or are far slower than others."""

import math
import random
import statistics
from typing import Final, Sequence

from hyssopring.logs import Event, log_event
from hyssopring.membership import BackendView
from hyssopring.routing.latency import LatencyWindow
from hyssopring.routing.backend_state import (
    BackendState,
    Ejection,
    RoutingSettings,
)

__all__ = ('Ejector', 'Tracked')

_MIN_SAMPLES: Final = 5
_MAX_DOUBLINGS: Final = 8
_SPREAD: Final = 0.3
_GOOD_PROBE: Final = 2.0

Tracked = Sequence[tuple[BackendView, BackendState]]


class Ejector:
    """Decides who gets no work but a probe now and then.

    At most a share of a service's backends is ejected: if most look bad,
    the cause is elsewhere, and ejecting them all would be an outage.
    """

    def __init__(self, settings: RoutingSettings, rng: random.Random) -> None:
        """Take the limits; ``rng`` spreads the entries' probes."""
        self._settings = settings
        self._rng = rng

    def usable(
        self,
        tracked: Tracked,
        now: float,
    ) -> Tracked:
        """Return the backends that may get the next call."""
        due = [pair for pair in tracked if _is_probe_due(pair[1], now)]
        if due:
            return due[:1]
        sound = [pair for pair in tracked if _is_usable(pair[1])]
        return sound or tracked

    def answered(
        self,
        view: BackendView,
        track: BackendState,
        request_id: str,
        took_ms: float,
        window: LatencyWindow,
    ) -> None:
        """Let a backend return when it has answered well."""
        ejection = track.ejection
        if ejection is None:
            return
        is_probe = request_id == ejection.probe_id
        is_good = took_ms <= _GOOD_PROBE * max(
            window.p95_ms / 2, window.median_ms
        )
        if ejection.why != 'slow' or (is_probe and is_good):
            self._restore(view, track)
        elif is_probe:
            self._extend(track, track.answered_at)

    def failed(self, track: BackendState, now: float) -> None:
        """Count a failure against an ejected backend's return."""
        if track.ejection is not None:
            self._extend(track, now)

    def judge(
        self,
        tracked: Tracked,
        window: LatencyWindow,
        now: float,
    ) -> None:
        """Eject who fails, stalls or is slow, as far as there is room."""
        ejected = sum(1 for _, track in tracked if track.ejection is not None)
        room = int(len(tracked) * self._settings.max_ejected) - ejected
        if room <= 0:
            return
        slow_limit = self._slow_limit(tracked)
        stall_ms = max(
            self._settings.min_stall_ms,
            self._settings.stall_factor * window.p95_ms,
        )
        for view, track in tracked:
            if track.ejection is not None or room <= 0:
                continue
            why = self._fault(track, slow_limit, stall_ms, now)
            if why:
                room -= 1
                self._eject(view, track, why, now)

    def _slow_limit(self, tracked: Tracked) -> float:
        known = [
            track.log_latency
            for _, track in tracked
            if track.samples >= _MIN_SAMPLES
        ]
        if not known:
            return math.inf
        return statistics.median(known) + math.log(self._settings.slow_ratio)

    def _fault(
        self,
        track: BackendState,
        slow_limit: float,
        stall_ms: float,
        now: float,
    ) -> str:
        if track.failures >= self._settings.failures:
            return 'failing'
        if track.is_stalled(now, stall_ms):
            return 'stalled'
        if track.samples >= _MIN_SAMPLES and track.log_latency > slow_limit:
            return 'slow'
        return ''

    def _eject(
        self,
        view: BackendView,
        track: BackendState,
        why: str,
        now: float,
    ) -> None:
        track.ejection = Ejection(why, now)
        self._extend(track, now)
        log_event(
            Event.BACKEND_EJECTED,
            backend=view.report.backend_id,
            agent=view.agent.agent_id,
            why=why,
            failures=track.failures,
            unanswered=track.in_flight,
            latency=f'{math.exp(track.log_latency):.1f}ms',
        )

    def _extend(self, track: BackendState, now: float) -> None:
        if track.ejection is None:
            return
        doublings = min(track.ejections, _MAX_DOUBLINGS)
        base = min(
            self._settings.ejection_ms * 2**doublings,
            self._settings.max_ejection_ms,
        )
        track.ejections += 1
        track.ejection.until = now + base * (1 + _SPREAD * self._rng.random())
        track.ejection.probe_id = ''

    def _restore(self, view: BackendView, track: BackendState) -> None:
        track.ejection = None
        track.ejections = 0
        track.failures = 0
        # Its mean latency is that of its bad time.
        track.samples = 0
        log_event(
            Event.BACKEND_RESTORED,
            backend=view.report.backend_id,
            agent=view.agent.agent_id,
        )


def _is_probe_due(track: BackendState, now: float) -> bool:
    ejection = track.ejection
    if ejection is None or now < ejection.until:
        return False
    return not ejection.probe_id


def _is_usable(track: BackendState) -> bool:
    # A slow backend's estimate keeps calls away by itself, for as long as
    # the others are better. Taking its slots away altogether would overload
    # them, and then they would look slow too.
    return track.ejection is None or track.ejection.why == 'slow'
