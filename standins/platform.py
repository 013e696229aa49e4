"""A stand-in for the platform over HTTP: its store, and runners that report.

It follows the platform's documentation and uses the store and the workers of
the virtual deployment, so that both behave alike.
Run: ``python -m standins.platform FILE``, where the file holds the addresses.
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
from standins.jobs.rows import PAGE_ROWS, MemoryRows, is_within_limits
from standins.jobs.run_recorder import RunRecorder
from standins.jobs.worker import SimWorker
from standins.runner_wire import RunnerCalls, report_fields

HEARTBEAT_INTERVAL_S = 0.5
TASK_DURATION_MS = 300
BAD_REQUEST = 400


def _row_key(fields):
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
            RowCheck(_row_key(check), check['ver'])
            for check in body.get('precondition', ())
        ),
        tuple(
            RowPut(_row_key(put), base64.b64decode(put['value']).decode())
            for put in body.get('writes', ())
        ),
        tuple(_row_key(removal) for removal in body.get('remove', ())),
    )


class StoreResource(Resource):
    """Serves /-/rows-tx, /-/rows-get and /-/rows-feed with injected faults.

    Attributes:
        seen_as: Replacements in the texts of returned rows, such as the
            address of a proxy for the address that a process wrote.
    """

    isLeaf = True

    def __init__(self, rows, seen_as=None):
        super().__init__()
        self.rows = rows
        self.seen_as = seen_as or {}

    def render(self, request):
        """Serve a request; a slow store delays it half before, half after."""
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
        if not is_within_limits(transaction):
            self._send(request, BAD_REQUEST, {})
            return
        if self.rows.lose_next:
            self.rows.lose_next -= 1
            reactor.callLater(self.rows.late_s, self.rows.apply, transaction)
            return
        outcome = self.rows.apply(transaction)
        if isinstance(outcome, Committed):
            self._send(request, 200, {'ver': outcome.version})
        else:
            self._send(request, 412, {'rows': self._row_fields(outcome.rows)})

    def _read(self, request):
        query = {
            name.decode(): texts[0].decode()
            for name, texts in request.args.items()
        }
        if request.path == b'/-/rows-feed':
            self._feed(request, query, int(query['waitMs']))
            return
        part, first = query.get('part', ''), query.get('from', '')
        limit = int(query.get('limit', PAGE_ROWS))
        rows, has_more = self.rows.page(query['table'], part, first, limit)
        fields = {'rows': self._row_fields(rows), 'hasMore': has_more}
        self._send(request, 200, {**fields, 'ver': self.rows.version})

    def _feed(self, request, query, wait_ms):
        if int(query['after']) < self.rows.kept_from:
            self._send(request, 410, {})
            return
        rows = [
            row
            for row in self.rows.changes
            if row.row_key.table == query['table']
            and row.version > int(query['after'])
        ]
        if not rows and wait_ms > 0:
            reactor.callLater(0.05, self._feed, request, query, wait_ms - 50)
            return
        fields = {'rows': self._row_fields(rows), 'ver': self.rows.version}
        self._send(request, 200, fields)

    def _row_fields(self, rows):
        return [_fields(self._with_replacements(row)) for row in rows]

    def _with_replacements(self, row):
        text = row.text
        for written, seen in self.seen_as.items():
            text = text.replace(written, seen)
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
    """Serves /-/run-start, /-/run-stop, /-/hold and /-/pace of a runner."""

    isLeaf = True

    def __init__(self, worker):
        super().__init__()
        self.calls = RunnerCalls(worker)

    def render_POST(self, request):
        body = json.loads(request.content.read())
        worker_id = request.getHeader('expected-instance')
        if 'spec' in body:
            self._record_size(body['task'])
        wait_ms = body.get('waitMs', 0)
        reactor.callLater(
            0, self._call_worker, request, wait_ms, worker_id, body
        )
        return NOT_DONE_YET

    def _record_size(self, task):
        """Record a task without resources, as its size is not checked."""
        sizes = self.calls.worker.run_recorder.sizes
        sizes.setdefault(task.split('.')[0], Size())

    def _call_worker(self, request, wait_ms, worker_id, body):
        """Call the worker; a hold with a wait waits for a task's end."""
        self.calls.worker.settle()
        new_ends = [
            end
            for end in self.calls.worker.ends
            if end.number > body.get('lastSeen', 0)
        ]
        if wait_ms > 0 and not new_ends:
            reactor.callLater(
                0.02, self._call_worker, request, wait_ms - 20, worker_id, body
            )
            return
        self.calls.call(request.path.decode(), worker_id, body).addCallbacks(
            lambda outcome: self._write(request, *outcome),
            # A lost response: the call may still take effect.
            lambda _failure: None,
        )

    def _write(self, request, status, fields):
        if not request._disconnected:
            request.setResponseCode(status)
            request.write(json.dumps(fields).encode())
            request.finish()


def send_heartbeats(agent, worker, control):
    """Report to the agent on the runner's VM until the runner is removed."""
    if worker.is_gone:
        return
    reactor.callLater(
        HEARTBEAT_INTERVAL_S, send_heartbeats, agent, worker, control
    )
    if worker.is_down:
        return
    body = {**report_fields(worker), 'address': control}
    url = f'http://{control}/-/instances/{worker.boot}/heartbeat'.encode()
    producer = _BytesProducer(json.dumps(body).encode())
    headers = Headers({'content-type': ['application/json']})
    agent.request(b'POST', url, headers, producer).addBoth(
        lambda _response: None
    )


def main(path):
    """Serve the store and the runners of a file until the process ends."""
    with open(path, encoding='utf-8') as opened:
        config = json.load(opened)
    rows = MemoryRows(reactor)
    rows.version = 1
    row_key = RowKey('op', '', 'config')
    rows.rows[row_key] = Row(row_key, json.dumps(config['configuration']), 1)
    host, port = parse_address(config['store'])
    reactor.listenTCP(port, Site(StoreResource(rows)), interface=host)
    run_recorder = RunRecorder()
    for number, runner in enumerate(config['runners']):
        worker = SimWorker(
            reactor,
            f'runner-{number}',
            run_recorder,
            lambda task: TASK_DURATION_MS,
        )
        host, port = parse_address(runner['app'])
        reactor.listenTCP(port, Site(RunnerResource(worker)), interface=host)
        send_heartbeats(Agent(reactor), worker, runner['control'])
    reactor.run()


if __name__ == '__main__':
    main(sys.argv[1])
