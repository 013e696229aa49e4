"""Compare each team's use of the whole fleet with its quota.

Every entry counts the agents' reports plus its own unreported starts. Two
entries together may therefore exceed a quota by the tasks that they start
within one heartbeat interval; after the next reports neither starts more.
"""

from typing import Iterable

from hyssopring.configuration import ConfigurationState
from hyssopring.membership import AgentRecord

__all__ = ('TeamUsage',)


class TeamUsage:
    """Cores in use by team during one placement round."""

    def __init__(
        self,
        configuration: ConfigurationState,
        agents: Iterable[AgentRecord],
    ) -> None:
        """Count the reserved cores that the agents report."""
        self._configuration = configuration
        self._cores_by_team: dict[str, float] = {}
        self._quota_by_team: dict[str, float] = {}
        for record in agents:
            for group in record.usage:
                team = group.service_name.partition('/')[0]
                self.add(team, group.reserved.cores)

    def add(self, team: str, cores: float) -> None:
        """Count the cores of a start that no report shows yet."""
        self._cores_by_team[team] = self._cores_by_team.get(team, 0) + cores

    def used_fraction(self, team: str) -> float:
        """Return the used fraction of a team's quota."""
        return self._cores_by_team.get(team, 0) / self._quota(team)

    def refusal_reason(self, team: str, cores: float) -> str:
        """Return why ``cores`` more exceed the quota, '' if they do not."""
        used = self._cores_by_team.get(team, 0)
        quota = self._quota(team)
        if used + cores <= quota:
            return ''
        return f'quota of {team}: {used:.1f} of {quota:.1f} cores in use'

    def _quota(self, team: str) -> float:
        if team not in self._quota_by_team:
            self._quota_by_team[team] = self._configuration.team(team).cores
        return self._quota_by_team[team]
