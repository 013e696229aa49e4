"""The queues in force, and which one a request is for."""

from dataclasses import dataclass, field
from typing import Iterable

from hyssopring.jobs.model import Queue

__all__ = ('QueueAddress', 'QueueTable')


@dataclass(frozen=True, slots=True)
class QueueAddress:
    """Where jobs are handed in to a queue: a host, and paths below one."""

    host: str
    path: str
    queue: Queue


@dataclass(frozen=True)
class QueueTable:
    """One version of all queues.

    Attributes:
        max_body_bytes: Longer requests are refused.
    """

    version: int
    max_body_bytes: int
    _by_host: dict[str, list[QueueAddress]] = field(default_factory=dict)

    @classmethod
    def from_addresses(
        cls,
        version: int,
        max_body_bytes: int,
        addresses: Iterable[QueueAddress],
    ) -> 'QueueTable':
        """Index the queues; of two that match the longer path wins."""
        table = cls(version, max_body_bytes)
        for address in addresses:
            known = table._by_host.setdefault(address.host.lower(), [])
            known.append(address)
        for known in table._by_host.values():
            known.sort(key=_path_length, reverse=True)
        return table

    def find(self, host: str, path: str) -> QueueAddress | None:
        """Return the queue that a request is for."""
        for address in self._by_host.get(host.lower(), ()):
            if path.startswith(address.path):
                return address
        return None


def _path_length(address: QueueAddress) -> int:
    return len(address.path)
