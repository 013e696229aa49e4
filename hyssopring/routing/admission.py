"""Refuses at once what an entry cannot serve in time or within a quota."""

from dataclasses import dataclass
from typing import Final

from hyssopring.clock import Clock
from hyssopring.configuration import ConfigurationState, ServicePolicy
from hyssopring.errors import ErrorKind, Failure
from hyssopring.routing.selector import BackendChoice

__all__ = ('AdmissionControl',)

_SECOND_MS: Final = 1000.0
_BURST_MS: Final = 500.0
_MIN_RETRY_MS: Final = 50.0
_MAX_URGENCY: Final = 9
_LEAST_SHARE: Final = 0.5


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float


class AdmissionControl:
    """Token buckets by team, and the deadline against the expected wait."""

    def __init__(self, clock: Clock, configuration: ConfigurationState) -> None:
        """Take the quotas from the configuration in force."""
        self._clock = clock
        self._configuration = configuration
        self._bucket_by_team: dict[str, _Bucket] = {}
        self._rate_by_team: dict[str, float] = {}
        self._version = -1
        self.entry_count = 1

    def quota_failure(self, policy: ServicePolicy) -> Failure | None:
        """Spend one of the team's requests; a failure if it has none left.

        The balancer spreads callers evenly, so that each entry grants its
        share of the quota without asking the others.
        """
        rate = self._rate(policy.team)
        bucket = self._filled(policy.team, rate)
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return None
        return Failure(
            ErrorKind.QUOTA,
            f'{policy.team} has more than {rate:.0f} requests/s here',
            round(_SECOND_MS * max(1 / rate, 1)),
        )

    def deadline_failure(
        self,
        choice: BackendChoice,
        urgency: int,
        budget_ms: float,
    ) -> Failure | None:
        """Refuse a call whose expected time leaves too little of its budget.

        The least urgent may use half of their budget, the most urgent all:
        when a queue builds up, the less urgent are refused first.
        """
        share = _LEAST_SHARE + (1 - _LEAST_SHARE) * urgency / _MAX_URGENCY
        if choice.total_ms <= budget_ms * share:
            return None
        return Failure(
            ErrorKind.OVERLOADED,
            f'expected in {choice.total_ms:.0f} ms, '
            f'allowed {budget_ms * share:.0f} ms',
            round(max(choice.wait_ms, _MIN_RETRY_MS)),
        )

    def _rate(self, team: str) -> float:
        if self._version != self._configuration.version:
            self._version = self._configuration.version
            self._rate_by_team.clear()
        rate = self._rate_by_team.get(team)
        if rate is None:
            rate = self._configuration.team(team).requests_per_s
            self._rate_by_team[team] = rate
        return rate / max(self.entry_count, 1)

    def _filled(self, team: str, rate: float) -> _Bucket:
        now = self._clock.now()
        most = max(rate * _BURST_MS / _SECOND_MS, 1)
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            bucket = _Bucket(most, now)
            self._bucket_by_team[team] = bucket
        earned = (now - bucket.filled_at) * rate / _SECOND_MS
        bucket.tokens = min(bucket.tokens + earned, most)
        bucket.filled_at = now
        return bucket
