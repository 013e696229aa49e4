"""Listening on the addresses in the settings."""

from typing import Any

from hyssopring.addresses import parse_address

__all__ = ('listen',)


def listen(reactor: Any, address: str, factory: Any) -> Any:
    """Listen on HOST:PORT.

    Raises:
        CannotListenError: The port is in use.
    """
    host, port = parse_address(address)
    return reactor.listenTCP(port, factory, interface=host)
