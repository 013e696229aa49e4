"""Ports of the local host for processes that are yet to start."""

import socket

HOST = '127.0.0.1'


class ReservedPorts:
    """Ports that the system gives to nobody else until they are released.

    Each port is bound by a socket that does not listen. A process can still
    listen on it if it sets ``SO_REUSEADDR`` first, as Twisted does.

    Args:
        host: The address on which the ports are reserved.
    """

    def __init__(self, host=HOST):
        self.host = host
        self._sockets = []

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        self.release()

    def __iter__(self):
        return self

    def __next__(self):
        """Reserve a port and return its number."""
        bound = socket.socket()
        self._sockets.append(bound)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((self.host, 0))
        return bound.getsockname()[1]

    def release(self):
        """Close the sockets; the system may give the ports to others."""
        for bound in self._sockets:
            bound.close()
        self._sockets.clear()
