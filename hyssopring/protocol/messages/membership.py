"""Greeting of a new connection, and who the entries are."""

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
    """The agent's answer; ``proof`` shows that it knows the secret."""

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
    """The entry accepts the agent."""

    entry_id: str
    configuration_version: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """The last frame before a connection is closed for an error."""

    kind: str
    detail: str


@dataclass(frozen=True, slots=True)
class EntryMember:
    """One entry, and where agents dial it."""

    entry_id: str
    address: str
    zone: str


@dataclass(frozen=True, slots=True)
class EntryList:
    """Who the entries are, sent when that changes.

    From an entry: all that it knows of, and the id of the entry that holds
    each shard, by shard number, empty if unknown. From an agent: entries
    that it is connected to and that the receiver's own list lacks.
    """

    members: tuple[EntryMember, ...]
    holders: tuple[str, ...] = ()
