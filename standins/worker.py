"""Stand-in for the platform's worker: runs tasks under leases, on timers.

HTTP: ``POST /tasks/ID/start``, ``/tasks/ID/stop``, ``/tasks/ID/throttle``,
``/leases``;
``GET /tasks``. A task whose lease is not renewed ends by itself. The log of
starts and ends on standard output lets a test check that no task ran twice.
Run: ``python -m standins.worker HOST:PORT``.
"""

import json
import sys
import time

from twisted.web.resource import Resource
from twisted.web.server import Site

_BATCH_STEP_MS = 100
_NOTHING = {'cores': 0.0, 'memory_gb': 0.0, 'accelerators': 0}


class Worker:
    """Tasks in memory, by id."""

    def __init__(self, now=lambda: time.monotonic() * 1000, fails=False):
        self.now = now
        self.fails = fails
        self.task_by_id = {}
        self.history = []

    def start(self, task_id, command, lease_ms):
        self.advance()
        self.task_by_id[task_id] = {
            'task_id': task_id,
            'attempt': command['attempt'],
            'phase': 'failed' if self.fails else 'running',
            'checkpoint': command['checkpoint'],
            'command': command,
            'share': 1.0,
            'used': dict(command.get('size') or _NOTHING),
            'until': self.now() + lease_ms,
            'resumed_at': self.now(),
            'done_ms': float(command['checkpoint'] or 0),
        }
        self._note('start', task_id)

    def stop(self, task_id):
        self.advance()
        task = self.task_by_id.pop(task_id, None)
        if task is None:
            return ''
        self._note('stop', task_id)
        return task['checkpoint']

    def throttle(self, task_id, share):
        self.advance()
        task = self.task_by_id.get(task_id)
        if task is not None and task['share'] != share:
            now = self.now()
            task['done_ms'] += task['share'] * (now - task['resumed_at'])
            task['resumed_at'] = now
            task['share'] = share
            self._note('throttle', task_id)

    def renew(self, lease_ms_by_task):
        self.advance()
        for task_id, lease_ms in lease_ms_by_task.items():
            if task_id in self.task_by_id:
                self.task_by_id[task_id]['until'] = self.now() + lease_ms

    def listing(self):
        self.advance()
        return list(self.task_by_id.values())

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
        return json.dumps({'tasks': self.worker.listing()}).encode()

    def render_POST(self, request):
        body = json.loads(request.content.read())
        parts = request.path.decode().strip('/').split('/')
        if parts == ['leases']:
            self.worker.renew(body)
            return b'{}'
        _, task_id, verb = parts
        if verb == 'start':
            self.worker.start(task_id, body['command'], body['lease_ms'])
            return b'{}'
        if verb == 'throttle':
            self.worker.throttle(task_id, body['share'])
            return b'{}'
        checkpoint = self.worker.stop(task_id)
        return json.dumps({'checkpoint': checkpoint}).encode()


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
