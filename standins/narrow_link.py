"""Links of low bandwidth, and a store whose responses come over them.

The store's HTTP responses and the peers' messages to an entry share its link,
as on a VM whose network is the bottleneck. All times are virtual.
"""

import base64
import json
from collections import deque
from random import Random
from string import ascii_lowercase
from types import SimpleNamespace
from urllib.parse import parse_qs, urlsplit

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionAborted
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

TICK_INTERVAL_S = 0.01
# Largest unit that a connection sends over the link.
PACKET_BYTES = 16 * 1024


class NarrowLink:
    """The inbound link of a VM; connections share its bandwidth evenly.

    Attributes:
        carried: Bytes that have arrived.
    """

    def __init__(self, reactor, bytes_per_s):
        self._reactor = reactor
        self._bytes_per_s = bytes_per_s
        self._ticked_at = reactor.seconds()
        self._packets_by_connection = {}
        self.carried = 0

    def send(self, connection, size, on_arrival):
        """Queue ``size`` bytes; ``on_arrival`` is called once they arrived."""
        packets = self._packets_by_connection.setdefault(connection, deque())
        packets.append([size, on_arrival])

    def drop(self, connection):
        """Discard the queued packets of a connection."""
        self._packets_by_connection.pop(connection, None)

    def waiting_s(self):
        """Return the s that the queued packets take to arrive."""
        queues = self._packets_by_connection.values()
        size = sum(size for queue in queues for size, _on_arrival in queue)
        return size / self._bytes_per_s

    def tick(self):
        """Deliver the bytes that the time since the last tick allows."""
        now_s = self._reactor.seconds()
        left = (now_s - self._ticked_at) * self._bytes_per_s
        self._ticked_at = now_s
        while left >= 1 and any(self._packets_by_connection.values()):
            senders = [
                connection
                for connection, packets in self._packets_by_connection.items()
                if packets
            ]
            share = left / len(senders)
            for connection in senders:
                left -= self._deliver(connection, share)

    def _deliver(self, connection, share):
        packets = self._packets_by_connection.get(connection)
        if not packets:
            return 0
        size, on_arrival = packets[0]
        moved = min(share, size)
        self.carried += moved
        packets[0][0] = size - moved
        if packets[0][0] < 1:
            packets.popleft()
            on_arrival()
        return moved


class ConfigurationRow:
    """The store's row of the configuration, with its history.

    Attributes:
        changes: Versions of the row with their texts.
        is_silent_for: Names of entries whose requests get no response.
        committed_at: Times in s of commits, by version.
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self.changes = [(1, '{"version": 1, "routes": []}')]
        self.is_silent_for = set()
        self.committed_at = {}

    @property
    def version(self):
        return self.changes[-1][0]

    def commit(self, version, text):
        self.changes.append((self.version + 1, text))
        self.committed_at[version] = self._reactor.seconds()

    def response_body(self, path, after):
        """Return the body of a response; None for a feed without changes."""
        changes = [change for change in self.changes if change[0] > after]
        if path.endswith('rows-get'):
            changes = self.changes[-1:]
        if not changes:
            return None
        rows = [
            {
                'table': 'op',
                'part': '',
                'key': 'config',
                'ver': version,
                'value': base64.b64encode(text.encode()).decode(),
            }
            for version, text in changes
        ]
        return json.dumps({'rows': rows, 'ver': self.version}).encode()


class _Body:
    """A response that is sent over a link."""

    code = 200
    headers = SimpleNamespace(getAllRawHeaders=tuple)

    def __init__(self, link, body):
        self._link = link
        self._body = body
        self._protocol = None

    def deliverBody(self, protocol):
        self._protocol = protocol
        protocol.transport = SimpleNamespace(abortConnection=self._abort)
        for start in range(0, len(self._body), PACKET_BYTES):
            self._send(self._body[start : start + PACKET_BYTES])
        self._link.send(self, 0, lambda: self._protocol.connectionLost(_done()))

    def _send(self, packet):
        self._link.send(
            self, len(packet), lambda: self._protocol.dataReceived(packet)
        )

    def _abort(self):
        self._link.drop(self)
        self._protocol.connectionLost(Failure(ConnectionAborted()))


def _done():
    return Failure(ResponseDone())


class StoreOverLink:
    """An HTTP agent whose responses come over a link."""

    def __init__(self, reactor, row, link, name):
        self._reactor = reactor
        self._row = row
        self._link = link
        self._name = name

    def request(self, _method, url, _headers=None, _body=None):
        responding = Deferred(lambda _cancelled: None)
        parts = urlsplit(url.decode())
        query = {
            name: texts[0] for name, texts in parse_qs(parts.query).items()
        }
        wait_s = int(query.get('waitMs', 0)) / 1000
        until_s = self._reactor.seconds() + wait_s
        after = int(query.get('after', 0))
        self._reactor.callLater(
            TICK_INTERVAL_S,
            self._respond,
            responding,
            parts.path,
            after,
            until_s,
        )
        return responding

    def _respond(self, responding, path, after, until_s):
        if responding.called or self._name in self._row.is_silent_for:
            return
        body = self._row.response_body(path, after)
        if body is None and self._reactor.seconds() < until_s:
            self._reactor.callLater(
                TICK_INTERVAL_S, self._respond, responding, path, after, until_s
            )
            return
        if body is None:
            empty = {'rows': [], 'ver': self._row.version}
            body = json.dumps(empty).encode()
        responding.callback(_Body(self._link, body))


def a_configuration(version, queues, latency_ms=300):
    """Return a configuration's text with random names, 230 bytes a queue."""
    rng = Random(queues)
    routes = [
        {
            'name': _letters(rng),
            'host': 'archive.example',
            'pathPrefix': f'/{_letters(rng)}/',
            'service': 'archive',
            'targetLatencyMs': latency_ms,
            'priority': 1,
            'maxAttempts': 4,
            'slackFactor': 1.5,
            'timeoutMs': 3000,
            'retries': 0,
            'backoffMs': 100,
        }
        for _number in range(queues)
    ]
    return json.dumps({'version': version, 'routes': routes})


def _letters(rng):
    return ''.join(rng.choices(ascii_lowercase, k=8))
