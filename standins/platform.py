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
from hyssopring.jobs.model import AttemptEnd
from hyssopring.jobs.rows import (
    Committed,
    Row,
    RowCheck,
    RowKey,
    RowPut,
    Transaction,
)
from hyssopring.jobs.worker_port import (
    Look,
    Start,
    StartOutcome,
    WorkerReplaced,
)
from hyssopring.web_client import _BytesProducer
from standins.jobs.rows import MemoryRows
from standins.jobs.book import Book
from standins.jobs.worker import SimWorker

BEAT_S = 0.5
WORK_MS = 300
REASON_BY_OUTCOME = {
    StartOutcome.FENCED: 'fence',
    StartOutcome.OLD: 'old',
    StartOutcome.LATE: 'late',
    StartOutcome.NO_ROOM: 'room',
}


def _place(fields):
    return RowKey(fields['table'], fields['part'], fields['key'])


def _fields(row):
    fields = {
        'table': row.place.table,
        'part': row.place.part,
        'key': row.place.key,
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
            if row.place.table == asked['table']
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


def _word(how):
    return 'lapsed' if how is AttemptEnd.LOST else how.value


class RunnerResource(Resource):
    """/-/run-start, /-/run-stop, /-/hold and /-/pace of one runner."""

    isLeaf = True

    def __init__(self, worker):
        super().__init__()
        self.worker = worker

    def render_POST(self, request):
        body = json.loads(request.content.read())
        boot = request.getHeader('expected-instance')
        call = getattr(
            self,
            '_' + request.path.decode().removeprefix('/-/').replace('-', '_'),
        )
        reactor.callLater(
            0, self._settle, request, call, boot, body, body.get('waitMs', 0)
        )
        return NOT_DONE_YET

    def _settle(self, request, call, boot, body, wait_ms):
        """A hold's answer waits for an end."""
        self.worker.settle()
        fresh = [
            end
            for end in self.worker.ends
            if end.number > body.get('lastSeen', 0)
        ]
        if wait_ms > 0 and not fresh:
            reactor.callLater(
                0.02, self._settle, request, call, boot, body, wait_ms - 20
            )
            return
        call(boot, body).addCallbacks(
            lambda outcome: self._write(request, *outcome),
            lambda failure: self._not_done(request, failure),
        )

    def _not_done(self, request, failure):
        """An order whose answer is lost gets none: it may yet be done."""
        if failure.check(WorkerReplaced):
            self._write(request, 421, {})

    def _write(self, request, status, fields):
        if not request._disconnected:
            request.setResponseCode(status)
            request.write(
                json.dumps(
                    {'clockMs': self.worker.clock_ms(), **fields}
                ).encode()
            )
            request.finish()

    def _run_start(self, boot, body):
        start = Start(
            boot,
            body['fencingToken'],
            body['task'],
            body['runId'],
            body['spec'],
            body.get('checkpoint', ''),
            body['untilMs'],
        )
        job_id = body['task'].split('.')[0]
        self.worker.book.sizes.setdefault(
            job_id, self.worker.room.minus(self.worker.room)
        )
        return self.worker.start(start).addCallback(_start_answer)

    def _run_stop(self, boot, body):
        stopping = self.worker.stop(
            boot, body['fencingToken'], body['task'], body['runId']
        )
        return stopping.addCallback(lambda _taken: (200, {}))

    def _pace(self, boot, body):
        pacing = self.worker.set_pace(
            boot,
            body['fencingToken'],
            body['task'],
            body['runId'],
            body['percent'],
        )
        return pacing.addCallback(lambda _taken: (200, {}))

    def _hold(self, boot, body):
        look = Look(
            boot, body['fencingToken'], body['lastSeen'], body.get('untilMs'), 0
        )
        return self.worker.look(look).addCallback(_listing_answer)


def _start_answer(outcome):
    if outcome is StartOutcome.STARTED:
        return 200, {}
    return 409, {'reason': REASON_BY_OUTCOME[outcome]}


def _listing_answer(listing):
    running = [
        [row.task, row.attempt, row.checkpoint, row.percent, row.load]
        for row in listing.rows
    ]
    finished = [
        [end.number, end.task, end.attempt, _word(end.how), end.checkpoint]
        for end in listing.ends
    ]
    return 200, {'running': running, 'finished': finished}


def beat(agent, worker, control):
    """Report to the agent on the runner's own machine until it is gone."""
    if worker.is_gone:
        return
    told = worker.announcement()
    body = {
        'service': told.service,
        'address': control,
        'zone': 'zone',
        'version': 'v1',
        'capacity': 8,
        'state': 'draining' if told.is_leaving else 'ready',
        'coldRemainingMs': 0,
        'freeCapacity': {
            'cpu': told.room.cpu_millis,
            'memMb': told.room.memory_mb,
            'gpu': 0,
        },
        'labels': list(told.labels),
        'clockMs': told.clock_ms,
        'sequence': told.sequence,
    }
    url = f'http://{control}/-/instances/{told.boot}/heartbeat'.encode()
    producer = _BytesProducer(json.dumps(body).encode())
    headers = Headers({'content-type': ['application/json']})
    agent.request(b'POST', url, headers, producer).addBoth(lambda _answer: None)
    reactor.callLater(BEAT_S, beat, agent, worker, control)


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
