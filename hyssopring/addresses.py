"""Network addresses in the form ``host:port``."""

import re
from typing import Final, NamedTuple

__all__ = ('HostPort', 'is_address', 'parse_address')

_MAX_PORT: Final = 65_535
_PORT: Final = re.compile('[0-9]{1,5}')
# A resolver fails with an error of its own at other names.
_MAX_HOST: Final = 253
_HOST: Final = re.compile(
    r'[A-Za-z0-9_-]{1,63}([.][A-Za-z0-9_-]{1,63})*|\[[0-9A-Fa-f:.]+\]',
)


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
    if len(host) > _MAX_HOST or not _HOST.fullmatch(host):
        return False
    return bool(_PORT.fullmatch(port)) and 0 < int(port) <= _MAX_PORT
