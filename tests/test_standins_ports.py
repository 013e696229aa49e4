"""Tests for ports that are reserved for processes."""

import socket

import pytest

from standins.ports import HOST, ReservedPorts

# More than a tenth of the ports that the system hands out.
MANY = 300


def listening(port):
    """Return a socket that listens as Twisted's do."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(MANY)
    return listener


def test_reserved_port_can_be_listened_on_again():
    """Guards against a reservation that keeps a restarted process out."""
    with ReservedPorts() as ports:
        port = next(ports)
        for _start in range(2):
            with listening(port), socket.create_connection((HOST, port)):
                pass


def test_reserved_port_refuses_connections_while_nobody_listens():
    """Guards against stale seeds that seem to be alive."""
    with ReservedPorts() as ports, pytest.raises(ConnectionRefusedError):
        socket.create_connection((HOST, next(ports)))


def test_others_are_given_no_reserved_port():
    """Guards against another process that takes a port before its owner."""
    with ReservedPorts() as ports, ReservedPorts() as others:
        reserved = {next(ports) for _port in range(MANY)}
        assert len(reserved) == MANY
        assert reserved.isdisjoint(next(others) for _port in range(MANY))


def test_no_connection_is_given_a_reserved_port():
    """Guards against a client whose own port is one that was reserved."""
    with ReservedPorts() as ports:
        reserved = {next(ports) for _port in range(MANY)}
        with listening(next(ports)) as listener:
            address = listener.getsockname()
            for _connection in range(MANY):
                with socket.create_connection(address) as connection:
                    assert connection.getsockname()[1] not in reserved
