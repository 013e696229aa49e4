"""State of each backend server as observed by one entry.

Agents' load reports are outdated when they are used, while an entry knows its
own calls and answers at once. The state combines both.
"""

import math
from dataclasses import dataclass, field
from typing import Final

__all__ = ('BackendState', 'Ejection', 'RoutingSettings')

_MIN_LATENCY_MS: Final = 0.05
_HALF: Final = 0.5
_STALL_GAP_FACTOR: Final = 8
_GAP_WEIGHT: Final = 0.1
_MAX_GAP_MS: Final = 1000.0


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Constants of the routing policy, explained in docs/design/routing.md.

    Attributes:
        report_weight: Weight of a load report that has just arrived.
        report_half_life_ms: Time after which that weight has halved.
        latency_weight: Weight of one answer in a backend's mean latency.
        zone_cost_ms: Additional round-trip time to another zone.
        min_stall_ms: Minimum silence before a backend counts as stalled.
        stall_factor: A backend has stalled when its oldest call is older than
            this multiple of the 95th percentile, and no answer has arrived
            for as long and for eight times the mean gap between answers.
        slow_ratio: Ratio to the backends' median latency above which one is
            ejected as slow.
        failures: Number of consecutive failures before an ejection.
        max_ejected_fraction: Fraction of a service's backends that may be
            ejected.
        ejection_ms: Duration of the first ejection, doubled for each repeat.
        max_ejection_ms: Upper limit of that duration.
        slow_start_ms: Time in which a new backend reaches its full share.
    """

    report_weight: float = 0.5
    report_half_life_ms: float = 500.0
    latency_weight: float = 0.1
    zone_cost_ms: float = 1.0
    min_stall_ms: float = 50.0
    stall_factor: float = 1.0
    slow_ratio: float = 3.0
    failures: int = 5
    max_ejected_fraction: float = 0.34
    ejection_ms: float = 1000.0
    max_ejection_ms: float = 16000.0
    slow_start_ms: float = 4000.0


@dataclass(slots=True)
class Ejection:
    """Ejection of a backend.

    A failing or stalled backend gets only probes while others are healthy. A
    slow one still gets calls; the first one after its ejection, or after a
    probe that was too slow, counts as the probe.

    Attributes:
        reason: 'failing', 'stalled' or 'slow'.
        next_probe_at: Clock time in milliseconds when a probe is due.
        probe_id: Request id of the probe in flight, '' if there is none.
    """

    reason: str
    next_probe_at: float
    probe_id: str = ''


@dataclass(slots=True)
class BackendState:
    """State of one backend server. Times are clock milliseconds.

    Attributes:
        since: When this entry first received a report of the backend.
        log_latency: Moving average of the log latency. A single long call
            changes it little, a slow backend within a few answers.
        samples: Number of answers in that average.
        last_response_at: Time of the last response.
        gap_ms: Mean time between two responses.
        reported: Running and queued calls in the latest report.
        reported_at: Time of that report.
        sent_since_report: Calls sent since that report.
        failures: Number of consecutive failures.
        ejection_count: Number of ejections and extensions since it was healthy.
        ejection: The current ejection, None if there is none.
        sent_at_by_id: Send times of unanswered calls, oldest first.
    """

    since: float
    log_latency: float = 0
    samples: int = 0
    last_response_at: float = 0
    gap_ms: float = 1000
    reported: int = 0
    reported_at: float = 0
    sent_since_report: int = 0
    failures: int = 0
    ejection_count: int = 0
    ejection: Ejection | None = None
    sent_at_by_id: dict[str, float] = field(default_factory=dict)

    @property
    def in_flight(self) -> int:
        """Number of this entry's unanswered calls."""
        return len(self.sent_at_by_id)

    def update_load(self, call_count: int, now_ms: float) -> None:
        """Store a load report of running and queued calls."""
        self.reported = call_count
        self.reported_at = now_ms
        self.sent_since_report = 0

    def record_sent(self, request_id: str, now_ms: float) -> None:
        """Record a sent call."""
        self.sent_at_by_id[request_id] = now_ms
        self.sent_since_report += 1

    def record_response(self, now_ms: float) -> None:
        """Record the arrival of a response of any kind."""
        gap_ms = min(now_ms - self.last_response_at, _MAX_GAP_MS)
        self.gap_ms += _GAP_WEIGHT * (gap_ms - self.gap_ms)
        self.last_response_at = now_ms

    def record_latency(self, took_ms: float, weight: float) -> None:
        """Add the latency of one answer to the average."""
        log_ms = math.log(max(took_ms, _MIN_LATENCY_MS))
        self.samples += 1
        rate = max(weight, 1 / self.samples)
        self.log_latency += rate * (log_ms - self.log_latency)

    def log_latency_with_open_calls(
        self, now_ms: float, weight: float
    ) -> float:
        """Return the mean log latency, including the age of open calls.

        A backend that has become slow sends no answers for a while, but the
        age of its unanswered calls shows the slowdown at once.
        """
        mean = self.log_latency
        for sent_at in self.sent_at_by_id.values():
            log_age = math.log(max(now_ms - sent_at, _MIN_LATENCY_MS))
            if log_age <= mean:
                break
            mean += weight * (log_age - mean)
        return mean

    def estimated_load(
        self, now_ms: float, prior: float, settings: RoutingSettings
    ) -> float:
        """Estimate the number of running and queued calls.

        Args:
            now_ms: Clock time in milliseconds.
            prior: Estimate extrapolated from this entry's own calls.
            settings: Weight and half-life of load reports.
        """
        age = now_ms - self.reported_at
        report_weight = settings.report_weight * _HALF ** (
            age / settings.report_half_life_ms
        )
        reported = self.reported + self.sent_since_report
        return max(
            self.in_flight,
            report_weight * reported + (1 - report_weight) * prior,
        )

    def is_stalled(self, now_ms: float, limit_ms: float) -> bool:
        """Whether a call is overdue and no answer has arrived since.

        The silence must exceed the limit and a multiple of the mean gap
        between answers.
        """
        oldest_sent_at = next(iter(self.sent_at_by_id.values()), now_ms)
        silence_ms = now_ms - max(oldest_sent_at, self.last_response_at)
        return silence_ms > max(limit_ms, _STALL_GAP_FACTOR * self.gap_ms)

    def slow_start_fraction(self, now_ms: float, slow_start_ms: float) -> float:
        """Return the fraction of its slots that a new backend may fill."""
        return min(1, max((now_ms - self.since) / slow_start_ms, 1 / 8))
