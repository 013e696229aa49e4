"""What one entry has itself seen of each backend server.

Reports from agents are old when they are used; what this entry sent and saw
answered is its own, fresh knowledge. A track joins both.
"""

import math
from dataclasses import dataclass, field
from typing import Final

__all__ = ('BackendState', 'Ejection', 'RoutingSettings')

_MIN_MS: Final = 0.05
_HALF: Final = 0.5
_GAPS: Final = 8
_GAP_WEIGHT: Final = 0.1
_LONG_GAP_MS: Final = 1000.0


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Constants of the routing policy; docs/design/routing.md has the why.

    Attributes:
        report_weight: How far a load report that has just come is believed.
        report_half_life_ms: After this long a load report counts half.
        latency_weight: Weight of one answer in a backend's mean latency.
        zone_cost_ms: Round trip to another zone, above that within one.
        min_stall_ms: Nothing is called stalled sooner than this.
        stall_factor: A backend has stalled when its oldest call is older
            than this many 95th percentiles, and nothing came for as long
            and for eight times the mean gap between its answers.
        slow_ratio: Ejected when this many times slower than the median.
        failures: Ejected after so many failures in a row.
        max_ejected: Share of a service's backends that may be ejected.
        slow_start_ms: Time in which a fresh backend reaches its full share.
    """

    report_weight: float = 0.5
    report_half_life_ms: float = 500.0
    latency_weight: float = 0.1
    zone_cost_ms: float = 1.0
    min_stall_ms: float = 50.0
    stall_factor: float = 1.0
    slow_ratio: float = 3.0
    failures: int = 5
    max_ejected: float = 0.34
    ejection_ms: float = 1000.0
    max_ejection_ms: float = 16000.0
    slow_start_ms: float = 4000.0


@dataclass(slots=True)
class Ejection:
    """Why a backend gets no work but probes, and until when."""

    why: str
    until: float
    probe_id: str = ''


@dataclass(slots=True)
class BackendState:
    """One backend server, as this entry's own calls have met it.

    Attributes:
        log_latency: Mean of the logarithms of its latencies: one very long
            call moves it little, a slow backend moves it in a few answers.
        reported: Calls running and waiting there, by its latest report.
        gap_ms: Mean time between two answers.
        sent_since: Calls sent since that report.
        sent_at_by_id: Unanswered calls, oldest first.
    """

    since: float
    log_latency: float = 0
    samples: int = 0
    answered_at: float = 0
    gap_ms: float = 1000
    reported: int = 0
    reported_at: float = 0
    sent_since: int = 0
    failures: int = 0
    ejections: int = 0
    ejection: Ejection | None = None
    sent_at_by_id: dict[str, float] = field(default_factory=dict)

    @property
    def in_flight(self) -> int:
        """Calls of this entry that it has not answered."""
        return len(self.sent_at_by_id)

    def report(self, total: int, now: float) -> None:
        """Take a load report."""
        self.reported = total
        self.reported_at = now
        self.sent_since = 0

    def sent(self, request_id: str, now: float) -> None:
        """A call goes out."""
        self.sent_at_by_id[request_id] = now
        self.sent_since += 1

    def hear(self, now: float) -> None:
        """A response of any kind came from the backend."""
        gap = min(now - self.answered_at, _LONG_GAP_MS)
        self.gap_ms += _GAP_WEIGHT * (gap - self.gap_ms)
        self.answered_at = now

    def learn(self, took_ms: float, weight: float) -> None:
        """Take the latency of one answer."""
        seen = math.log(max(took_ms, _MIN_MS))
        self.samples += 1
        share = max(weight, 1 / self.samples)
        self.log_latency += share * (seen - self.log_latency)

    def suspected(self, now: float, weight: float) -> float:
        """Return the mean log latency, with what calls still out tell.

        A backend that turned slow sends no answers to learn from for a
        while; that its calls are older than usual is seen at once.
        """
        mean = self.log_latency
        for sent_at in self.sent_at_by_id.values():
            age = math.log(max(now - sent_at, _MIN_MS))
            if age <= mean:
                break
            mean += weight * (age - mean)
        return mean

    def load(
        self, now: float, prior: float, settings: RoutingSettings
    ) -> float:
        """Estimate the calls running and waiting there now.

        Args:
            now: Milliseconds.
            prior: What this entry's own calls there let expect of all.
            settings: How far reports are believed.
        """
        age = now - self.reported_at
        fresh = settings.report_weight * _HALF ** (
            age / settings.report_half_life_ms
        )
        reported = self.reported + self.sent_since
        return max(self.in_flight, fresh * reported + (1 - fresh) * prior)

    def is_stalled(self, now: float, limit_ms: float) -> bool:
        """Whether it owes an answer for too long and sent none since.

        Where answers come often, a gap of many times the usual is enough.
        """
        oldest = next(iter(self.sent_at_by_id.values()), now)
        silence = now - max(oldest, self.answered_at)
        return silence > max(limit_ms, _GAPS * self.gap_ms)

    def ramp(self, now: float, slow_start_ms: float) -> float:
        """Share of its slots that a fresh backend is trusted with."""
        return min(1, max((now - self.since) / slow_start_ms, 1 / 8))
