"""Stand-in for the platform's worker: runs tasks under leases, on timers.

One agent session at a time is obeyed: the listing for a new one refuses what
older ones still send. Deadlines are points of the VM's clock.

HTTP: ``POST /tasks/ID/start``, ``/tasks/ID/stop``, ``/tasks/ID/throttle``,
``/leases``;
``GET /tasks``. A task whose lease is not renewed ends by itself. The log of
starts and ends on standard output lets a test check that no task ran twice.
Run: ``python -m standins.worker HOST:PORT``.
"""

import json
import sys
import time
import uuid

from twisted.web.resource import Resource
from twisted.web.server import Site

_BATCH_STEP_MS = 100
_NOTHING = {'cores': 0.0, 'memory_gb': 0.0, 'accelerators': 0}


def vm_clock():
    """Milliseconds of the clock that all processes of a VM share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


class Worker:
    """Tasks in memory, by id."""

    def __init__(self, now=vm_clock, fails=False):
        self.now = now
        self.fails = fails
        self.boot = uuid.uuid4().hex
        self.session = ''
        self.retired = set()
        self.task_by_id = {}
        self.history = []

    def start(self, task_id, command, until, session):
        """Return whether it was started."""
        self.advance()
        known = self.task_by_id.get(task_id)
        is_stale = (
            session != self.session or command['worker_boot'] != self.boot
        )
        is_old = known is not None and known['attempt'] >= command['attempt']
        if is_stale or is_old or until <= self.now():
            return False
        self.task_by_id[task_id] = {
            'task_id': task_id,
            'attempt': command['attempt'],
            'phase': 'failed' if self.fails else 'running',
            'checkpoint': command['checkpoint'],
            'command': command,
            'share': 1.0,
            'used': dict(command.get('size') or _NOTHING),
            'until': until,
            'resumed_at': self.now(),
            'done_ms': float(command['checkpoint'] or 0),
        }
        self._note('start', task_id)
        return True

    def stop(self, task_id, attempt, boot, session):
        """Return phase and checkpoint, None to an old session."""
        if session != self.session or boot != self.boot:
            return None
        self.advance()
        task = self.task_by_id.get(task_id)
        if task is None or task['attempt'] != attempt:
            return {'phase': 'stopped', 'checkpoint': ''}
        self.task_by_id.pop(task_id)
        if task['phase'] == 'running':
            task['phase'] = 'stopped'
            self._note('stop', task_id)
        return {'phase': task['phase'], 'checkpoint': task['checkpoint']}

    def throttle(self, task_id, share):
        self.advance()
        task = self.task_by_id.get(task_id)
        if task is not None and task['share'] != share:
            now = self.now()
            task['done_ms'] += task['share'] * (now - task['resumed_at'])
            task['resumed_at'] = now
            task['share'] = share
            self._note('throttle', task_id)

    def renew(self, until_by_task, session):
        self.advance()
        if session != self.session:
            return
        for task_id, until in until_by_task.items():
            if task_id in self.task_by_id:
                self.task_by_id[task_id]['until'] = until

    def listing(self, session):
        """All tasks, None to an old session; a new one becomes current."""
        self.advance()
        if session in self.retired:
            return None
        if session != self.session:
            self.retired.add(self.session)
            self.session = session
        return list(self.task_by_id.values())

    def running(self):
        """Tasks that run now, also when no command has come for long."""
        return [
            task_id
            for task_id, task in self.task_by_id.items()
            if task['phase'] == 'running' and self.now() <= task['until']
        ]

    def advance(self):
        """Let time take effect: progress, completion, lapsed leases."""
        now = self.now()
        for task_id, task in list(self.task_by_id.items()):
            if task['phase'] != 'running':
                continue
            if now > task['until']:
                self.task_by_id.pop(task_id)
                self._note('lapse', task_id)
                continue
            elapsed = now - task['resumed_at']
            done = task['done_ms'] + task['share'] * elapsed
            task['checkpoint'] = str(
                int(done // _BATCH_STEP_MS) * _BATCH_STEP_MS
            )
            is_batch = task['command']['kind'] == 'batch'
            if is_batch and done >= task['command']['run_ms']:
                task['phase'] = 'completed'
                self._note('complete', task_id)

    def _note(self, what, task_id):
        self.history.append((self.now(), what, task_id))
        print(f'{time.time():.3f} {what} {task_id}', flush=True)


class WorkerResource(Resource):
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
        answer = self._obey(parts, body)
        if answer is None:
            request.setResponseCode(409)
        return json.dumps(answer or {}).encode()

    def _obey(self, parts, body):
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
