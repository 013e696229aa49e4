"""Entries and agents of a site in the routing experiments.

The real cores run under a virtual clock (``standins.virtual``). All random
numbers are drawn from one seed.
"""

import json
import random
from collections import Counter

from hyssopring.protocol.messages import CallRequest
from bench.routing_backend import BenchBackend
from bench.routing_load import Load, rate_at
from bench.routing_sites import AGENTS, DEADLINE_MS, SERVICE_MS
from standins.virtual import VirtualDeployment

ENTRIES = 4
FLOOD_TEAM = 'flood'


class Deployment(VirtualDeployment):
    """Entries and agents of a site, with counted sends.

    ``policy`` is a class of ``bench.policies``, or None for the real router.
    """

    service_ms = SERVICE_MS

    def __init__(self, site, seed, policy=None, entries=ENTRIES):
        self.site = site
        self.policy = policy
        self.sends = Counter()
        self.loads = []
        self.drained = set()
        self.in_transit_by_agent = Counter()
        super().__init__(entries, AGENTS, site.zones, site.capacity, seed=seed)
        self.backends = []
        for number, agent in enumerate(self.agent_by_name.values()):
            rng = random.Random(f'{seed}-backend-{number}')
            backend = BenchBackend(
                self.loop, f'backend-{number}', site.service, rng
            )
            self.backends.append(backend)
            agent.add_backend(backend)
        for entry in self.entry_by_name.values():
            self._instrument(entry)
        self.run(1500)
        self._configure()

    def network_ms(self, entry, agent):
        if entry.core.identity.zone == agent.core.identity.zone:
            return 0.1
        return self.site.zone_ms

    def sends_of(self, service):
        return self.sends[service]

    def true_load(self, agent):
        load = agent.core.backends.load(self.site.service)
        return (
            load.in_flight + load.queued + self.in_transit_by_agent[agent.name]
        )

    def is_silent(self, agent):
        return any(link.is_silent for link in agent.link_by_entry.values())

    def zones_near(self, policy):
        return (policy.zone,)

    def drain(self, number):
        """Take an entry out of the load balancer and stop it."""
        self.drained.add(number)
        self.entry(number).core.stop()

    def replace(self, number):
        self.kill_entry(number)
        entry = self.restart_entry(number)
        self._instrument(entry)
        self.loop.later(800, self.drained.discard, number)

    def add_flood(self, share, seed):
        """Overload backends of another team on the same VMs."""
        service = f'{FLOOD_TEAM}/{self.site.template}'
        for number, agent in enumerate(self.agent_by_name.values()):
            rng = random.Random(f'{seed}-flood-{number}')
            agent.add_backend(
                BenchBackend(self.loop, f'flood-{number}', service, rng)
            )
        key = f'parameters/{service}'
        assert self.configure(key, '{}') is not None
        self.run(3000)
        return Load(self, rate_at(share), seed, service)

    def _instrument(self, entry):
        send = entry.send

        def counted_send(agent_id, message):
            if isinstance(message, CallRequest):
                self.sends[message.service_name] += 1
                self._start_transit(agent_id, entry)
            return send(agent_id, message)

        entry.send = counted_send
        if self.policy is not None:
            rng = random.Random(f'{self.seed}-{entry.name}-policy')
            policy = self.policy(self, rng)
            policy.zone = entry.core.identity.zone
            entry.core.router.sender.selector = policy
            entry.core.router._hedges._selector = policy

    def _start_transit(self, agent_id, entry):
        agent = self.agent_by_name[agent_id]
        self.in_transit_by_agent[agent_id] += 1
        self.loop.later(
            self.network_ms(entry, agent), self._end_transit, agent_id
        )

    def _end_transit(self, agent_id):
        self.in_transit_by_agent[agent_id] -= 1

    def _configure(self):
        template = {
            'kind': 'service',
            'size': {'cores': 8.0, 'memory_gb': 16.0},
            'idempotent': self.site.idempotent,
            'deadline_ms': DEADLINE_MS,
            'urgency': 8,
        }
        for key, document in (
            (f'template/{self.site.template}', template),
            (f'parameters/{self.site.service}', {}),
        ):
            answers = self.configure(key, json.dumps(document))
            self.run(200)
            assert answers[0].is_ok()
        self.run(2500)
