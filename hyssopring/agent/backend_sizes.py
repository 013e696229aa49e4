"""Counts the backend servers of a VM in its ledger.

A backend server announces its service and slots; its size is that of the
service's template and parameters. It runs whether it fits or not. While the
size of one is unknown, or a fresh agent has not listened long enough to know
of all, the agent cannot say what is free, and starts nothing.
"""

from hyssopring.agent.backends import Backends
from hyssopring.agent.ledger import Ledger
from hyssopring.configuration import ConfigurationState
from hyssopring.logs import Event, log_event

__all__ = ('BackendSizes',)


class BackendSizes:
    """Keeps the ledger in step with announcements and configuration."""

    def __init__(
        self,
        ledger: Ledger,
        backends: Backends,
        configuration: ConfigurationState,
    ) -> None:
        """Count nothing so far."""
        self._ledger = ledger
        self._backends = backends
        self._configuration = configuration
        self._counted: set[str] = set()
        self._unknown: set[str] = set()

    def account(self) -> None:
        """Count what is announced now; call before each admission.

        A backend server whose template was withdrawn runs on and keeps the
        size that it was counted with.
        """
        service_by_id = self._backends.service_by_id()
        for gone in self._counted - service_by_id.keys():
            self._ledger.release(_owner(gone))
        self._counted &= service_by_id.keys()
        unknown = set()
        for backend_id, service_name in service_by_id.items():
            policy = self._configuration.policy(service_name)
            if policy is not None:
                self._ledger.adopt(_owner(backend_id), policy.size)
                self._counted.add(backend_id)
            elif backend_id not in self._counted:
                unknown.add(backend_id)
        self._note_unknown(unknown)

    def _note_unknown(self, unknown: set[str]) -> None:
        for backend_id in sorted(unknown - self._unknown):
            log_event(Event.BACKEND_SIZE_UNKNOWN, backend=backend_id)
        self._unknown = unknown
        is_settled = self._backends.is_settled
        self._ledger.has_unknown = bool(unknown) or not is_settled


def _owner(backend_id: str) -> str:
    # A task's id has a colon and no slash.
    return f'backend/{backend_id}'
