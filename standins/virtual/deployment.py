"""A virtual deployment: its processes, table and event queue."""

import itertools
import random
from collections import Counter

from hyssopring.configuration import ConfigurationChange
from hyssopring.entry.calls import Call
from hyssopring.leases import ShardSettings
from hyssopring.placement import LeaseTimes
from hyssopring.protocol.messages import Resources
from standins.table import Table
from standins.virtual.agent import AgentNode
from standins.virtual.entry import EntryNode
from standins.virtual.loop import Loop, RateClock

__all__ = ('BALANCER', 'NETWORK_MS', 'VirtualDeployment')

NETWORK_MS = 0.5
BALANCER = 'balancer'


class VirtualDeployment:
    """Entries, agents, backends and the table, in one event queue.

    Attributes:
        blocked_pairs: Names of entries and agents that can't connect.
        rate_by_name: Clock rates of processes; 1 by default.
        subset: Maximum number of entries that an agent connects to.
    """

    def __init__(
        self,
        entries=2,
        agents=3,
        zones=('paddock', 'tack-room', 'office'),
        capacity=Resources(16, 60, 0),
        seed=1,
        shard_settings=ShardSettings(shards=4),
        lease_times=LeaseTimes(),
        rate_by_name=None,
        seeds=None,
        subset=12,
    ):
        self.loop = Loop()
        self.seed = seed
        self.rng = random.Random(seed)
        self.table = Table()
        self.shard_settings = shard_settings
        self.lease_times = lease_times
        self.links = []
        self.workers = []
        self.blocked_pairs = set()
        self.rate_by_name = rate_by_name or {}
        self.subset = subset
        self.seeds = seeds or [f'entry-{number}' for number in range(entries)]
        self._request_numbers = itertools.count()
        self.entry_by_name = {}
        self.agent_by_name = {}
        for number in range(entries):
            zone = zones[number % len(zones)]
            entry = EntryNode(self, number, zone)
            self.entry_by_name[entry.name] = entry
        for number in range(agents):
            zone = zones[number % len(zones)]
            agent = AgentNode(
                self, number, zone, f'rack-{number // 3}', capacity
            )
            self.agent_by_name[agent.name] = agent

    def network_ms(self, entry, agent):
        """Return the one-way delay, which is shorter within a zone."""
        is_same_zone = entry.core.identity.zone == agent.core.identity.zone
        return NETWORK_MS / 5 if is_same_zone else NETWORK_MS

    def can_dial(self, agent, entry):
        """Whether an agent can connect to an entry now."""
        is_blocked = (entry.name, agent.name) in self.blocked_pairs
        return entry.is_alive and not entry.is_paused and not is_blocked

    def resolve(self, address):
        """Return the entry at an address; the balancer picks a live one."""
        if address == BALANCER:
            live = [
                entry for entry in self.entry_by_name.values() if entry.is_alive
            ]
            return self.rng.choice(live) if live else None
        return self.entry_by_name.get(address)

    def add_entry(self, number, zone):
        """Add an entry with a new id and address."""
        entry = EntryNode(self, number, zone)
        self.entry_by_name[entry.name] = entry
        return entry

    def clock_of(self, name):
        """Return a process's clock, which runs at its rate."""
        rate = self.rate_by_name.get(name)
        return self.loop.clock if rate is None else RateClock(self.loop, rate)

    def worker_count_by_task(self):
        """Return how many workers run each task now; at most one may."""
        living = {
            id(node.worker): node.worker
            for node in self.workers
            if node.is_alive
        }
        return Counter(
            task_id
            for worker in living.values()
            for task_id in worker.running()
        )

    def entry(self, number=0):
        """Return an entry by its number."""
        return self.entry_by_name[f'entry-{number}']

    def agent(self, number=0):
        """Return an agent by its number."""
        return self.agent_by_name[f'agent-{number}']

    def run(self, millis):
        """Advance the virtual clock by ms and run the events due."""
        self.loop.run(millis)

    def configure(self, key, document, entry=0, expected=0):
        """Change a configuration item; return a list for the outcome."""
        outcomes = []
        change = ConfigurationChange(key, expected, document)
        self.entry(entry).core.configuration_keeper.change(
            change, outcomes.append
        )
        return outcomes

    def call(
        self,
        entry=0,
        service='trust/booking',
        path='/',
        body=b'',
        budget_ms=2000.0,
        key='',
    ):
        """Submit a request to an entry; return its id."""
        request_id = f'request-{next(self._request_numbers)}'
        call = Call(
            request_id,
            service,
            'POST',
            path,
            (),
            body,
            self.loop.now + budget_ms,
            key,
        )
        self.entry(entry).core.router.submit(call)
        return request_id

    def answer(self, request_id):
        """Return the response to a request, None if there is none yet."""
        for entry in self.entry_by_name.values():
            response = entry.callers.answer_by_id.get(request_id)
            if response is not None:
                return response
        return None

    def kill_entry(self, number):
        """Crash an entry: its connections close without a message."""
        entry = self.entry(number)
        entry.is_alive = False
        for link in list(entry.link_by_agent.values()):
            link.close()

    def kill_agent(self, number):
        """Crash an agent; its worker and backend servers keep running."""
        agent = self.agent(number)
        agent.is_alive = False
        for link in list(agent.link_by_entry.values()):
            link.close()
        return agent

    def restart_agent(self, number, keep_worker=True):
        """Start a new incarnation, on the same VM or on an empty one."""
        old = self.agent(number)
        identity = old.core.identity
        agent = AgentNode(
            self,
            number,
            identity.zone,
            identity.rack,
            identity.capacity,
            incarnation=self.rng.getrandbits(32),
        )
        if keep_worker:
            agent.worker.worker = old.worker.worker
            agent.backend_by_name = old.backend_by_name
        else:
            old.worker.is_alive = False
        self.agent_by_name[agent.name] = agent
        return agent

    def restart_entry(self, number):
        """Start a new incarnation of an entry."""
        old = self.entry(number)
        entry = EntryNode(
            self,
            number,
            old.core.identity.zone,
            self.rng.getrandbits(8) + 1,
            old.callers,
        )
        self.entry_by_name[entry.name] = entry
        return entry
