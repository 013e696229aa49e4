"""The limit of open connections: which is closed to make room."""

import pytest

from hyssopring.connection_limit import ConnectionLimit


class Connection:
    def __init__(self, is_serving=False):
        self.is_serving = is_serving
        self.is_closed = False

    def abort(self):
        self.is_closed = True


@pytest.fixture
def limit():
    return ConnectionLimit(3)


def opened(limit, count):
    connections = [Connection() for _number in range(count)]
    for connection in connections:
        limit.add(connection)
    return connections


def test_connections_up_to_the_limit_stay_open(limit):
    """Guards against closing what there is room for."""
    assert not any(each.is_closed for each in opened(limit, 3))


def test_the_oldest_connection_without_a_request_is_closed(limit):
    """Guards against refusing new clients while silent ones stay."""
    first, second, *_others = opened(limit, 3)
    limit.renew(first)
    limit.add(Connection())
    assert (first.is_closed, second.is_closed) == (False, True)
    assert (len(limit), limit.closed_count) == (3, 1)


def test_a_connection_that_serves_a_request_is_kept(limit):
    """Guards against breaking off a request that was handed on."""
    connections = opened(limit, 3)
    for connection in connections:
        connection.is_serving = True
    newest = Connection()
    limit.add(newest)
    assert newest.is_closed
    assert not any(each.is_closed for each in connections)


def test_lost_connections_make_room(limit):
    """Guards against counting connections that are gone."""
    first, *others = opened(limit, 3)
    limit.remove(first)
    limit.remove(first)
    limit.add(Connection())
    assert not any(each.is_closed for each in others)
