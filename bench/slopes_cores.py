"""Slopes of the real cores in this process, with the table in memory."""

import gc
import json
import random
import resource
import subprocess
import sys
import time

from result import Ok

from hyssopring.clock import ManualClock, MonotonicClock
from hyssopring.configuration import (
    ConfigurationChange,
    ConfigurationManager,
    ConfigurationState,
)
from hyssopring.logs import configure_logging
from hyssopring.membership import EntryDirectory, Fleet
from hyssopring.metrics import Metrics
from hyssopring.leases import HeldShard
from hyssopring.placement import LeaseTimes, Planner, PlannerPorts
from hyssopring.protocol import messages as m
from hyssopring.protocol.codec import encode
from hyssopring.store.client import store_queue
from hyssopring.store.rows import Committed, Conflict, Put, Row, Transaction
from hyssopring.tasks import TaskKind
from standins.table import Table

from bench.slopes_processes import Processes, free_address

SIZE = {'cores': 0.001, 'memory_gb': 0.001}
STORE_TIMEOUT_MS = 2000.0


def cpu_ms():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return (usage.ru_utime + usage.ru_stime) * 1000


def resident_kb():
    gc.collect()
    with open('/proc/self/statm') as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() / 1000


def cost_ms(action, min_total_ms=150.0):
    """Return processor milliseconds of one call, averaged over many."""
    action()
    calls, start = 0, cpu_ms()
    while cpu_ms() - start < min_total_ms:
        action()
        calls += 1
    return (cpu_ms() - start) / calls


class MemoryStore:
    """Store client that calls the stand-in table directly and counts."""

    def __init__(self):
        self.table = Table()
        self.commits = 0
        self.rows_written = 0
        self.bytes_written = 0
        self.reads = 0
        self.bytes_read = 0

    def commit(self, transaction, done):
        self.commits += 1
        puts = [[put.key, put.document] for put in transaction.puts]
        self.rows_written += len(puts)
        self.bytes_written += len(json.dumps(puts))
        answer = self.table.commit(
            transaction.operation,
            [[check.key, check.version] for check in transaction.checks],
            puts,
        )
        if 'versions' in answer:
            done(Ok(Committed(answer['versions'])))
        else:
            rows = tuple(Row(*fields) for fields in answer['rows'])
            done(Ok(Conflict(rows)))

    def read(self, prefix, done):
        self.reads += 1
        rows = self.table.read(prefix)
        self.bytes_read += len(json.dumps(rows))
        done(Ok([Row(*fields) for fields in rows]))


class FixedShard:
    """Shard holder that always owns shard 0."""

    shards = 1

    def __init__(self):
        self.shard = HeldShard(0, 1, 1, 0)

    def held(self):
        return [self.shard]

    def get(self, shard):
        return self.shard if shard == 0 else None


class PlannerBench:
    """One planner with agents that answer every start immediately."""

    def __init__(self, agents, tasks_each=0):
        self.clock = ManualClock(1_000_000)
        self.store = MemoryStore()
        self.fleet = Fleet()
        self.configuration = build_configuration(1, 1)
        self.bytes = 0
        self.starts = 0
        self.store.table.commit('shard', [], [['shards/0000', {}]])
        self.planner = Planner(
            self.store,
            PlannerPorts(
                self.clock,
                self.fleet,
                self.configuration,
                self,
                Metrics(),
                LeaseTimes(),
            ),
        )
        holder = FixedShard()
        self.planner.attach(holder)
        for number in range(agents):
            self.fleet.connect(
                m.Hello(
                    1,
                    f'agent-{number:04}',
                    'run',
                    'paddock',
                    f'rack-{number // 3}',
                    '',
                    m.Resources(1e6, 1e6),
                    0,
                ),
                self.clock.now(),
            )
        self.planner.on_acquired(holder.shard)
        self.plan = self.planner._plan_by_shard[0]

    def send(self, agent_id, message):
        self.bytes += len(encode(message))
        if isinstance(message, m.StartTask):
            self.starts += 1
            self.report(agent_id, message, 'running')
        return True

    def report(self, agent_id, command, phase):
        status = m.TaskStatus(
            command.task_id, 0, 1, command.attempt, phase, '', ''
        )
        report = m.TaskReport((status,))
        self.bytes += len(encode(report))
        self.planner.on_report(self.fleet.agent(agent_id), report)

    def start_all(self, tasks):
        for _ in range(1000):
            if self.starts >= tasks:
                return
            self.planner.tick()
        raise SystemExit(f'{self.starts} of {tasks} tasks started')

    def submit(self, job, tasks):
        self.plan.accept_job(job, 'team-0/template-0', TaskKind.BATCH, tasks)


def build_configuration(teams, templates):
    state = ConfigurationState()
    items = []
    for number in range(templates):
        document = {'kind': 'batch', 'size': SIZE, 'run_ms': 60_000.0}
        items.append((f'template/template-{number}', document))
    for team in range(teams):
        items.append((f'team/team-{team}', {'cores': 100.0}))
        for number in range(min(templates, 4)):
            key = f'parameters/team-{team}/template-{number}'
            items.append((key, {'urgency': 3}))
    state.apply(
        m.ConfigurationUpdate(
            0,
            len(items),
            tuple(
                m.ConfigurationItem(key, version, json.dumps(document))
                for version, (key, document) in enumerate(items, 1)
            ),
        )
    )
    return state


def planner_tick(tasks):
    """Measure an idle tick of a planner with running tasks."""
    bench = PlannerBench(agents=20)
    before = resident_kb()
    for first in range(0, tasks, 1000):
        bench.submit(f'job-{first}', min(1000, tasks - first))
    bench.start_all(tasks)
    record = bench.fleet.agents[0]
    return {
        'memory': resident_kb() - before,
        'cpu': cost_ms(bench.planner.tick),
        'beat': cost_ms(lambda: bench.planner.on_heartbeat(record)),
    }


def planner_starts(tasks, agents=20):
    """Measure the start of all tasks of a job, until all are confirmed."""
    bench = PlannerBench(agents)
    bench.submit('job', tasks)
    start = cpu_ms()
    bench.start_all(tasks)
    return {
        'cpu': cpu_ms() - start,
        'bytes': bench.bytes,
        'commits': bench.store.commits,
        'rows': bench.store.rows_written,
        'written': bench.store.bytes_written,
    }


def change_cost(items):
    """Measure a change that is validated, committed, read back and applied."""
    store = MemoryStore()
    state = ConfigurationState()
    keeper = ConfigurationManager(state, store, lambda update: None)
    document = json.dumps({'urgency': 3})
    versions = {}

    def change(number):
        key = f'parameters/trust/template-{number}'
        keeper.change(
            ConfigurationChange(key, versions.get(key, 0), document),
            lambda answer: versions.update({key: answer.unwrap().version}),
        )

    rows = [
        [
            f'configuration/item/parameters/trust/template-{number}',
            {'version': number + 1, 'document': document},
        ]
        for number in range(items)
    ]
    store.table.commit(
        'x', [], [*rows, ['configuration/head', {'version': items}]]
    )
    keeper.poll()
    versions.update(
        {
            f'parameters/trust/template-{number}': number + 1
            for number in range(items)
        }
    )
    order = random.Random(1)
    cost = cost_ms(lambda: change(order.randrange(items)))
    before = store.bytes_read, store.reads
    for _ in range(10):
        change(order.randrange(items))
    return {
        'cpu': cost,
        'read': (store.bytes_read - before[0]) / 10,
        'reads': (store.reads - before[1]) / 10,
    }


def configuration_memory(teams):
    before = resident_kb()
    state = build_configuration(teams, 20)
    list(state.policies())
    return {'memory': resident_kb() - before}


def store_client(commits_per_s):
    """Measure processor time of commits of one row over a socket."""
    from twisted.internet import reactor
    from twisted.internet.task import LoopingCall

    seconds = 4.0
    marks = []
    with Processes() as processes:
        table = free_address()
        processes.spawn('standins.table', table)
        time.sleep(1)
        client = store_queue(
            reactor, MonotonicClock(), f'http://{table}', STORE_TIMEOUT_MS
        )
        commit = LoopingCall(
            lambda: client.commit(
                Transaction((), (Put('a', {'b': 1}),)), lambda answer: None
            )
        )
        if commits_per_s:
            commit.start(1 / commits_per_s)
        for due in (1.0, 1.0 + seconds):
            reactor.callLater(due, lambda: marks.append(cpu_ms()))
        reactor.callLater(1.1 + seconds, reactor.stop)
        reactor.run()
    return {'cpu': (marks[1] - marks[0]) / seconds}


def directory_tick(entries):
    """Measure an agent's check of whom to dial or leave, without a change."""
    clock = ManualClock(1_000_000)
    directory = EntryDirectory(
        clock, 'agent-0001', ['10.0.0.1:7001'], random.Random(1)
    )
    members = tuple(
        m.EntryMember(
            f'entry-{index:03}', f'10.1.{index}.1:7001', f'z{index % 7}'
        )
        for index in range(entries)
    )
    directory.opened('10.0.0.1:7001', members[0].entry_id)
    directory.update_members(members[0].entry_id, members, ())
    for address in directory.claim_due_addresses():
        member = next(known for known in members if known.address == address)
        directory.opened(address, member.entry_id)
        directory.update_members(member.entry_id, members, ())

    def tick():
        clock.advance(100)
        directory.claim_due_addresses()
        directory.surplus()

    return {'cpu': cost_ms(tick)}


def messages_bytes(count):
    """Return the size of frames with a length prefix, by number of parts."""

    usage = m.TaskUsage(
        'hemeroteca/ocr',
        'batch',
        3,
        9,
        m.Resources(9, 9),
        m.Resources(4, 4),
        1.0,
    )

    def beat(backends, used=()):
        report = m.BackendReport(
            'trust/booking', 'backend-0001', 8, 64, False, 3, 0, 20.0
        )
        return m.Heartbeat(
            7, 9, (report,) * backends, m.Resources(16, 60), False, used
        )

    ack = m.HeartbeatAck(7, 9, (m.LeaseGrant(3, 9, 15e3, 60e3),) * count)
    item = m.ConfigurationItem(
        'parameters/trust/booking', 9, '{"urgency": 8, "deadline_ms": 900.0}'
    )
    update = m.ConfigurationUpdate(8, 9, (item,) * count)
    status = m.TaskStatus('morning-feed:1234', 3, 9, 1, 'running', '', '')
    return {
        'heartbeat': len(encode(beat(count))) + 4,
        'ack': len(encode(ack)) + 4,
        'update': len(encode(update)) + 4,
        'report': len(encode(m.TaskReport((status,) * count))) + 4,
        'usage': len(encode(beat(0, (usage,) * count))) + 4,
    }


CORES = {
    'planner.tasks': (planner_tick, (2000, 4000, 8000, 16000)),
    'planner.starts': (planner_starts, (256, 512, 1024, 2048)),
    'planner.agents': (
        lambda agents: planner_starts(512, agents),
        (10, 40, 80, 160),
    ),
    'configuration.items': (change_cost, (100, 200, 400, 800)),
    'configuration.teams': (configuration_memory, (50, 100, 200, 400)),
    'store.commits': (store_client, (0, 20, 40, 80)),
    'directory.entries': (directory_tick, (50, 100, 200, 400)),
    'message.parts': (messages_bytes, (0, 1, 8, 32)),
}


def run(prefix, is_quick):
    """Measure each size in its own process, so that memory starts clean."""
    for name, (_, sizes) in CORES.items():
        points = {}
        for size in sizes if name.startswith(prefix) else ():
            size = size // 4 if is_quick else size
            output = subprocess.run(
                [sys.executable, '-m', 'bench.slopes_cores', name, str(size)],
                check=True,
                capture_output=True,
                text=True,
            ).stdout
            for metric, figure in json.loads(output).items():
                points.setdefault(f'{name}.{metric}', []).append((size, figure))
        yield points


if __name__ == '__main__':
    configure_logging('INFO')
    print(json.dumps(CORES[sys.argv[1]][0](int(sys.argv[2]))))
