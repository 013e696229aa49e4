"""A worker under the virtual clock."""

from dataclasses import asdict

from hyssopring.agent.worker import StopResponse, WorkerListing, WorkerTask
from hyssopring.protocol.messages import Resources
from hyssopring.tasks import TaskPhase
from standins.virtual.process import Process
from standins.worker import Worker

__all__ = ('VirtualWorker',)

_DELAY_MS = 1.0
_TIMEOUT_MS = 2000.0


class VirtualWorker(Process):
    """Adapts the worker stand-in to the agent's port."""

    def __init__(self, loop, clock=None, fails=False, agent=None):
        super().__init__()
        self.loop = loop
        self.agent = agent or Process()
        self.worker = Worker((clock or loop.clock).now, fails)

    @property
    def session(self):
        return self.agent.core.identity.incarnation

    def start(self, command, until, done):
        document = {
            'attempt': command.attempt,
            'kind': command.kind,
            'checkpoint': command.checkpoint,
            'run_ms': command.run_ms,
            'command': command,
            'size': asdict(command.size),
            'worker_boot': command.worker_boot,
        }
        self._post(
            lambda: self.worker.start(
                command.task_id, document, until, self.session
            ),
            done,
        )

    def stop(self, command, mode, done):
        self._post(
            lambda: self.worker.stop(
                command.task_id,
                command.attempt,
                command.worker_boot,
                self.session,
            ),
            lambda response: done(
                response
                and StopResponse(
                    TaskPhase(response['phase']), response['checkpoint']
                )
            ),
        )

    def throttle(self, task_id, share):
        self.worker.throttle(task_id, share)

    def renew(self, until_by_task):
        self.deliver(self.worker.renew, until_by_task, self.session)

    def list(self):
        if self.is_paused or not self.is_alive:
            return None
        tasks = self.worker.listing(self.session)
        if tasks is None:
            return None
        return WorkerListing(
            self.worker.boot, tuple(_listed(task) for task in tasks)
        )

    def replace(self, fails=False):
        """Replace the worker by an empty one, as on a new VM."""
        self.worker = Worker(self.worker.now, fails)

    def _post(self, action, done):
        """Call the worker after a delay; ``done`` gets None at a timeout."""
        outcomes = []

        def arrive():
            response = action()
            if not outcomes:
                outcomes.append(True)
                self.agent.deliver(done, response)

        def time_out():
            if not outcomes:
                outcomes.append(False)
                self.agent.deliver(done, None)

        self.loop.later(_DELAY_MS, self.deliver, arrive)
        self.loop.later(_TIMEOUT_MS, time_out)


def _listed(task):
    return WorkerTask(
        task['task_id'],
        task['attempt'],
        task['phase'],
        task['checkpoint'],
        task['command']['command'],
        Resources(**task['used']),
        task['share'],
        task['until'],
    )
