"""An agent's core as a process of a virtual deployment."""

import random
from functools import partial

from hyssopring.agent.core import AgentCore, AgentIdentity
from hyssopring.membership import EntryDirectory
from hyssopring.metrics import Metrics
from standins.virtual.links import Link
from standins.virtual.process import Process
from standins.virtual.worker import VirtualWorker

__all__ = ('AgentNode',)


class AgentNode(Process):
    """An agent's core with its links, worker and backend servers."""

    def __init__(self, deployment, number, zone, rack, capacity, incarnation=0):
        super().__init__()
        self.deployment = deployment
        self.name = f'agent-{number}'
        self.link_by_entry = {}
        self.backend_by_name = {}
        clock = deployment.clock_of(self.name)
        self.worker = VirtualWorker(deployment.loop, clock, agent=self)
        deployment.workers.append(self.worker)
        self.core = AgentCore(
            clock,
            AgentIdentity(
                self.name, f'{self.name}-{incarnation}', zone, rack, capacity
            ),
            self,
            self,
            self.worker,
            Metrics(),
            EntryDirectory(
                clock,
                self.name,
                deployment.seeds,
                random.Random(f'{deployment.seed} {self.name} {incarnation}'),
                deployment.subset,
            ),
        )
        every = partial(self._every, deployment.loop)
        every(20, self.core.tick)
        every(1000, self.core.tasks.tick)
        every(1000, self.core.heartbeat)
        every(500, self._announce)
        every(500, self._poll_worker)
        every(10_000, self.core.tasks.report_progress)
        every(300, self._dial)

    def add_backend(self, backend):
        """Add a backend server to the VM and announce it."""
        self.backend_by_name[backend.name] = backend
        self.core.backends.announce(backend.announcement())

    def call(self, address, request, timeout_ms, done):
        backend = self.backend_by_name[address]
        backend.serve(
            request, timeout_ms, lambda response: self.deliver(done, response)
        )

    def send(self, entry_id, message):
        """Send a message; return False without a link to the entry."""
        link = self.link_by_entry.get(entry_id)
        if link is None:
            return False
        link.to_entry(message)
        return True

    def broadcast(self, message):
        """Send a message to all connected entries."""
        for entry_id in list(self.link_by_entry):
            self.send(entry_id, message)

    def _announce(self):
        for backend in self.backend_by_name.values():
            if not backend.is_dead:
                self.core.backends.announce(backend.announcement())

    def _poll_worker(self):
        polled_at = self.deployment.clock_of(self.name).now()
        self.core.tasks.on_listing(self.worker.list(), polled_at)

    def _dial(self):
        directory = self.core.directory
        for address in directory.claim_due_addresses():
            entry = self.deployment.resolve(address)
            if entry is None or not self.deployment.can_dial(self, entry):
                directory.closed(address)
            elif directory.should_connect(address, entry.name):
                Link(self.deployment, entry, self, address)
            else:
                directory.record_skipped(address)
        for entry_id in self.core.leave_surplus_entries():
            self.link_by_entry[entry_id].close()
        for name, link in list(self.link_by_entry.items()):
            timeout_ms = self.core.sessions.silence_timeout_ms(name)
            if link.last_received_at + timeout_ms < self.deployment.loop.now:
                link.close_by_agent()
