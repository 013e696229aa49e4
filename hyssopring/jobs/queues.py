"""The configured queues, and the lookup of the queue of a request."""

from dataclasses import dataclass, field
from typing import Iterable

from hyssopring.jobs.model import Queue

__all__ = ('QueueAddress', 'QueueTable')


@dataclass(frozen=True, slots=True)
class QueueAddress:
    """The host and path prefix at which jobs are submitted to a queue."""

    host: str
    path: str
    queue: Queue


@dataclass(frozen=True)
class QueueTable:
    """All queues of one version of the configuration.

    Attributes:
        max_body_bytes: Longer request bodies are rejected.
    """

    version: int
    max_body_bytes: int
    _addresses_by_host: dict[str, list[QueueAddress]] = field(
        default_factory=dict
    )

    @classmethod
    def from_addresses(
        cls,
        version: int,
        max_body_bytes: int,
        addresses: Iterable[QueueAddress],
    ) -> 'QueueTable':
        """Index the queues by host, with the longest path prefix first."""
        table = cls(version, max_body_bytes)
        for address in addresses:
            same_host = table._addresses_by_host.setdefault(
                address.host.lower(), []
            )
            same_host.append(address)
        for same_host in table._addresses_by_host.values():
            same_host.sort(key=_path_length, reverse=True)
        return table

    def find(self, host: str, path: str) -> QueueAddress | None:
        """Return the queue with the longest matching path, None if none."""
        for address in self._addresses_by_host.get(host.lower(), ()):
            if path.startswith(address.path):
                return address
        return None


def _path_length(address: QueueAddress) -> int:
    return len(address.path)
