"""Decides whether a balancer should send requests to this entry."""

from typing import Final

from hyssopring.clock import Clock
from hyssopring.configuration import ConfigurationState
from hyssopring.membership import Fleet

__all__ = ('Readiness',)

# Agents connect to a new entry within seconds; a service without a backend
# server by then has none at any agent.
_SETTLING_MS: Final = 5000.0


class Readiness:
    """Keeps a new entry unready until it can serve all configured services.

    Agents connect one after another. An entry that was ready with the first
    agent would refuse requests for services that only later agents have.
    """

    def __init__(
        self,
        clock: Clock,
        configuration: ConfigurationState,
        fleet: Fleet,
    ) -> None:
        """Start the settling time."""
        self._clock = clock
        self._configuration = configuration
        self._fleet = fleet
        self._started_at = clock.now()

    @property
    def not_ready_reason(self) -> str:
        """Why this entry is not ready, or empty."""
        if not self._configuration.is_known:
            return 'no configuration yet'
        if not self._fleet.agents:
            return 'no agents yet'
        if self._clock.now() - self._started_at > _SETTLING_MS:
            return ''
        for policy in self._configuration.policies():
            service_name = policy.service_name
            if policy.kind == 'service' and not self._is_served(service_name):
                return f'no backend server of {service_name} yet'
        return ''

    def _is_served(self, service_name: str) -> bool:
        return any(
            view.is_routable for view in self._fleet.backends(service_name)
        )
