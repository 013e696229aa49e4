"""Stand-in for a backend server: serves after a delay, announces itself.

Run: ``python -m standins.backend HOST:PORT AGENT SERVICE [MEAN_MS]``.
A request may ask for ``?ms=N``; ``/cut`` breaks off in the middle of its
answer. SIGTERM announces that it is leaving, then ends.
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

_ANNOUNCE_S = 0.5


@implementer(IBodyProducer)
class Bytes:
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
        asked = request.args.get(b'ms')
        millis = (
            float(asked[0])
            if asked
            else self.rng.lognormvariate(0, 0.5) * self.mean_ms
        )
        body = request.content.read()
        self.served += 1
        gone = []
        request.notifyFinish().addErrback(gone.append)
        self.reactor.callLater(millis / 1000, self._finish, request, body, gone)
        return NOT_DONE_YET

    def _finish(self, request, body, gone):
        if gone:
            return
        answer = json.dumps(
            {
                'backend': self.name,
                'path': request.uri.decode(),
                'echo': body.decode(),
                'served': self.served,
            }
        ).encode()
        request.setHeader('content-type', 'application/json')
        request.setHeader('content-length', str(len(answer)))
        if request.path.endswith(b'/cut'):
            request.write(answer[:10])
            request.transport.loseConnection()
            return
        request.write(answer)
        request.finish()


class Announcer:
    def __init__(self, reactor, agent_address, announcement):
        # One kept connection: a new one for each announcement costs the
        # agent more (docs/CAPACITY.md, at rest).
        self.agent = Agent(reactor, pool=HTTPConnectionPool(reactor))
        self.url = f'http://{agent_address}/announce'.encode()
        self.announcement = announcement

    def announce(self):
        body = json.dumps(self.announcement).encode()
        deferred = self.agent.request(b'POST', self.url, None, Bytes(body))
        deferred.addCallback(readBody)
        deferred.addErrback(lambda _reason: None)
        return deferred


def announcement(name, service, address, slots=8, connections=64):
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
    mean = float(sys.argv[4]) if len(sys.argv) > 4 else 20.0
    host, port = address.rsplit(':', 1)
    name = f'backend-{port}'
    resource = BackendResource(reactor, name, mean, int(port))
    reactor.listenTCP(int(port), Site(resource), interface=host)
    announcer = Announcer(reactor, agent, announcement(name, service, address))
    LoopingCall(announcer.announce).start(_ANNOUNCE_S)

    def leave():
        announcer.announcement['leaving'] = True
        announcer.announce()
        reactor.callLater(3.0, reactor.stop)

    signal.signal(signal.SIGTERM, lambda *_args: reactor.callFromThread(leave))
    reactor.run(installSignalHandlers=False)
