"""Whether a balancer should send callers' requests to this entry."""

from typing import Final

from hyssopring.clock import Clock
from hyssopring.configuration import ConfigurationState
from hyssopring.membership import Fleet

__all__ = ('Readiness',)

# Agents dial a fresh entry within seconds; a service that has no backend
# server by then has none anywhere.
_SETTLED_MS: Final = 5000.0


class Readiness:
    """Holds a fresh entry back until it can serve what is configured.

    Guard: agents dial one by one. An entry that took requests once the first
    had come would refuse those for services of the others.
    """

    def __init__(
        self,
        clock: Clock,
        configuration: ConfigurationState,
        fleet: Fleet,
    ) -> None:
        """Count from now."""
        self._clock = clock
        self._configuration = configuration
        self._fleet = fleet
        self._started_at = clock.now()

    @property
    def why_not(self) -> str:
        """What is missing, empty if nothing is."""
        if not self._configuration.is_known:
            return 'no configuration yet'
        if not self._fleet.agents:
            return 'no agents yet'
        if self._clock.now() - self._started_at > _SETTLED_MS:
            return ''
        for policy in self._configuration.policies():
            name = policy.service_name
            if policy.kind == 'service' and not self._is_served(name):
                return f'no backend server of {name} yet'
        return ''

    def _is_served(self, service_name: str) -> bool:
        return any(
            view.is_routable for view in self._fleet.backends(service_name)
        )
