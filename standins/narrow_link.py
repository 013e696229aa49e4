"""Entries that follow the configuration over links of few bytes a second.

The store's HTTP answers and the peers' messages to one entry share its link,
as they do on a VM whose network is the scarce thing. All in virtual time.
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

TURN_S = 0.01
# What one connection puts on the link at a time.
PACKET_BYTES = 16 * 1024


class NarrowLink:
    """Carries what comes to one VM; connections share it evenly."""

    def __init__(self, reactor, bytes_per_s):
        self._reactor = reactor
        self._bytes_per_s = bytes_per_s
        self._turned_at = reactor.seconds()
        self._waiting_by_connection = {}
        self.carried = 0

    def send(self, connection, size, arrived):
        """Call ``arrived`` once so many bytes have come after the others."""
        waiting = self._waiting_by_connection.setdefault(connection, deque())
        waiting.append([size, arrived])

    def drop(self, connection):
        """Nothing more of this connection arrives."""
        self._waiting_by_connection.pop(connection, None)

    def waiting_s(self):
        """Return how long what waits now will take."""
        waiting = self._waiting_by_connection.values()
        left = sum(size for each in waiting for size, _arrived in each)
        return left / self._bytes_per_s

    def turn(self):
        """Carry what there was room for since the last turn; call often."""
        now = self._reactor.seconds()
        left = (now - self._turned_at) * self._bytes_per_s
        self._turned_at = now
        while left >= 1 and any(self._waiting_by_connection.values()):
            busy = [
                connection
                for connection, waiting in self._waiting_by_connection.items()
                if waiting
            ]
            share = left / len(busy)
            for connection in busy:
                left -= self._carry(connection, share)

    def _carry(self, connection, share):
        waiting = self._waiting_by_connection.get(connection)
        if not waiting:
            return 0
        size, arrived = waiting[0]
        moved = min(share, size)
        self.carried += moved
        waiting[0][0] = size - moved
        if waiting[0][0] < 1:
            waiting.popleft()
            arrived()
        return moved


class ConfigurationRow:
    """The store's row of the configuration, with its history."""

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

    def answer(self, path, after):
        """The body for a reading; None for a feed with nothing to tell."""
        told = [each for each in self.changes if each[0] > after]
        if path.endswith('rows-get'):
            told = self.changes[-1:]
        if not told:
            return None
        rows = [
            {
                'table': 'op',
                'part': '',
                'key': 'config',
                'ver': version,
                'value': base64.b64encode(text.encode()).decode(),
            }
            for version, text in told
        ]
        return json.dumps({'rows': rows, 'ver': self.version}).encode()


class _Body:
    """One answer on its way over a link."""

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
    """An HTTP client's agent whose answers come over a link."""

    def __init__(self, reactor, row, link, name):
        self._reactor = reactor
        self._row = row
        self._link = link
        self._name = name

    def request(self, _method, url, _headers=None, _body=None):
        answering = Deferred(lambda _cancelled: None)
        parts = urlsplit(url.decode())
        asked = {key: each[0] for key, each in parse_qs(parts.query).items()}
        wait_s = int(asked.get('waitMs', 0)) / 1000
        until = self._reactor.seconds() + wait_s
        after = int(asked.get('after', 0))
        self._reactor.callLater(
            TURN_S, self._try, answering, parts.path, after, until
        )
        return answering

    def _try(self, answering, path, after, until):
        if answering.called or self._name in self._row.is_silent_for:
            return
        body = self._row.answer(path, after)
        if body is None and self._reactor.seconds() < until:
            self._reactor.callLater(
                TURN_S, self._try, answering, path, after, until
            )
            return
        if body is None:
            empty = {'rows': [], 'ver': self._row.version}
            body = json.dumps(empty).encode()
        answering.callback(_Body(self._link, body))


def a_configuration(version, queues, latency_ms=300):
    """A configuration's text, some 230 bytes a queue, with names of its own."""
    names = Random(queues)
    routes = [
        {
            'name': _letters(names),
            'host': 'archive.example',
            'pathPrefix': f'/{_letters(names)}/',
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


def _letters(names):
    return ''.join(names.choices(ascii_lowercase, k=8))
