"""Handshake of a new connection, and the list of entries."""

from dataclasses import dataclass

from hyssopring.protocol.messages.resources import Resources

__all__ = (
    'Challenge',
    'EntryList',
    'EntryMember',
    'Hello',
    'Refusal',
    'Welcome',
)


@dataclass(frozen=True, slots=True)
class Challenge:
    """First frame on a connection, from the entry."""

    version: int
    entry_id: str
    nonce: str


@dataclass(frozen=True, slots=True)
class Hello:
    """Response of the agent; ``proof`` proves knowledge of the secret."""

    version: int
    agent_id: str
    incarnation: str
    zone: str
    rack: str
    proof: str
    capacity: Resources
    configuration_version: int


@dataclass(frozen=True, slots=True)
class Welcome:
    """Acceptance of the agent by the entry."""

    entry_id: str
    configuration_version: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """The last frame before a connection is closed for an error."""

    kind: str
    detail: str


@dataclass(frozen=True, slots=True)
class EntryMember:
    """One entry and the address at which agents connect to it."""

    entry_id: str
    address: str
    zone: str


@dataclass(frozen=True, slots=True)
class EntryList:
    """The current entries, sent on each change.

    From an entry: all known entries, and in ``holders`` the id of the entry
    that holds each shard, by shard number, empty if unknown. From an agent:
    entries that it is connected to and that are missing in the list of the
    receiver.
    """

    members: tuple[EntryMember, ...]
    holders: tuple[str, ...] = ()
