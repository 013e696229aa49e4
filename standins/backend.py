"""A stand-in for a backend server that announces itself to an agent.

It responds to each request after a random or requested delay.

Run: ``python -m standins.backend HOST:PORT AGENT SERVICE [MEAN_MS]``.
``?ms=N`` in a request sets its delay; ``/cut`` closes the connection in the
middle of the response. On SIGTERM the backend announces that it is leaving
and exits after a grace period.
"""

import json
import random
import signal
import sys

from twisted.internet.defer import succeed
from twisted.internet.task import LoopingCall
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.iweb import IBodyProducer
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site
from zope.interface import implementer

_ANNOUNCE_INTERVAL_S = 0.5
_SHUTDOWN_GRACE_S = 3.0


@implementer(IBodyProducer)
class Bytes:
    """The body of a request, written at once."""

    def __init__(self, body):
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer):
        consumer.write(self.body)
        return succeed(None)

    def pauseProducing(self):
        pass

    def stopProducing(self):
        pass


class BackendResource(Resource):
    """Echoes each request after its delay.

    Attributes:
        served: Number of requests received.
    """

    isLeaf = True

    def __init__(self, reactor, name, mean_ms, seed=1):
        super().__init__()
        self.reactor = reactor
        self.name = name
        self.mean_ms = mean_ms
        self.rng = random.Random(seed)
        self.served = 0
        self.request_ids = []

    def render(self, request):
        requested_ms = request.args.get(b'ms')
        delay_ms = (
            float(requested_ms[0])
            if requested_ms
            else self.rng.lognormvariate(0, 0.5) * self.mean_ms
        )
        body = request.content.read()
        self.served += 1
        disconnects = []
        request.notifyFinish().addErrback(disconnects.append)
        self.reactor.callLater(
            delay_ms / 1000, self._finish, request, body, disconnects
        )
        return NOT_DONE_YET

    def _finish(self, request, body, disconnects):
        if disconnects:
            return
        response = json.dumps(
            {
                'backend': self.name,
                'path': request.uri.decode(),
                'echo': body.decode(),
                'served': self.served,
            }
        ).encode()
        request.setHeader('content-type', 'application/json')
        request.setHeader('content-length', str(len(response)))
        if request.path.endswith(b'/cut'):
            request.write(response[:10])
            request.transport.loseConnection()
            return
        request.write(response)
        request.finish()


class Announcer:
    """Posts a backend's announcement to its agent."""

    def __init__(self, reactor, agent_address, announcement):
        # A persistent connection: a new one for each announcement costs an
        # idle agent more processor time (docs/CAPACITY.md).
        self.agent = Agent(reactor, pool=HTTPConnectionPool(reactor))
        self.url = f'http://{agent_address}/announce'.encode()
        self.announcement = announcement

    def announce(self):
        """Post the announcement; errors are ignored."""
        body = json.dumps(self.announcement).encode()
        deferred = self.agent.request(b'POST', self.url, None, Bytes(body))
        deferred.addCallback(readBody)
        deferred.addErrback(lambda _reason: None)
        return deferred


def announcement(name, service, address, slots=8, connections=64):
    """Return the fields of an announcement."""
    return {
        'id': name,
        'service': service,
        'address': address,
        'slots': slots,
        'connections': connections,
        'leaving': False,
    }


if __name__ == '__main__':
    from twisted.internet import reactor

    address, agent, service = sys.argv[1:4]
    mean_ms = float(sys.argv[4]) if len(sys.argv) > 4 else 20.0
    host, port = address.rsplit(':', 1)
    name = f'backend-{port}'
    resource = BackendResource(reactor, name, mean_ms, int(port))
    reactor.listenTCP(int(port), Site(resource), interface=host)
    announcer = Announcer(reactor, agent, announcement(name, service, address))
    LoopingCall(announcer.announce).start(_ANNOUNCE_INTERVAL_S)

    def shut_down():
        announcer.announcement['leaving'] = True
        announcer.announce()
        reactor.callLater(_SHUTDOWN_GRACE_S, reactor.stop)

    signal.signal(
        signal.SIGTERM, lambda *_args: reactor.callFromThread(shut_down)
    )
    reactor.run(installSignalHandlers=False)
