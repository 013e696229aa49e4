"""Callers that submit jobs and poll their states, and checks of both.

Each caller keeps its connection to an entry until the connection closes.
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
from soak.platform.promises import COMPLETED_STAYS
from soak.platform.world import HOST_NAME

# An entry responds within 3 s; a paused one does not respond.
TIMEOUT_S = 5
RETRY_INTERVAL_S = 0.3
POLL_INTERVAL_S = 0.1
MEMORY_MB = 100


def sleep(seconds):
    """Return a deferred that fires after a time in s."""
    return deferLater(reactor, seconds, lambda: None)


class Caller:
    """One client with its own connections."""

    def __init__(self, host, ports, first):
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.retryAutomatically = False
        self.agent = Agent(reactor, connectTimeout=1, pool=pool)
        self.host = host
        self.ports = ports
        self.port_index = first

    @inlineCallbacks
    def call(self, method, path, fields=None):
        """Return status and body; status 0 without a response."""
        port_index = self.port_index
        port = self.ports[port_index % len(self.ports)]
        body = json.dumps(fields).encode() if fields is not None else b''
        request = self.agent.request(
            method,
            f'http://{self.host}:{port}{path}'.encode(),
            Headers({'host': [HOST_NAME]}),
            FileBodyProducer(BytesIO(body)) if body else None,
        )
        request.addTimeout(TIMEOUT_S, reactor)
        try:
            response = yield request
            text = yield readBody(response).addTimeout(TIMEOUT_S, reactor)
        except Exception:
            # After any failure the next call goes to another entry.
            self.port_index = max(self.port_index, port_index + 1)
            return 0, {}
        return response.code, json.loads(text)


class Callers:
    """All callers and the states that they received.

    Attributes:
        waiting: Ids of jobs with an open submission.
        broken: Violations, one line each.
        counted: Violations of the promises in ``go_on``, one line each.
    """

    def __init__(self, world, go_on=()):
        self.world = world
        self.run_recorder = world.run_recorder
        ports = world.front_ports
        self.callers = [
            Caller(world.host, ports, first) for first in range(len(ports))
        ]
        self.caller_cycle = cycle(self.callers)
        self.jobs = {}
        self.waiting = set()
        self.accepted = []
        self.refused = set()
        self.completed = set()
        self.broken = []
        self.go_on = frozenset(go_on)
        self.counted = []
        self.is_over = False

    def start(self):
        """Submit the jobs of the plan, and poll states meanwhile."""
        for job in self.world.plan.jobs:
            self.waiting.add(job.job_id)
            reactor.callLater(job.at, self.submit, job)
        for caller in self.callers:
            self._poll_jobs(caller)

    @inlineCallbacks
    def submit(self, job, caller=None):
        """Retry until the job is accepted, or refused if it gives up."""
        self.waiting.add(job.job_id)
        self._expect(job)
        caller, is_first = caller or next(self.caller_cycle), True
        while not self.is_over:
            response = yield caller.call(
                b'POST', f'/q/{job.job_id}', _body(job)
            )
            if self._is_settled(job, is_first, *response):
                break
            is_first = False
            yield sleep(RETRY_INTERVAL_S)
        self.waiting.discard(job.job_id)
        if job.is_twice and job.job_id in self.accepted:
            yield next(self.caller_cycle).call(
                b'POST', f'/q/{job.job_id}', _body(job)
            )

    def open_jobs(self):
        """Return one line for each job that is not accepted or completed."""
        lines = [f'{job_id} is not accepted' for job_id in self.waiting]
        lines += [f'{job_id} is not completed' for job_id in self._live()]
        return lines + self.keepers_down()

    def keepers_down(self):
        """Return a line for each accepted keeper that does not run once."""
        return [
            f'keeper {task} does not run'
            for job_id in self.accepted
            if self.jobs[job_id].is_keeper
            for task in tasks_of(self.jobs[job_id])
            if len(self.run_recorder.running.get(task, ())) != 1
        ]

    def check(self):
        """Compare the runs with the received states; return all violations."""
        started = {row[2].partition('.')[0] for row in self.run_recorder.starts}
        for job_id in self.refused & started:
            self.broken.append(f'{job_id} was refused and has started')
        done = {
            row[1]
            for row in self.run_recorder.ends
            if row[3] is AttemptEnd.DONE
        }
        for job_id in self.completed:
            missing = set(tasks_of(self.jobs[job_id])) - done
            if missing:
                self.broken.append(f'{job_id} is completed without {missing}')
        return self.broken + self.run_recorder.broken

    def _expect(self, job):
        self.jobs[job.job_id] = job
        self.run_recorder.sizes[job.job_id] = Size(job.cpu, MEMORY_MB, 0)
        if job.is_keeper:
            self.run_recorder.keepers.update(tasks_of(job))
        if job.may_copy and self.world.has_copies:
            steps = range(len(job.counts))
            self.run_recorder.copyable.update(
                (job.job_id, str(step)) for step in steps
            )
        if job.is_failing:
            self.run_recorder.failing.update(tasks_of(job))

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
        live -= {job_id for job_id in live if self.jobs[job_id].is_keeper}
        return sorted(live)

    @inlineCallbacks
    def _poll_jobs(self, caller):
        number = 0
        while not self.is_over:
            yield sleep(POLL_INTERVAL_S)
            if self.accepted:
                number += 1
                # Half of the requests are for jobs that are not completed.
                candidates = number % 2 and self._live() or self.accepted
                job_id = candidates[number // 2 % len(candidates)]
                was_completed = job_id in self.completed
                response = yield caller.call(b'GET', f'/q/{job_id}')
                self._on_state(job_id, was_completed, *response)

    def _on_state(self, job_id, was_completed, status, fields):
        state = fields.get('state')
        if status == 410 or state in {'failed', 'cancelled'}:
            self.broken.append(f'accepted {job_id} is told as {status} {state}')
        elif status == 200 and was_completed and state != 'completed':
            self._add(COMPLETED_STAYS, f'{job_id} was completed and is {state}')
        elif state == 'completed':
            self.completed.add(job_id)

    def _add(self, promise, line):
        lines = self.counted if promise in self.go_on else self.broken
        if line not in lines:
            lines.append(line)


def _is_not_run(fields):
    answer = ANSWERS_BY_KIND[ErrorKind.from_wire(fields.get('error', ''))]
    return answer.run_state is RunState.NOT_RUN


def tasks_of(job):
    """Return the names of a job's tasks."""
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
            'speculative': job.may_copy,
            'after': [number - 1] if number else [],
        }
        for number, count in enumerate(job.counts)
    ]
    if job.is_malformed:
        steps[0]['after'] = [len(steps)]
    return {'spec': 'x', 'steps': steps}
