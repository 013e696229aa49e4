"""Benchmark of task starts per second of processor time.

Run ``python -m bench.placement_starts``.

One planner with a table that answers immediately and without agents places jobs
of 1,000 tasks on fleets of several sizes. The processor time of the code of the
entry is measured, from ``tick`` to the sent start.
"""

import json
import time

from loguru import logger
from result import Ok

from hyssopring.clock import ManualClock
from hyssopring.configuration import ConfigurationState
from hyssopring.leases import HeldShard
from hyssopring.membership import Fleet
from hyssopring.metrics import Metrics
from hyssopring.placement import LeaseTimes, Planner, PlannerPorts
from hyssopring.protocol.messages import (
    ConfigurationItem,
    ConfigurationUpdate,
    Hello,
    Resources,
    StartTask,
)
from hyssopring.store.rows import Committed, Row

TASKS = 1000
SIZE = {'cores': 1.0, 'memory_gb': 2.0}


class InstantStore:
    """Store client that completes each commit immediately."""

    def __init__(self):
        self.version = 0

    def commit(self, transaction, done):
        self.version += 1
        done(Ok(Committed({put.key: self.version for put in transaction.puts})))

    def read(self, prefix, done):
        done(Ok([]))


class CountingLinks:
    """Agent connections that count the sent starts."""

    def __init__(self):
        self.starts = 0

    def send(self, agent_id, message):
        self.starts += isinstance(message, StartTask)
        return True

    def drop(self, agent_id):
        """Do nothing: the benchmark has no connections."""


class OneShard:
    """Shard holder that always owns shard 0."""

    shards = 1

    def __init__(self):
        self.held_shard = HeldShard(0, 1, 1, 0)

    def held(self):
        return [self.held_shard]

    def get(self, shard):
        return self.held_shard


def measure(agents, jobs):
    """Return starts per second of processor time."""
    clock, fleet, state = ManualClock(1000), Fleet(), ConfigurationState()
    items = [
        ConfigurationItem(key, 1, json.dumps(document))
        for key, document in (
            ('template/feed', {'kind': 'batch', 'size': SIZE}),
            ('parameters/t/feed', {}),
            ('team/t', {'cores': 1e6}),
        )
    ]
    state.apply(ConfigurationUpdate(0, 1, tuple(items)))
    for number in range(agents):
        fleet.connect(
            Hello(
                1, f'agent-{number:05}', 'i', f'zone-{number % 3}',
                f'rack-{number // 3}', '', Resources(256, 1024, 0), 1,
            ),
            1000,
        )  # fmt: skip
    links, holder = CountingLinks(), OneShard()
    planner = Planner(
        InstantStore(),
        PlannerPorts(clock, fleet, state, links, Metrics(), LeaseTimes()),
    )
    planner.attach(holder)
    planner.on_acquired(holder.held_shard)
    plan = planner._plan_by_shard[0]
    cpu_s = 0.0
    for number in range(jobs):
        document = {
            'what': 'submit', 'job': f'job-{number}', 'service': 't/feed',
            'kind': 'batch', 'tasks': TASKS,
        }  # fmt: skip
        plan.handle_inbox_row(Row(f'inbox/0000/job-{number}', 1, '', document))
        starts_before, started_at = links.starts, time.process_time()
        while links.starts - starts_before < TASKS:
            clock.advance(20)
            planner.tick()
        cpu_s += time.process_time() - started_at
    return links.starts / cpu_s


def main():
    logger.remove()
    print('| agents | starts per s of processor time |\n|---|---|')
    for agents in (11, 500, 5100):
        print(f'| {agents} | {measure(agents, 2):.0f} |')


if __name__ == '__main__':
    main()
