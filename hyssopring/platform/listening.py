"""Opens the ports that the settings name."""

from typing import Any

from hyssopring.addresses import parse_address

__all__ = ('listen',)


def listen(reactor: Any, address: str, factory: Any) -> Any:
    """Listen on HOST:PORT; raises Twisted's CannotListenError."""
    host, port = parse_address(address)
    return reactor.listenTCP(port, factory, interface=host)
