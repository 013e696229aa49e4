"""A stand-in for the platform's worker, which simulates tasks under leases.

The worker accepts commands of one agent session at a time: a listing for a new
session fences off the older ones. Lease expiries are times of the VM's clock.

HTTP: ``POST /tasks/ID/start``, ``/tasks/ID/stop``, ``/tasks/ID/throttle``,
``/leases``;
``GET /tasks``. A task stops when its lease expires. The log of starts
and ends on standard output lets a test check that no task ran twice.
Run: ``python -m standins.worker HOST:PORT``.
"""

import json
import sys
import time
import uuid

from twisted.web.resource import Resource
from twisted.web.server import Site

_CHECKPOINT_INTERVAL_MS = 100
_NO_RESOURCES = {'cores': 0.0, 'memory_gb': 0.0, 'accelerators': 0}


def vm_clock():
    """Return ms of the clock that all processes of a VM share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


class Worker:
    """Simulated tasks in memory.

    Attributes:
        fails: Whether each task fails at its start.
        retired: Sessions that were replaced.
        history: Time in ms, event and task of each start and end.
    """

    def __init__(self, now=vm_clock, fails=False):
        self.now = now
        self.fails = fails
        self.boot = uuid.uuid4().hex
        self.session = ''
        self.retired = set()
        self.task_by_id = {}
        self.history = []

    def start(self, task_id, command, until, session):
        """Start a task; return False if the command is stale or expired."""
        self.advance()
        present = self.task_by_id.get(task_id)
        is_stale = (
            session != self.session or command['worker_boot'] != self.boot
        )
        is_old = (
            present is not None and present['attempt'] >= command['attempt']
        )
        if is_stale or is_old or until <= self.now():
            return False
        self.task_by_id[task_id] = {
            'task_id': task_id,
            'attempt': command['attempt'],
            'phase': 'failed' if self.fails else 'running',
            'checkpoint': command['checkpoint'],
            'command': command,
            'share': 1.0,
            'used': dict(command.get('size') or _NO_RESOURCES),
            'until': until,
            'resumed_at': self.now(),
            'done_ms': float(command['checkpoint'] or 0),
        }
        self._log('start', task_id)
        return True

    def stop(self, task_id, attempt, boot, session):
        """Stop a task; return its phase and checkpoint, None if stale."""
        if session != self.session or boot != self.boot:
            return None
        self.advance()
        task = self.task_by_id.get(task_id)
        if task is None or task['attempt'] != attempt:
            return {'phase': 'stopped', 'checkpoint': ''}
        self.task_by_id.pop(task_id)
        if task['phase'] == 'running':
            task['phase'] = 'stopped'
            self._log('stop', task_id)
        return {'phase': task['phase'], 'checkpoint': task['checkpoint']}

    def throttle(self, task_id, share):
        """Set the share of processor time that a task gets."""
        self.advance()
        task = self.task_by_id.get(task_id)
        if task is not None and task['share'] != share:
            now_ms = self.now()
            task['done_ms'] += task['share'] * (now_ms - task['resumed_at'])
            task['resumed_at'] = now_ms
            task['share'] = share
            self._log('throttle', task_id)

    def renew(self, until_by_task, session):
        """Set the lease expiries of tasks; ignore a stale session."""
        self.advance()
        if session != self.session:
            return
        for task_id, until in until_by_task.items():
            if task_id in self.task_by_id:
                self.task_by_id[task_id]['until'] = until

    def listing(self, session):
        """Return all tasks, None to a replaced session; adopt a new one."""
        self.advance()
        if session in self.retired:
            return None
        if session != self.session:
            self.retired.add(self.session)
            self.session = session
        return list(self.task_by_id.values())

    def running(self):
        """Return ids of running tasks whose leases have not expired."""
        return [
            task_id
            for task_id, task in self.task_by_id.items()
            if task['phase'] == 'running' and self.now() <= task['until']
        ]

    def advance(self):
        """Update progress, completions and expired leases to the present."""
        now_ms = self.now()
        for task_id, task in list(self.task_by_id.items()):
            if task['phase'] != 'running':
                continue
            if now_ms > task['until']:
                self.task_by_id.pop(task_id)
                self._log('lapse', task_id)
                continue
            elapsed_ms = now_ms - task['resumed_at']
            done_ms = task['done_ms'] + task['share'] * elapsed_ms
            task['checkpoint'] = str(
                int(done_ms // _CHECKPOINT_INTERVAL_MS)
                * _CHECKPOINT_INTERVAL_MS
            )
            is_batch = task['command']['kind'] == 'batch'
            if is_batch and done_ms >= task['command']['run_ms']:
                task['phase'] = 'completed'
                self._log('complete', task_id)

    def _log(self, event, task_id):
        self.history.append((self.now(), event, task_id))
        print(f'{time.time():.3f} {event} {task_id}', flush=True)


class WorkerResource(Resource):
    """Serves a worker over HTTP."""

    isLeaf = True

    def __init__(self, worker):
        super().__init__()
        self.worker = worker

    def render_GET(self, request):
        session = request.args.get(b'session', [b''])[0].decode()
        tasks = self.worker.listing(session)
        if tasks is None:
            request.setResponseCode(409)
            return b'{}'
        return json.dumps({'boot': self.worker.boot, 'tasks': tasks}).encode()

    def render_POST(self, request):
        body = json.loads(request.content.read())
        parts = request.path.decode().strip('/').split('/')
        response = self._execute(parts, body)
        if response is None:
            request.setResponseCode(409)
        return json.dumps(response or {}).encode()

    def _execute(self, parts, body):
        session = body['session']
        if parts == ['leases']:
            self.worker.renew(body['until'], session)
            return {}
        _, task_id, verb = parts
        if verb == 'start':
            is_started = self.worker.start(
                task_id, body['command'], body['until'], session
            )
            return {} if is_started else None
        if verb == 'throttle':
            self.worker.throttle(task_id, body['share'])
            return {}
        return self.worker.stop(
            task_id, body['attempt'], body['worker_boot'], session
        )


def listen(reactor, address, worker):
    """Serve a worker at an address; return the port."""
    host, port = address.rsplit(':', 1)
    return reactor.listenTCP(
        int(port), Site(WorkerResource(worker)), interface=host
    )


if __name__ == '__main__':
    from twisted.internet import reactor
    from twisted.internet.task import LoopingCall

    worker = Worker(fails='--fails' in sys.argv)
    LoopingCall(worker.advance).start(0.1)
    listen(reactor, sys.argv[1], worker)
    reactor.run()
