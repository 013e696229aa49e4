"""Configuration items, forwarded between peers."""

from dataclasses import dataclass

__all__ = ('ConfigurationItem', 'ConfigurationQuery', 'ConfigurationUpdate')


@dataclass(frozen=True, slots=True)
class ConfigurationItem:
    """One configuration item; an empty document withdraws it."""

    key: str
    version: int
    document: str


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Changes after ``base_version``; base 0 holds the complete state."""

    base_version: int
    version: int
    items: tuple[ConfigurationItem, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationQuery:
    """Requests the changes after ``version`` from a peer."""

    version: int
