"""A proxy on loopback whose connections can be made to misbehave.

Nothing that was sent is ever left out of a connection that goes on: what is
held comes late or the connection ends, as with real networks.
"""

import re
from collections import deque
from functools import partial

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Factory, Protocol

CLOSE = object()
# What one connection puts on a narrow link at a time.
PIECE_BYTES = 4096
# The first message on an inner connection names the process that dials.
NAME = re.compile(rb'(?:entry|agent)-\d+')


class Weather:
    """How the connections from one process to one other fare."""

    def __init__(self):
        self.connections = set()
        # The link that a way's bytes share with others, by the way.
        self.link_by_way = {}
        self.heal()

    def heal(self):
        """Misbehave no more; what was held goes on."""
        self.delay_s = 0
        self.delayed_until = 0
        self.refused_until = 0
        self.held_until = {'up': 0, 'down': 0}
        for connection in list(self.connections):
            connection.up.flush()
            connection.down.flush()

    @property
    def is_foul(self):
        """Whether connections misbehave at this moment."""
        ends = [self.delayed_until, self.refused_until]
        return max(*ends, *self.held_until.values()) > reactor.seconds()

    def delay(self, delay_s, lasts):
        """Pass on later for a while."""
        self.delay_s = delay_s
        self.delayed_until = reactor.seconds() + lasts

    def hold(self, way, lasts):
        """Pass nothing on one way, or both, for a while."""
        for each in ('up', 'down') if way == 'both' else (way,):
            until = reactor.seconds() + lasts
            self.held_until[each] = max(self.held_until[each], until)

    def reset(self):
        """Abort all connections."""
        for connection in list(self.connections):
            connection.abort()

    def refuse(self, lasts):
        """Abort all connections, and new ones for a while."""
        self.refused_until = reactor.seconds() + lasts
        self.reset()

    def due(self, way, sent_at):
        """Return when a piece is passed on."""
        late = self.delay_s if sent_at < self.delayed_until else 0
        return max(sent_at + late, self.held_until[way])


class _Way:
    """One direction of a connection: a queue of bytes and of the end."""

    def __init__(self, connection, name):
        self.connection = connection
        self.name = name
        self.receiver = None
        self.waiting = deque()
        self.turn = None

    def put(self, piece):
        self.waiting.append((reactor.seconds(), piece))
        self.flush()

    def flush(self):
        """Pass on what is due; look again when the next piece is."""
        if self.turn is not None and self.turn.active():
            self.turn.cancel()
        while self.waiting and self.receiver is not None:
            sent_at, piece = self.waiting[0]
            wait = self.connection.weather.due(self.name, sent_at)
            wait -= reactor.seconds()
            if wait > 0:
                self.turn = reactor.callLater(wait, self.flush)
                return
            self.waiting.popleft()
            self._pass_on(piece)

    def drop(self):
        """Nothing more is passed on: the connection was aborted."""
        self.waiting.clear()
        link = self.connection.weather.link_by_way.get(self.name)
        if link is not None:
            link.drop(self)

    def _pass_on(self, piece):
        link = self.connection.weather.link_by_way.get(self.name)
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
    """Two sockets and what waits between them."""

    def __init__(self, proxy):
        self.proxy = proxy
        self.ends = []
        self.weather = Weather()
        self.up = _Way(self, 'up')
        self.down = _Way(self, 'down')

    def came_from(self, source):
        """The process that dialled is known."""
        weather = self.proxy.weather_by_source.get(source)
        if weather is not None:
            self.weather = weather
            weather.connections.add(self)
            if reactor.seconds() < weather.refused_until:
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
        if connection not in connection.weather.connections:
            named = NAME.search(data)
            source = named.group().decode() if named else ''
            connection.came_from(connection.proxy.source or source)
        for start in range(0, len(data), PIECE_BYTES):
            self.outgoing.put(data[start : start + PIECE_BYTES])

    def connectionLost(self, reason):
        self.connection.weather.connections.discard(self.connection)
        # What is on its way to a socket that is closed takes no link any more.
        self.incoming.drop()
        self.outgoing.put(CLOSE)


class _Onward(ClientFactory):
    """The proxy's own connection to its target."""

    noisy = False

    def __init__(self, connection):
        self.connection = connection

    def buildProtocol(self, addr):
        return _End(self.connection, self.connection.down, self.connection.up)

    def clientConnectionFailed(self, connector, reason):
        self.connection.down.put(CLOSE)


class Proxy(Factory):
    """Passes connections on to one port; ``up`` is towards it.

    Without a fixed ``source`` a connection's first message says who dials.
    """

    noisy = False

    def __init__(self, host, port, target, weather_by_source, source=''):
        self.host = host
        self.target = target
        self.weather_by_source = weather_by_source
        self.source = source
        reactor.listenTCP(port, self, interface=host)

    def buildProtocol(self, addr):
        connection = _Connection(self)
        reactor.connectTCP(self.host, self.target, _Onward(connection))
        return _End(connection, connection.up, connection.down)
