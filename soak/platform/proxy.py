"""A loopback proxy that injects faults into connections.

Bytes are never dropped from a connection that stays open, as in TCP: they are
delayed, or the connection is aborted.
"""

import re
from collections import deque
from functools import partial

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Factory, Protocol

CLOSE = object()
# Largest unit that a connection sends over a narrow link.
PIECE_BYTES = 4096
# The first message on an inner connection contains the name of its sender.
NAME = re.compile(rb'(?:entry|agent)-\d+')


class LinkConditions:
    """Faults of the connections from one process to another.

    Attributes:
        link_by_direction: Links of limited bandwidth, by direction.
    """

    def __init__(self):
        self.connections = set()
        self.link_by_direction = {}
        self.heal()

    def heal(self):
        """End all faults and forward the delayed bytes."""
        self.delay_s = 0
        self.delayed_until = 0
        self.refused_until = 0
        self.held_until = {'up': 0, 'down': 0}
        for connection in list(self.connections):
            connection.up.flush()
            connection.down.flush()

    @property
    def is_disturbed(self):
        """Whether a fault is in force now."""
        ends = [self.delayed_until, self.refused_until]
        return max(*ends, *self.held_until.values()) > reactor.seconds()

    def delay(self, delay_s, duration_s):
        """Delay bytes by ``delay_s`` during a time in s."""
        self.delay_s = delay_s
        self.delayed_until = reactor.seconds() + duration_s

    def hold(self, direction, duration_s):
        """Forward nothing in one direction, or both, during a time in s."""
        held = ('up', 'down') if direction == 'both' else (direction,)
        for name in held:
            until = reactor.seconds() + duration_s
            self.held_until[name] = max(self.held_until[name], until)

    def reset(self):
        """Abort all connections."""
        for connection in list(self.connections):
            connection.abort()

    def refuse(self, duration_s):
        """Abort all connections, and new ones during a time in s."""
        self.refused_until = reactor.seconds() + duration_s
        self.reset()

    def due(self, direction, sent_at):
        """Return when bytes sent at a time are forwarded, in s."""
        delay_s = self.delay_s if sent_at < self.delayed_until else 0
        return max(sent_at + delay_s, self.held_until[direction])


class _Direction:
    """One direction of a connection: a queue of bytes and its close."""

    def __init__(self, connection, name):
        self.connection = connection
        self.name = name
        self.receiver = None
        self.queue = deque()
        self.next_flush = None

    def put(self, piece):
        self.queue.append((reactor.seconds(), piece))
        self.flush()

    def flush(self):
        """Forward the pieces that are due, and schedule the next one."""
        if self.next_flush is not None and self.next_flush.active():
            self.next_flush.cancel()
        while self.queue and self.receiver is not None:
            sent_at, piece = self.queue[0]
            wait = self.connection.conditions.due(self.name, sent_at)
            wait -= reactor.seconds()
            if wait > 0:
                self.next_flush = reactor.callLater(wait, self.flush)
                return
            self.queue.popleft()
            self._forward(piece)

    def drop(self):
        """Discard the queued pieces of an aborted connection."""
        self.queue.clear()
        link = self.connection.conditions.link_by_direction.get(self.name)
        if link is not None:
            link.drop(self)

    def _forward(self, piece):
        link = self.connection.conditions.link_by_direction.get(self.name)
        if link is None:
            self._write(piece)
            return
        size = 0 if piece is CLOSE else len(piece)
        link.send(self, size, partial(self._write, piece))

    def _write(self, piece):
        if piece is CLOSE:
            self.receiver.transport.loseConnection()
        else:
            self.receiver.transport.write(piece)


class _Connection:
    """Two sockets and the queues between them."""

    def __init__(self, proxy):
        self.proxy = proxy
        self.ends = []
        self.conditions = LinkConditions()
        self.up = _Direction(self, 'up')
        self.down = _Direction(self, 'down')

    def set_source(self, source):
        """Apply the conditions of the process that connected."""
        conditions = self.proxy.conditions_by_source.get(source)
        if conditions is not None:
            self.conditions = conditions
            conditions.connections.add(self)
            if reactor.seconds() < conditions.refused_until:
                self.abort()

    def abort(self):
        self.up.drop()
        self.down.drop()
        for end in self.ends:
            end.transport.abortConnection()


class _End(Protocol):
    """One of the two sockets of a connection."""

    def __init__(self, connection, outgoing, incoming):
        self.connection = connection
        self.outgoing = outgoing
        self.incoming = incoming

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.connection.ends.append(self)
        self.incoming.receiver = self
        self.incoming.flush()

    def dataReceived(self, data):
        connection = self.connection
        if connection not in connection.conditions.connections:
            match = NAME.search(data)
            source = match.group().decode() if match else ''
            connection.set_source(connection.proxy.source or source)
        for start in range(0, len(data), PIECE_BYTES):
            self.outgoing.put(data[start : start + PIECE_BYTES])

    def connectionLost(self, reason):
        self.connection.conditions.connections.discard(self.connection)
        # Bytes to a closed socket use no bandwidth.
        self.incoming.drop()
        self.outgoing.put(CLOSE)


class _TargetFactory(ClientFactory):
    """The proxy's own connection to its target."""

    noisy = False

    def __init__(self, connection):
        self.connection = connection

    def buildProtocol(self, addr):
        return _End(self.connection, self.connection.down, self.connection.up)

    def clientConnectionFailed(self, connector, reason):
        self.connection.down.put(CLOSE)


class Proxy(Factory):
    """Forwards connections to a port; ``up`` is the direction to it.

    Without a fixed ``source``, a connection's first message identifies it.
    """

    noisy = False

    def __init__(self, host, port, target, conditions_by_source, source=''):
        self.host = host
        self.target = target
        self.conditions_by_source = conditions_by_source
        self.source = source
        reactor.listenTCP(port, self, interface=host)

    def buildProtocol(self, addr):
        connection = _Connection(self)
        reactor.connectTCP(self.host, self.target, _TargetFactory(connection))
        return _End(connection, connection.up, connection.down)
