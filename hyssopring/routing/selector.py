"""Chooses a backend server for a request on stale knowledge."""

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
from hyssopring.routing.ejection import Ejector, Tracked
from hyssopring.routing.latency import LatencyWindow
from hyssopring.routing.backend_state import (
    BackendState,
    RoutingSettings,
)

__all__ = ('BackendSelector', 'BackendChoice')

_DEFAULT_MS: Final = 20.0
_MIN_SAMPLES: Final = 5
_CROWDING: Final = 2.0
_SLOWER: Final = 1.8
_CROWDING_POWER: Final = 4
_JITTER: Final = 0.02
_JUDGE_MS: Final = 5.0
_BACKEND_FAULTS: Final = frozenset(
    (
        ErrorKind.BACKEND_FAILED.value,
        ErrorKind.NO_BACKEND.value,
        ErrorKind.TRUNCATED.value,
        ErrorKind.PROTOCOL.value,
    )
)


@dataclass(frozen=True, slots=True)
class BackendChoice:
    """The chosen backend and the reason, for the log line.

    Attributes:
        wait_ms: How long the call is expected to wait for a slot.
        total_ms: Expected time until the answer.
    """

    backend: BackendView
    why: str
    wait_ms: float = 0
    total_ms: float = 0


class BackendSelector:
    """Estimates each backend's time to answer and takes the least.

    The estimate is network + service time x (1 + waiting + crowding), where
    waiting counts the calls beyond the slots, and crowding keeps some slots
    free for what other entries have just sent there unseen.
    """

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        settings: RoutingSettings = RoutingSettings(),
    ) -> None:
        """Prefer ``zone`` until its queueing outweighs the distance."""
        self._zone = zone
        self._rng = rng
        self._settings = settings
        self._tracks_by_agent: dict[str, dict[str, BackendState]] = {}
        self._service_by_name: dict[str, _Service] = {}
        self._ejector = Ejector(settings, rng)

    def latency_window(self, service_name: str) -> LatencyWindow:
        """Return a service's recent latencies."""
        return self._service(service_name).window

    def utilization(self, service_name: str) -> float:
        """Return the share of a service's slots that is taken."""
        return self._service(service_name).utilization

    def track(self, view: BackendView) -> BackendState:
        """Return what this entry has seen of a backend."""
        tracks = self._tracks_by_agent.setdefault(view.agent.agent_id, {})
        track = tracks.get(view.report.backend_id)
        if track is None or track.since != view.since:
            # Heard of for the first time, or on a new connection.
            track = BackendState(view.since)
            tracks[view.report.backend_id] = track
        if view.reported_at > track.reported_at:
            total = view.report.in_flight + view.report.queued
            track.report(total, view.reported_at)
        return track

    def forget(self, record: AgentRecord) -> None:
        """An agent's connection is gone: it starts afresh when it is back."""
        self._tracks_by_agent.pop(record.agent_id, None)

    def choose(
        self,
        candidates: Sequence[BackendView],
        now: float,
    ) -> BackendChoice | None:
        """Pick the backend with the least expected time to answer."""
        tracked = [
            (view, self.track(view)) for view in candidates if view.is_routable
        ]
        if not tracked:
            return None
        service = self._service(tracked[0][0].report.service_name)
        if now - service.judged_at >= _JUDGE_MS:
            service.judged_at = now
            self._ejector.judge(tracked, service.window, now)
            service.typical_ms = _typical_ms(tracked)
            service.all_per_own = _all_per_own(tracked)
            service.utilization = _utilization(tracked)
        usable = self._ejector.usable(tracked, now)
        estimates = [
            self._estimate(view, track, service, now) for view, track in usable
        ]
        return min(estimates, key=self._weighed).choice()

    def on_sent(self, view: BackendView, request_id: str, now: float) -> None:
        """Note that a call went out; an ejected backend's is its probe."""
        track = self.track(view)
        track.sent(request_id, now)
        if track.ejection is None or track.ejection.probe_id:
            return
        track.ejection.probe_id = request_id
        log_event(
            Event.BACKEND_PROBED,
            backend=view.report.backend_id,
            agent=view.agent.agent_id,
            request=request_id,
            why=track.ejection.why,
        )

    def on_response(
        self,
        record: AgentRecord,
        response: CallResponse,
        now: float,
    ) -> None:
        """Learn from a response, also from one that nobody waits for.

        Answers that lost to a hedge count too: without them a slow backend
        would look fast, as only its quick answers win.
        """
        for view in record.backend_by_id.values():
            track = self.track(view)
            sent_at = track.sent_at_by_id.pop(response.request_id, None)
            if sent_at is not None:
                self._learn(view, track, response, sent_at, now)

    def _learn(
        self,
        view: BackendView,
        track: BackendState,
        response: CallResponse,
        sent_at: float,
        now: float,
    ) -> None:
        outcome = CallOutcome.from_wire(response.outcome)
        total = response.in_flight + response.queued
        if total or outcome is CallOutcome.ANSWERED:
            track.report(total, now)
        track.hear(now)
        if outcome is CallOutcome.ANSWERED:
            window = self.latency_window(view.report.service_name)
            track.failures = 0
            track.learn(now - sent_at, self._settings.latency_weight)
            window.add(now - sent_at)
            self._ejector.answered(
                view, track, response.request_id, now - sent_at, window
            )
        elif response.error in _BACKEND_FAULTS:
            track.failures += 1
            self._ejector.failed(track, now)

    def _service(self, service_name: str) -> '_Service':
        service = self._service_by_name.get(service_name)
        if service is None:
            service = _Service()
            self._service_by_name[service_name] = service
        return service

    def _weighed(self, estimate: '_Estimate') -> float:
        # Entries with the same knowledge must not all take the same one.
        return estimate.total_ms * (1 + _JITTER * self._rng.random())

    def _estimate(
        self,
        view: BackendView,
        track: BackendState,
        service: '_Service',
        now: float,
    ) -> '_Estimate':
        settings = self._settings
        service_ms = self._service_ms(track, service.typical_ms, now)
        slots = max(view.report.slots, 1)
        usable = slots * track.ramp(now, settings.slow_start_ms)
        expected = track.in_flight * service.all_per_own
        load = track.load(now, expected, settings) + 1
        wait_ms = service_ms * max(load - usable, 0) / slots
        crowding = _CROWDING * min(load / usable, 1) ** _CROWDING_POWER
        total = service_ms * (1 + crowding) + wait_ms
        if view.agent.zone != self._zone:
            total += settings.zone_cost_ms
        return _Estimate(view, load, service_ms, wait_ms, total)

    def _service_ms(
        self,
        track: BackendState,
        typical_ms: float,
        now: float,
    ) -> float:
        if track.samples < _MIN_SAMPLES:
            return typical_ms
        # Smaller differences are chance; following them piles calls up on
        # whoever answered a few quick ones.
        mean = track.suspected(now, self._settings.latency_weight)
        seen_ms = math.exp(mean)
        return seen_ms if seen_ms > typical_ms * _SLOWER else typical_ms


@dataclass(slots=True)
class _Service:
    window: LatencyWindow = field(default_factory=LatencyWindow)
    typical_ms: float = _DEFAULT_MS
    all_per_own: float = 1
    utilization: float = 0
    judged_at: float = -math.inf


@dataclass(slots=True)
class _Estimate:
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


def _typical_ms(tracked: Tracked) -> float:
    known = [
        track.log_latency
        for _, track in tracked
        if track.samples >= _MIN_SAMPLES and track.ejection is None
    ]
    return math.exp(statistics.median(known)) if known else _DEFAULT_MS


def _all_per_own(tracked: Tracked) -> float:
    """Return how many calls there are for each of this entry's own."""
    own = sum(track.in_flight for _, track in tracked)
    everyone = sum(track.reported for _, track in tracked)
    return max(everyone / own, 1) if own else 1


def _utilization(tracked: Tracked) -> float:
    loads = [max(track.reported, track.in_flight) for _, track in tracked]
    slots = sum(view.report.slots for view, _ in tracked)
    return sum(loads) / max(slots, 1)
