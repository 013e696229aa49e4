"""Refuse calls that exceed a team's quota or cannot meet their deadline."""

from dataclasses import dataclass
from typing import Final

from hyssopring.clock import Clock
from hyssopring.configuration import ConfigurationState, ServicePolicy
from hyssopring.errors import ErrorKind, Failure
from hyssopring.routing.selector import BackendChoice

__all__ = ('AdmissionControl',)

_MS_PER_SECOND: Final = 1000.0
_BURST_MS: Final = 500.0
_MIN_RETRY_MS: Final = 50.0
_MAX_URGENCY: Final = 9
_MIN_BUDGET_SHARE: Final = 0.5


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one team."""

    tokens: float
    filled_at: float


class AdmissionControl:
    """Check calls against team quotas and against their deadlines.

    Attributes:
        entry_count: Number of entries that share the quotas.
    """

    def __init__(self, clock: Clock, configuration: ConfigurationState) -> None:
        """Create the checks with the quotas of ``configuration``."""
        self._clock = clock
        self._configuration = configuration
        self._bucket_by_team: dict[str, _Bucket] = {}
        self._rate_by_team: dict[str, float] = {}
        self._version = -1
        self.entry_count = 1

    def quota_failure(self, policy: ServicePolicy) -> Failure | None:
        """Take a token from the team's bucket; return a failure if empty.

        The load balancer spreads callers evenly, so that each entry grants an
        equal share of the quota without coordination.
        """
        rate = self._entry_rate(policy.team)
        bucket = self._refilled_bucket(policy.team, rate)
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return None
        return Failure(
            ErrorKind.QUOTA,
            f'{policy.team} has more than {rate:.0f} requests/s here',
            round(_MS_PER_SECOND * max(1 / rate, 1)),
        )

    def deadline_failure(
        self,
        choice: BackendChoice,
        urgency: int,
        budget_ms: float,
    ) -> Failure | None:
        """Return a failure if a call is expected to exceed its time budget.

        The least urgent calls may use half of their budget, the most urgent
        all of it: when a queue builds up, less urgent calls are refused first.

        Args:
            choice: The chosen backend with the expected times.
            urgency: Urgency of the service, 0 to 9.
            budget_ms: Time left until the deadline.
        """
        share = (
            _MIN_BUDGET_SHARE + (1 - _MIN_BUDGET_SHARE) * urgency / _MAX_URGENCY
        )
        if choice.total_ms <= budget_ms * share:
            return None
        return Failure(
            ErrorKind.OVERLOADED,
            f'expected in {choice.total_ms:.0f} ms, '
            f'allowed {budget_ms * share:.0f} ms',
            round(max(choice.queue_wait_ms, _MIN_RETRY_MS)),
        )

    def _entry_rate(self, team: str) -> float:
        if self._version != self._configuration.version:
            self._version = self._configuration.version
            self._rate_by_team.clear()
        rate = self._rate_by_team.get(team)
        if rate is None:
            rate = self._configuration.team(team).requests_per_s
            self._rate_by_team[team] = rate
        return rate / max(self.entry_count, 1)

    def _refilled_bucket(self, team: str, rate: float) -> _Bucket:
        now_ms = self._clock.now()
        capacity = max(rate * _BURST_MS / _MS_PER_SECOND, 1)
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            bucket = _Bucket(capacity, now_ms)
            self._bucket_by_team[team] = bucket
        refill = (now_ms - bucket.filled_at) * rate / _MS_PER_SECOND
        bucket.tokens = min(bucket.tokens + refill, capacity)
        bucket.filled_at = now_ms
        return bucket
