"""An entry's core as a process of a virtual deployment."""

import random
from functools import partial

from hyssopring.entry.core import EntryCore, EntryIdentity
from hyssopring.entry.job_table import JobTable
from hyssopring.metrics import Metrics
from standins.virtual.callers import VirtualCallers
from standins.virtual.process import Process
from standins.virtual.store import VirtualStore

__all__ = ('EntryNode',)


class EntryNode(Process):
    """An entry's core with its links."""

    def __init__(self, deployment, number, zone, incarnation=0, callers=None):
        super().__init__()
        self.deployment = deployment
        self.name = f'entry-{number}'
        self.link_by_agent = {}
        self.store = VirtualStore(
            deployment.loop, deployment.table, self.deliver
        )
        self.callers = callers or VirtualCallers()
        self.core = EntryCore(
            deployment.clock_of(self.name),
            EntryIdentity(self.name, zone, self.name),
            self.store,
            self,
            self.callers,
            Metrics(),
            random.Random(deployment.seed * 1000 + number * 10 + incarnation),
            deployment.shard_settings,
            deployment.lease_times,
        )
        self.jobs = JobTable(
            self.store,
            self.core.configuration,
            deployment.shard_settings.shards,
            self.core.fleet,
        )
        every = partial(self._every, deployment.loop)
        every(20, self.core.expire_calls)
        every(100, self.core.plan)
        every(250, self.core.close_silent_connections)
        every(500, self.core.poll_table)
        every(1000, self.core.renew)

    def send(self, agent_id, message):
        """Send a message; return False without a link to the agent."""
        link = self.link_by_agent.get(agent_id)
        if link is None:
            return False
        link.to_agent(message)
        return True

    def drop(self, agent_id):
        """Close the link to an agent, if any."""
        link = self.link_by_agent.get(agent_id)
        if link is not None:
            link.close_by_entry()
