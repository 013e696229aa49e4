"""Callers that hand jobs in and ask for them, and what they must see.

Each keeps its open connection to an entry until that connection ends.
"""

import json
from io import BytesIO
from itertools import cycle

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    readBody,
)
from twisted.web.http_headers import Headers

from hyssopring.errors import ANSWERS_BY_KIND, ErrorKind, RunState
from hyssopring.jobs.model import AttemptEnd, Size
from soak.platform.world import HOST_NAME

# An entry answers within the caller's 3 s; a paused one not at all.
PATIENCE_S = 5
RETRY_S = 0.3
ASK_EACH_S = 0.1
MEMORY_MB = 100


def nap(seconds):
    """Return a deferred for later."""
    return deferLater(reactor, seconds, lambda: None)


class Caller:
    """One client with its own connections."""

    def __init__(self, host, ports, first):
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.retryAutomatically = False
        self.agent = Agent(reactor, connectTimeout=1, pool=pool)
        self.host = host
        self.ports = ports
        self.turn = first

    @inlineCallbacks
    def call(self, method, path, fields=None):
        """Return status and body; 0 when no answer came."""
        turn = self.turn
        port = self.ports[turn % len(self.ports)]
        body = json.dumps(fields).encode() if fields is not None else b''
        asking = self.agent.request(
            method,
            f'http://{self.host}:{port}{path}'.encode(),
            Headers({'host': [HOST_NAME]}),
            FileBodyProducer(BytesIO(body)) if body else None,
        )
        asking.addTimeout(PATIENCE_S, reactor)
        try:
            answer = yield asking
            told = yield readBody(answer).addTimeout(PATIENCE_S, reactor)
        except Exception:
            # Whatever broke the call, another entry is tried the next time.
            self.turn = max(self.turn, turn + 1)
            return 0, {}
        return answer.code, json.loads(told)


class Callers:
    """All callers, what they were told, and what must not have been."""

    def __init__(self, world):
        self.world = world
        self.book = world.book
        ports = world.front_ports
        self.callers = [
            Caller(world.host, ports, first) for first in range(len(ports))
        ]
        self.turns = cycle(self.callers)
        self.jobs = {}
        self.waiting = set()
        self.accepted = []
        self.refused = set()
        self.completed = set()
        self.broken = []
        self.is_over = False

    def start(self):
        """Hand in what the plan says, and ask all the while."""
        for job in self.world.plan.jobs:
            self.waiting.add(job.job_id)
            reactor.callLater(job.at, self.hand_in, job)
        for caller in self.callers:
            self._ask(caller)

    @inlineCallbacks
    def hand_in(self, job, caller=None):
        """Try until it is accepted, or refused to one that gives up."""
        self.waiting.add(job.job_id)
        self._expect(job)
        caller, is_first = caller or next(self.turns), True
        while not self.is_over:
            told = yield caller.call(b'POST', f'/q/{job.job_id}', _body(job))
            if self._is_settled(job, is_first, *told):
                break
            is_first = False
            yield nap(RETRY_S)
        self.waiting.discard(job.job_id)
        if job.is_twice and job.job_id in self.accepted:
            yield next(self.turns).call(b'POST', f'/q/{job.job_id}', _body(job))

    def open_jobs(self):
        """What quiet has still to settle, in words."""
        lines = [f'{job_id} is not accepted' for job_id in self.waiting]
        lines += [f'{each} is not completed' for each in self._live()]
        return lines + self.keepers_down()

    def keepers_down(self):
        """The accepted keepers that do not run just once."""
        return [
            f'keeper {task} does not run'
            for job_id in self.accepted
            if self.jobs[job_id].is_keeper
            for task in tasks_of(self.jobs[job_id])
            if len(self.book.running.get(task, ())) != 1
        ]

    def check(self):
        """Compare what ran with what callers were told; cheap."""
        started = {row[2].partition('.')[0] for row in self.book.starts}
        for job_id in self.refused & started:
            self.broken.append(f'{job_id} was refused and has started')
        done = {row[1] for row in self.book.ends if row[3] is AttemptEnd.DONE}
        for job_id in self.completed:
            missing = set(tasks_of(self.jobs[job_id])) - done
            if missing:
                self.broken.append(f'{job_id} is completed without {missing}')
        return self.broken + self.book.broken

    def _expect(self, job):
        self.jobs[job.job_id] = job
        self.book.sizes[job.job_id] = Size(job.cpu, MEMORY_MB, 0)
        if job.is_keeper:
            self.book.keepers.update(tasks_of(job))
        if job.is_failing:
            self.book.failing.update(tasks_of(job))

    def _is_settled(self, job, is_first, status, fields):
        if status == 200:
            self.accepted.append(job.job_id)
            if job.is_malformed:
                self.broken.append(f'{job.job_id} is malformed and accepted')
            return True
        if status == 0 or not (job.gives_up or job.is_malformed):
            return False
        is_refused = is_first and _is_not_run(fields) or status == 400
        if is_refused:
            self.refused.add(job.job_id)
        return is_refused

    def _live(self):
        live = set(self.accepted) - self.completed
        live -= {each for each in live if self.jobs[each].is_keeper}
        return sorted(live)

    @inlineCallbacks
    def _ask(self, caller):
        number = 0
        while not self.is_over:
            yield nap(ASK_EACH_S)
            if self.accepted:
                number += 1
                # Half of the questions are about jobs that may have ended.
                among = number % 2 and self._live() or self.accepted
                job_id = among[number // 2 % len(among)]
                was_completed = job_id in self.completed
                told = yield caller.call(b'GET', f'/q/{job_id}')
                self._told(job_id, was_completed, *told)

    def _told(self, job_id, was_completed, status, fields):
        state = fields.get('state')
        if status == 410 or state in {'failed', 'cancelled'}:
            self.broken.append(f'accepted {job_id} is told as {status} {state}')
        elif status == 200 and was_completed and state != 'completed':
            self.broken.append(f'{job_id} was completed and is {state}')
        elif state == 'completed':
            self.completed.add(job_id)


def _is_not_run(fields):
    answer = ANSWERS_BY_KIND[ErrorKind.from_wire(fields.get('error', ''))]
    return answer.run_state is RunState.NOT_RUN


def tasks_of(job):
    return [
        f'{job.job_id}.0.{step}.{index}'
        for step, count in enumerate(job.counts)
        for index in range(count)
    ]


def _body(job):
    steps = [
        {
            'count': count,
            'cpu': job.cpu,
            'memMb': MEMORY_MB,
            'estimateMs': 1000,
            'longRunning': job.is_keeper,
            'after': [number - 1] if number else [],
        }
        for number, count in enumerate(job.counts)
    ]
    if job.is_malformed:
        steps[0]['after'] = [len(steps)]
    return {'spec': 'x', 'steps': steps}
