"""Addresses as settings write them."""

from typing import Final, NamedTuple

__all__ = ('HostPort', 'is_address', 'parse_address')

_MAX_PORT: Final = 65_535


class HostPort(NamedTuple):
    """Where to listen or connect."""

    host: str
    port: int


def parse_address(text: str) -> HostPort:
    """Split ``host:port``; an IPv6 host stands in brackets."""
    host, _, port = text.rpartition(':')
    return HostPort(host.strip('[]'), int(port))


def is_address(text: str) -> bool:
    """Whether a text from elsewhere is ``host:port``."""
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal() or len(port) > len(str(_MAX_PORT)):
        return False
    return 0 < int(port) <= _MAX_PORT
