"""Network addresses in the form ``host:port``."""

from typing import Final, NamedTuple

__all__ = ('HostPort', 'is_address', 'parse_address')

_MAX_PORT: Final = 65_535


class HostPort(NamedTuple):
    """A host and a port to listen on or connect to."""

    host: str
    port: int


def parse_address(address: str) -> HostPort:
    """Return host and port of ``host:port``.

    An IPv6 host is written in brackets.

    Raises:
        ValueError: The port is not a number.
    """
    host, _, port = address.rpartition(':')
    return HostPort(host.strip('[]'), int(port))


def is_address(address: str) -> bool:
    """Return whether an untrusted text has the form ``host:port``."""
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal() or len(port) > len(str(_MAX_PORT)):
        return False
    return 0 < int(port) <= _MAX_PORT
