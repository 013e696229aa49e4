"""The platform's stand-ins, observed: what they do is told to the checks."""

import zlib

from hyssopring.placement.records import TaskState
from hyssopring.protocol.messages import Resources
from standins.virtual import VirtualBackend, VirtualCallers
from standins.worker import Worker

__all__ = (
    'ObservedBackend',
    'ObservedCallers',
    'ObservedWorker',
    'classify',
)


BACKEND_SIZE = Resources(1.0, 2.0, 0)
_KNOWN_MS = 1500.0
_FACTORS = (1.0, 1.0, 0.2, 1.0, 4.0)


class ObservedBackend(VirtualBackend):
    """Tells of each run."""

    def __init__(self, world, name, service_name, slots=4):
        super().__init__(world.loop, name, service_name, slots)
        self.world = world
        self.left_at = None
        self.up_since = self.loop.now
        self.running = {}

    def is_long_up(self):
        """Whether its agent must know of it."""
        return not self.is_dead and self.loop.now > self.up_since + _KNOWN_MS

    def come_up(self):
        """The same name, a new process."""
        self.is_dead = False
        self.up_since = self.loop.now

    def __str__(self):
        return self.name

    def leave(self):
        """Announce that it is leaving, from now on."""
        self.is_leaving = True
        self.left_at = self.loop.now

    def serve(self, request, timeout_ms, done):
        if self.is_dead:
            super().serve(request, timeout_ms, done)
            return
        submission = self.world.promises.on_run(self, request)
        self.running[request.request_id] = submission

        def finish(response):
            self.running.pop(request.request_id, None)
            done(response)

        super().serve(request, timeout_ms, finish)
        self.world.moment(submission.kind, self.agent_of())

    def agent_of(self):
        for agent in self.world.agents():
            if self in agent.backend_by_name.values():
                return agent
        return None


class ObservedCallers(VirtualCallers):
    """Tells of each answer."""

    def __init__(self, promises):
        super().__init__()
        self.promises = promises

    def answer(self, request_id, answer):
        self.promises.on_answer(request_id, answer)
        super().answer(request_id, answer)


class ObservedWorker(Worker):
    """Tells of each start, and knows what truly runs."""

    def __init__(self, world, agent):
        super().__init__(agent.core._clock.now)
        self.world = world
        self.name = f'worker of {agent.name}'
        self.agent_name = agent.name
        self.capacity = agent.core.identity.capacity

    def running(self):
        self.advance()
        return {
            task_id: task
            for task_id, task in self.task_by_id.items()
            if task['phase'] == 'running'
        }

    def start(self, task_id, command, until, session):
        is_here = task_id in self.running()
        # Declared run times are far off for some tasks, either way.
        factor = _FACTORS[zlib.crc32(task_id.encode()) % len(_FACTORS)]
        command['run_ms'] *= factor
        if not super().start(task_id, command, until, session):
            return False
        self.world.promises.check(
            not is_here, 'no task runs in two places', f'{task_id} twice here'
        )
        task = self.task_by_id[task_id]
        if task['phase'] == 'running':
            self.world.promises.on_start(self.world.workers, self, task)
            self.world.moment(command['kind'], self.world.agent_of(self))
        return True

    def backend_sizes(self):
        """Sizes of the VM's backend servers that have long been up."""
        agent = self.world.agent_of(self)
        return [
            BACKEND_SIZE
            for backend in agent.backend_by_name.values()
            if backend.is_long_up()
        ]

    def end_all(self):
        """The VM is gone, and all that it ran."""
        for task_id in self.task_by_id:
            self._log('vm-gone', task_id)
        self.task_by_id.clear()

    def _log(self, event, task_id):
        self.history.append((self.now(), event, task_id))
        self.world.promises.note(f'{event} {task_id} on {self.name}')


def classify(transaction, row):
    """Name the kind of a commit; ``row`` gives the present documents."""
    keys = [put.key for put in transaction.puts]
    area_by_prefix = {
        'shards/': 'takeover',
        'configuration/': 'configuration',
        'jobs/': 'submission',
        'entries/': 'renewal',
    }
    if any(key.startswith('chunks/') for key in keys):
        return _classify_chunks(transaction)
    if any('/1-cancel-' in key for key in keys):
        return 'cancellation'
    for prefix, area in area_by_prefix.items():
        if any(key.startswith(prefix) for key in keys):
            return area
    return 'claim' if keys else 'other'


def _classify_chunks(transaction):
    words = {
        fields[0]
        for put in transaction.puts
        if put.document and 'tasks' in put.document
        for fields in put.document['tasks']
    }
    done = {TaskState.COMPLETED.value, TaskState.FAILED.value}
    return 'completion' if words & done else 'assignment'
