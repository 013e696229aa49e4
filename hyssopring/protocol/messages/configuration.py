"""Templates and parameters, passed on from peer to peer."""

from dataclasses import dataclass

__all__ = ('ConfigurationItem', 'ConfigurationQuery', 'ConfigurationUpdate')


@dataclass(frozen=True, slots=True)
class ConfigurationItem:
    """One template or parameter set; an empty document withdraws it."""

    key: str
    version: int
    document: str


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Changes after ``base_version``; base 0 carries the whole state."""

    base_version: int
    version: int
    items: tuple[ConfigurationItem, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationQuery:
    """Asks a peer for what it has beyond ``version``."""

    version: int
