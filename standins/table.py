"""A stand-in for the platform's transactional table service and object store.

HTTP: ``POST /transactions`` with ``checks`` and ``puts``, each put with the
id of its own operation;
``GET /rows?prefix=P``. ``POST /switches`` sets ``outage`` (no responses),
``delay_ms`` and ``lose_answers`` (number of commits that take effect without
a response).
Run: ``python -m standins.table HOST:PORT``.
"""

import json
import sys

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site


class Table:
    """Rows in memory, with injected faults."""

    def __init__(self):
        self.rows_by_key = {}
        self.outage = False
        self.delay_ms = 0
        self.lose_answers = 0
        self.commits = 0

    def commit(self, operation, checks, puts):
        """Return the new versions by key, or the conflicting rows."""
        conflicts = [
            key for key, version in checks if self.row(key)[1] != version
        ]
        if conflicts:
            return {'rows': [self.row(key) for key in conflicts]}
        self.commits += 1
        versions = {}
        for key, document, *operations in puts:
            version = self.row(key)[1] + 1
            versions[key] = version
            if document is None:
                self.rows_by_key.pop(key, None)
            else:
                put_operation = operations[0] if operations else operation
                self.rows_by_key[key] = [
                    key,
                    version,
                    put_operation,
                    document,
                ]
        return {'versions': versions}

    def row(self, key):
        """Return key, version, operation and document; version 0 if absent."""
        return self.rows_by_key.get(key, [key, 0, '', {}])

    def read(self, prefix):
        """Return the rows with a prefix, in the order of their keys."""
        return [
            self.rows_by_key[key]
            for key in sorted(self.rows_by_key)
            if key.startswith(prefix)
        ]


class TableResource(Resource):
    """Serves a table over HTTP."""

    isLeaf = True

    def __init__(self, reactor, table):
        super().__init__()
        self.reactor = reactor
        self.table = table

    def render_GET(self, request):
        prefix = request.args.get(b'prefix', [b''])[0].decode()
        return self._schedule(
            request, lambda: {'rows': self.table.read(prefix)}, False
        )

    def render_POST(self, request):
        body = json.loads(request.content.read())
        if request.path == b'/switches':
            for name, setting in body.items():
                setattr(self.table, name, setting)
            return b'{}'
        return self._schedule(
            request,
            lambda: self.table.commit(
                body.get('operation', ''), body['checks'], body['puts']
            ),
            True,
        )

    def _schedule(self, request, action, is_commit):
        if self.table.outage:
            return NOT_DONE_YET
        disconnects = []
        request.notifyFinish().addErrback(disconnects.append)
        self.reactor.callLater(
            self.table.delay_ms / 1000,
            self._finish,
            request,
            action,
            is_commit,
            disconnects,
        )
        return NOT_DONE_YET

    def _finish(self, request, action, is_commit, disconnects):
        response = action()
        if is_commit and 'versions' in response and self.table.lose_answers:
            self.table.lose_answers -= 1
            return
        if not disconnects:
            request.setResponseCode(
                409 if is_commit and 'rows' in response else 200
            )
            request.write(json.dumps(response).encode())
            request.finish()


def listen(reactor, address, table):
    """Serve a table at an address; return the port."""
    host, port = address.rsplit(':', 1)
    return reactor.listenTCP(
        int(port), Site(TableResource(reactor, table)), interface=host
    )


if __name__ == '__main__':
    from twisted.internet import reactor

    listen(reactor, sys.argv[1], Table())
    reactor.run()
