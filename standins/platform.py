"""The users' platform over HTTP: its store, and runners that report.

Written from its pages; run as ``python -m standins.platform FILE``, where the
file holds the addresses. It shares the store and the workers of the virtual
deployment, so that both say the same.
"""

import base64
import json
import sys
from dataclasses import replace

from twisted.internet import reactor
from twisted.web.client import Agent
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from hyssopring.addresses import parse_address
from hyssopring.jobs.model import Size
from hyssopring.jobs.rows import (
    Committed,
    Row,
    RowCheck,
    RowKey,
    RowPut,
    Transaction,
)
from hyssopring.web_client import _BytesProducer
from standins.jobs.rows import MemoryRows
from standins.jobs.book import Book
from standins.jobs.worker import SimWorker
from standins.runner_wire import RunnerCalls, report_fields

BEAT_S = 0.5
WORK_MS = 300


def _place(fields):
    return RowKey(fields['table'], fields['part'], fields['key'])


def _fields(row):
    fields = {
        'table': row.row_key.table,
        'part': row.row_key.part,
        'key': row.row_key.key,
        'ver': row.version,
    }
    if row.is_removed:
        return {**fields, 'removed': True}
    return {**fields, 'value': base64.b64encode(row.text.encode()).decode()}


def _transaction(body):
    return Transaction(
        tuple(
            RowCheck(_place(each), each['ver'])
            for each in body.get('precondition', ())
        ),
        tuple(
            RowPut(_place(each), base64.b64decode(each['value']).decode())
            for each in body.get('writes', ())
        ),
        tuple(_place(each) for each in body.get('remove', ())),
    )


class StoreResource(Resource):
    """/-/rows-tx, /-/rows-get and /-/rows-feed, with the faults of the rows.

    ``seen_as`` gives texts that its callers see in place of others in rows:
    so a process finds a proxy where another one wrote its own address.
    """

    isLeaf = True

    def __init__(self, rows, seen_as=None):
        super().__init__()
        self.rows = rows
        self.seen_as = seen_as or {}

    def render(self, request):
        """Half of the time that a slow store takes is before the deed."""
        body = request.content.read()
        if not self.rows.is_silent:
            reactor.callLater(self.rows.slow_s / 2, self._serve, request, body)
        return NOT_DONE_YET

    def _serve(self, request, body):
        if self.rows.is_down:
            self._send(request, 503, {})
        elif request.method == b'POST':
            self._commit(request, _transaction(json.loads(body)))
        else:
            self._read(request)

    def _commit(self, request, transaction):
        if self.rows.lose_next:
            self.rows.lose_next -= 1
            reactor.callLater(self.rows.late_s, self.rows.apply, transaction)
            return
        outcome = self.rows.apply(transaction)
        if isinstance(outcome, Committed):
            self._send(request, 200, {'ver': outcome.version})
        else:
            self._send(request, 412, {'rows': self._shown(outcome.rows)})

    def _read(self, request):
        asked = {
            name.decode(): texts[0].decode()
            for name, texts in request.args.items()
        }
        if request.path == b'/-/rows-feed':
            self._feed(request, asked, int(asked['waitMs']))
            return
        part, first = asked.get('part', ''), asked.get('from', '')
        rows = [
            row
            for place, row in sorted(
                self.rows.rows.items(), key=lambda item: item[0].key
            )
            if place.table == asked['table']
            and place.part == part
            and place.key >= first
        ]
        fields = {'rows': self._shown(rows), 'hasMore': False}
        self._send(request, 200, {**fields, 'ver': self.rows.version})

    def _feed(self, request, asked, wait_ms):
        if int(asked['after']) < self.rows.kept_from:
            self._send(request, 410, {})
            return
        rows = [
            row
            for row in self.rows.changes
            if row.row_key.table == asked['table']
            and row.version > int(asked['after'])
        ]
        if not rows and wait_ms > 0:
            reactor.callLater(0.05, self._feed, request, asked, wait_ms - 50)
            return
        fields = {'rows': self._shown(rows), 'ver': self.rows.version}
        self._send(request, 200, fields)

    def _shown(self, rows):
        return [_fields(self._renamed(row)) for row in rows]

    def _renamed(self, row):
        text = row.text
        for told, seen in self.seen_as.items():
            text = text.replace(told, seen)
        return replace(row, text=text)

    def _send(self, request, status, fields):
        reactor.callLater(
            self.rows.slow_s / 2, self._write, request, status, fields
        )

    def _write(self, request, status, fields):
        if not request._disconnected:
            now_ms = int(reactor.seconds() * 1000)
            request.setResponseCode(status)
            request.write(json.dumps({**fields, 'nowMs': now_ms}).encode())
            request.finish()


class RunnerResource(Resource):
    """/-/run-start, /-/run-stop, /-/hold and /-/pace of one runner."""

    isLeaf = True

    def __init__(self, worker):
        super().__init__()
        self.calls = RunnerCalls(worker)

    def render_POST(self, request):
        body = json.loads(request.content.read())
        worker_id = request.getHeader('expected-instance')
        if 'spec' in body:
            self._note_size(body['task'])
        wait_ms = body.get('waitMs', 0)
        reactor.callLater(0, self._settle, request, wait_ms, worker_id, body)
        return NOT_DONE_YET

    def _note_size(self, task):
        """Tasks take no room here."""
        sizes = self.calls.worker.book.sizes
        sizes.setdefault(task.split('.')[0], Size())

    def _settle(self, request, wait_ms, worker_id, body):
        """A hold's answer waits for an end."""
        self.calls.worker.settle()
        fresh = [
            end
            for end in self.calls.worker.ends
            if end.number > body.get('lastSeen', 0)
        ]
        if wait_ms > 0 and not fresh:
            reactor.callLater(
                0.02, self._settle, request, wait_ms - 20, worker_id, body
            )
            return
        self.calls.call(request.path.decode(), worker_id, body).addCallbacks(
            lambda outcome: self._write(request, *outcome),
            # An order whose answer is lost gets none: it may yet be done.
            lambda _failure: None,
        )

    def _write(self, request, status, fields):
        if not request._disconnected:
            request.setResponseCode(status)
            request.write(json.dumps(fields).encode())
            request.finish()


def beat(agent, worker, control):
    """Report to the agent on the runner's own machine until it is gone."""
    if worker.is_gone:
        return
    reactor.callLater(BEAT_S, beat, agent, worker, control)
    if worker.is_down:
        return
    body = {**report_fields(worker), 'address': control}
    url = f'http://{control}/-/instances/{worker.boot}/heartbeat'.encode()
    producer = _BytesProducer(json.dumps(body).encode())
    headers = Headers({'content-type': ['application/json']})
    agent.request(b'POST', url, headers, producer).addBoth(lambda _answer: None)


def main(path):
    """Serve what the file names until the process is ended."""
    with open(path, encoding='utf-8') as opened:
        config = json.load(opened)
    rows = MemoryRows(reactor)
    rows.version = 1
    place = RowKey('op', '', 'config')
    rows.rows[place] = Row(place, json.dumps(config['configuration']), 1)
    host, port = parse_address(config['store'])
    reactor.listenTCP(port, Site(StoreResource(rows)), interface=host)
    book = Book()
    for number, runner in enumerate(config['runners']):
        worker = SimWorker(
            reactor, f'runner-{number}', book, lambda task: WORK_MS
        )
        host, port = parse_address(runner['app'])
        reactor.listenTCP(port, Site(RunnerResource(worker)), interface=host)
        beat(Agent(reactor), worker, runner['control'])
    reactor.run()


if __name__ == '__main__':
    main(sys.argv[1])
