"""Addresses as settings write them."""

from typing import NamedTuple

__all__ = ('HostPort', 'parse_address')


class HostPort(NamedTuple):
    """Where to listen or connect."""

    host: str
    port: int


def parse_address(text: str) -> HostPort:
    """Split ``host:port``; an IPv6 host stands in brackets."""
    host, _, port = text.rpartition(':')
    return HostPort(host.strip('[]'), int(port))
