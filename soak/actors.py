"""The platform's stand-ins, which report their actions to the checks."""

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
# An agent knows of a backend after this time.
_ANNOUNCED_AFTER_MS = 1500.0
_RUN_TIME_FACTORS = (1.0, 1.0, 0.2, 1.0, 4.0)


class ObservedBackend(VirtualBackend):
    """A backend server that reports each run.

    Attributes:
        running: Submissions that it runs now, by request id.
    """

    def __init__(self, world, name, service_name, slots=4):
        super().__init__(world.loop, name, service_name, slots)
        self.world = world
        self.left_at = None
        self.up_since = self.loop.now
        self.running = {}

    def is_known_to_agent(self):
        """Whether its agent must have its announcement."""
        return (
            not self.is_dead
            and self.loop.now > self.up_since + _ANNOUNCED_AFTER_MS
        )

    def restart(self):
        """Start a new process under the same name."""
        self.is_dead = False
        self.up_since = self.loop.now

    def __str__(self):
        return self.name

    def leave(self):
        """Announce from now on that it is leaving."""
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
        self.world.trigger(submission.kind, self.agent_of())

    def agent_of(self):
        """Return the agent on its VM, None if the VM is lost."""
        for agent in self.world.agents():
            if self in agent.backend_by_name.values():
                return agent
        return None


class ObservedCallers(VirtualCallers):
    """Callers that report each response."""

    def __init__(self, promises):
        super().__init__()
        self.promises = promises

    def answer(self, request_id, answer):
        self.promises.on_answer(request_id, answer)
        super().answer(request_id, answer)


class ObservedWorker(Worker):
    """A worker that reports each start."""

    def __init__(self, world, agent):
        super().__init__(agent.core._clock.now)
        self.world = world
        self.name = f'worker of {agent.name}'
        self.agent_name = agent.name
        self.capacity = agent.core.identity.capacity

    def running(self):
        """Return the running tasks by id."""
        self.advance()
        return {
            task_id: task
            for task_id, task in self.task_by_id.items()
            if task['phase'] == 'running'
        }

    def start(self, task_id, command, until, session):
        is_running = task_id in self.running()
        # The declared run times of some tasks are far too long or too short.
        factor = _RUN_TIME_FACTORS[
            zlib.crc32(task_id.encode()) % len(_RUN_TIME_FACTORS)
        ]
        command['run_ms'] *= factor
        if not super().start(task_id, command, until, session):
            return False
        self.world.promises.check(
            not is_running,
            'no task runs in two places',
            f'{task_id} twice here',
        )
        task = self.task_by_id[task_id]
        if task['phase'] == 'running':
            self.world.promises.on_start(self.world.workers, self, task)
            self.world.trigger(command['kind'], self.world.agent_of(self))
        return True

    def backend_sizes(self):
        """Return the sizes of the VM's backend servers known to its agent."""
        agent = self.world.agent_of(self)
        return [
            BACKEND_SIZE
            for backend in agent.backend_by_name.values()
            if backend.is_known_to_agent()
        ]

    def end_all(self):
        """End all tasks with the VM."""
        for task_id in self.task_by_id:
            self._log('vm-gone', task_id)
        self.task_by_id.clear()

    def _log(self, event, task_id):
        self.history.append((self.now(), event, task_id))
        self.world.promises.note(f'{event} {task_id} on {self.name}')


def classify(transaction, row):
    """Return the kind of a commit, one of ``COMMIT_TRIGGERS`` or other."""
    keys = [put.key for put in transaction.puts]
    kind_by_prefix = {
        'shards/': 'takeover',
        'configuration/': 'configuration',
        'jobs/': 'submission',
        'entries/': 'renewal',
    }
    if any(key.startswith('chunks/') for key in keys):
        return _classify_chunks(transaction)
    if any('/1-cancel-' in key for key in keys):
        return 'cancellation'
    for prefix, kind in kind_by_prefix.items():
        if any(key.startswith(prefix) for key in keys):
            return kind
    return 'claim' if keys else 'other'


def _classify_chunks(transaction):
    states = {
        fields[0]
        for put in transaction.puts
        if put.document and 'tasks' in put.document
        for fields in put.document['tasks']
    }
    done = {TaskState.COMPLETED.value, TaskState.FAILED.value}
    return 'completion' if states & done else 'assignment'
