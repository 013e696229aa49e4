"""Reservations of backend servers in the ledger of their VM.

A backend server announces its service and slots; its size is that of the
service's template and parameters. It runs whether it fits or not. The free
capacity is unknown while the size of one is unknown, or until an agent that
has just started had time to receive all announcements. The agent starts no
task then.
"""

from hyssopring.agent.backends import Backends
from hyssopring.agent.ledger import Ledger
from hyssopring.configuration import ConfigurationState
from hyssopring.logs import Event, log_event

__all__ = ('BackendSizes',)


class BackendSizes:
    """Updates the ledger from announcements and configuration."""

    def __init__(
        self,
        ledger: Ledger,
        backends: Backends,
        configuration: ConfigurationState,
    ) -> None:
        """Start without reservations."""
        self._ledger = ledger
        self._backends = backends
        self._configuration = configuration
        self._counted: set[str] = set()
        self._unknown: set[str] = set()

    def update_ledger(self) -> None:
        """Reserve the sizes of announced servers; call before admission.

        A backend server whose template was withdrawn continues to run and
        keeps its reservation.
        """
        service_by_id = self._backends.service_by_id()
        for removed_id in self._counted - service_by_id.keys():
            self._ledger.release(_owner(removed_id))
        self._counted &= service_by_id.keys()
        unknown = set()
        for backend_id, service_name in service_by_id.items():
            policy = self._configuration.policy(service_name)
            if policy is not None:
                self._ledger.adopt(_owner(backend_id), policy.size)
                self._counted.add(backend_id)
            elif backend_id not in self._counted:
                unknown.add(backend_id)
        self._update_unknown(unknown)

    def _update_unknown(self, unknown: set[str]) -> None:
        for backend_id in sorted(unknown - self._unknown):
            log_event(Event.BACKEND_SIZE_UNKNOWN, backend=backend_id)
        self._unknown = unknown
        is_discovery_complete = self._backends.is_discovery_complete
        self._ledger.has_unknown_size = (
            bool(unknown) or not is_discovery_complete
        )


def _owner(backend_id: str) -> str:
    # Distinct from the ids of tasks, which contain no slash.
    return f'backend/{backend_id}'
