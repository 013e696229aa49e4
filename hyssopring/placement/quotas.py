"""What each team has running in the whole fleet, against its quota.

Every entry counts from the agents' reports plus its own starts under way. Two
entries may thus pass a quota together by what they start within one
heartbeat; the next reports show it and neither starts more.
"""

from typing import Iterable

from hyssopring.configuration import ConfigurationState
from hyssopring.membership import AgentRecord

__all__ = ('TeamUsage',)


class TeamUsage:
    """Cores in use by team, for one round of placing."""

    def __init__(
        self,
        configuration: ConfigurationState,
        agents: Iterable[AgentRecord],
    ) -> None:
        """Count what the agents report."""
        self._configuration = configuration
        self._cores_by_team: dict[str, float] = {}
        self._quota_by_team: dict[str, float] = {}
        for record in agents:
            for group in record.usage:
                team = group.service_name.partition('/')[0]
                self.add(team, group.reserved.cores)

    def add(self, team: str, cores: float) -> None:
        """Count cores of a start that no report shows so far."""
        self._cores_by_team[team] = self._cores_by_team.get(team, 0) + cores

    def part(self, team: str) -> float:
        """Return the used part of the quota, for an even order of teams."""
        return self._cores_by_team.get(team, 0) / self._quota(team)

    def refusal(self, team: str, cores: float) -> str:
        """Return why so many more cores are too many, or nothing."""
        used = self._cores_by_team.get(team, 0)
        quota = self._quota(team)
        if used + cores <= quota:
            return ''
        return f'quota of {team}: {used:.1f} of {quota:.1f} cores in use'

    def _quota(self, team: str) -> float:
        if team not in self._quota_by_team:
            self._quota_by_team[team] = self._configuration.team(team).cores
        return self._quota_by_team[team]
