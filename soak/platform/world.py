"""The programs of a run, the platform's stand-in, and the faults of both.

The stand-in's store and runners are part of the soak's own process, which can
read their record of runs at any time; each program is a process.
"""

import json
import os
import signal
from fnmatch import fnmatch

from twisted.internet import reactor
from twisted.web.client import Agent
from twisted.web.server import Site

from hyssopring.jobs.documents import OwnerRow
from hyssopring.jobs.model import Size
from hyssopring.jobs.row_keys import owner_key
from hyssopring.jobs.rows import RowKey, RowPut, Transaction
from soak.platform.owner_pauses import OTHERS
from soak.platform.plan import (
    JOINERS,
    MAX_QUEUES,
    OWNER,
    RUNNERS,
)
from soak.platform.program import Program
from soak.platform.program_clock import ProgramClock
from soak.platform.proxy import LinkConditions, Proxy
from soak.platform.settling_recorder import SettlingRecorder
from soak.platform.start_hits import HitWorker
from standins.jobs.rows import MemoryRows
from standins.narrow_link import NarrowLink, a_configuration
from standins.platform import RunnerResource, StoreResource, send_heartbeats
from standins.ports import ReservedPorts
from standins.programs import settings_file

CONFIGURATION_KEY = RowKey('op', '', 'config')
HOST_NAME = 'h.example'
RUNNER_FAULTS = frozenset(
    ('dark', 'lose-orders', 'lose-polls', 'be-slow', 'at-start', 'crash'),
)
# Longer than any run: a keeper runs until it is stopped.
KEEPER_MS = 10**9
# Capacity for about four of the larger tasks, so that planners must choose.
CAPACITY = Size(5000, 20_000, 0)


def own_host():
    """Return a loopback address that another run is unlikely to use.

    Outgoing connections use 127.0.0.1, so that none occupies the port of a
    program that is to be restarted.
    """
    number = os.getpid()
    return (
        f'127.{1 + number // 64_000}.{number // 250 % 256}.{1 + number % 250}'
    )


OPTIONAL_PARTS = (
    'learning',
    'fairness',
    'stragglers',
    'rebalancing',
)
# The few tasks of a run leave no room for a copy at the default.
COPIES_SHARE = 0.5


class World:
    """All processes of a run and the platform around them.

    Attributes:
        fronts: Frontend ports by the names of the current entries.
        replaced_at: Times in s at which entries' VMs were replaced, by name.
        departed: Agents that ended in order, after their workers' tasks.
        spare_entry: Started when the VM of another entry is replaced.
        on_hit: Applies a fault that follows a start.
    """

    def __init__(self, plan, folder):
        self.plan = plan
        self.folder = folder
        self.host = own_host()
        self.spare_entry = f'entry-{plan.entries}'
        self.on_hit = self.apply_event
        self.agents = [f'agent-{number}' for number in range(len(plan.rates))]
        self.ports = ReservedPorts(self.host)
        self.rows = MemoryRows(reactor)
        self.rows.version = 1
        self.version = 0
        self.queues = 0
        self.configure(0)
        self.run_recorder = SettlingRecorder()
        self.conditions_by_link = {}
        self.programs = {}
        self.workers = {}
        self.fronts = {}
        self.spare_front = None
        self.replaced_at = {}
        self.departed = set()
        self._build()
        self.front_ports = list(self.fronts.values())
        self.link = NarrowLink(reactor, plan.bytes_per_s)
        self._limit_bandwidth(plan.narrow)

    def _build(self):
        names = self.agents
        entries = [
            *(f'entry-{number}' for number in range(self.plan.entries)),
            self.spare_entry,
        ]
        inner = {name: next(self.ports) for name in entries}
        seen = {
            name: self._proxy(name, port, [*entries, *names])
            for name, port in inner.items()
        }
        self.seen_as = {
            self._address(inner[name]): self._address(port)
            for name, port in seen.items()
        }
        for name in entries:
            front, ready = next(self.ports), next(self.ports)
            bind = {'frontend': self._address(front)}
            bind['ready'] = self._address(ready)
            self.fronts[name] = front
            self._program(name, inner[name], bind, inner[name], '')
        self.spare_front = self.fronts.pop(self.spare_entry)
        for number, name in enumerate(names):
            app, control = next(self.ports), next(self.ports)
            self._runner(name, self.plan.rates[number], app, control)
            bind = {'controlPlane': self._address(control)}
            seed = seen['entry-0']
            self._program(name, seed, bind, seed, self._address(app))

    def _limit_bandwidth(self, entry):
        """Let all connections to an entry share the narrow link."""
        for name, conditions in self.conditions_by_link.items():
            source, _arrow, target = name.partition('>')
            if source == entry:
                conditions.link_by_direction['down'] = self.link
            if target == entry:
                conditions.link_by_direction['up'] = self.link

    def _address(self, port):
        return f'{self.host}:{port}'

    def _proxy(self, name, port, sources):
        """Start a proxy before a port; return the proxy's port."""
        conditions_by_source = {source: LinkConditions() for source in sources}
        for source, conditions in conditions_by_source.items():
            self.conditions_by_link[f'{source}>{name}'] = conditions
        source = sources[0] if len(sources) == 1 else ''
        own = next(self.ports)
        Proxy(self.host, own, port, conditions_by_source, source)
        return own

    def _program(self, name, inner, bind, seed, app):
        site = Site(StoreResource(self.rows, self.seen_as))
        direct = next(self.ports)
        reactor.listenTCP(direct, site, interface=self.host)
        store = self._address(self._proxy('store', direct, [name]))
        metrics = next(self.ports)
        environment = settings_file(
            self.folder,
            name,
            inner,
            bind,
            store,
            seed,
            app,
            metrics,
            self.host,
        )
        probe = f'http://{self._address(metrics)}/metrics'
        if 'ready' in bind:
            probe = f'http://{bind["ready"]}/-/readyz'
        program = Program(
            name, environment, self.folder, probe, self._arguments_of(name)
        )
        if self.plan.large.events:
            program.clock = ProgramClock(self.folder / f'{name}.clock')
        self.programs[name] = program

    @property
    def has_copies(self):
        """Whether the optional parts of scheduling are on.

        They are for odd seeds only; even seeds guard what deployments without
        these parts rely on.
        """
        return bool(self.plan.seed % 2)

    def _arguments_of(self, name):
        if not name.startswith('entry') or not self.has_copies:
            return ()
        path = self.folder / 'scheduling.json'
        parts = dict.fromkeys(OPTIONAL_PARTS, {})
        parts['stragglers'] = {'max_copies_share': COPIES_SHARE}
        path.write_text(json.dumps(parts))
        return (str(path),)

    def _runner(self, name, rate, app, control):
        worker = HitWorker(
            reactor,
            name,
            self.run_recorder,
            self._work_ms,
            CAPACITY,
            rate,
            self.plan.keeps_ids,
        )
        worker.control = self._address(control)
        worker.apply_event = self._on_hit
        worker.fails = self.run_recorder.failing.__contains__
        worker.shows_progress = self.has_copies
        self.workers[name] = worker
        self.run_recorder.workers.append(worker)
        reactor.listenTCP(
            app, Site(RunnerResource(worker)), interface=self.host
        )

    def _work_ms(self, task):
        if task in self.run_recorder.failing:
            return self.plan.fail_ms(task, self.run_recorder.runs_by_task[task])
        if task in self.run_recorder.keepers:
            return KEEPER_MS
        return self.plan.work_ms(task)

    def start(self):
        """Start all programs except those that join later."""
        joiners_end = RUNNERS + JOINERS
        additional = self.agents[joiners_end:][: self.plan.more_agents]
        for name in self.agents[:RUNNERS] + additional:
            self.join(name)
        for name in self.fronts:
            self.programs[name].is_wanted = True

    def join(self, name):
        """Start a runner and its agent."""
        worker = self.workers[name]
        if not self.programs[name].is_wanted and not worker.is_gone:
            self.programs[name].is_wanted = True
            send_heartbeats(Agent(reactor), worker, worker.control)

    def leave(self, name, notice):
        """Announce that a runner leaves; stop it and its agent after notice."""
        self.workers[name].is_leaving = True
        reactor.callLater(notice, self._remove, name)

    def depart(self, name, stopped_s, term_s):
        """Replace a VM: its worker stops its tasks, its agent ends later."""
        worker, program = self.workers[name], self.programs[name]
        if not program.is_wanted or worker.is_gone:
            return
        self.departed.add(name)
        reactor.callLater(stopped_s, worker.stop_all)
        self.leave(name, term_s)

    def _remove(self, name):
        worker, program = self.workers[name], self.programs[name]
        worker.is_gone = True
        worker.crash()
        worker.is_unresponsive = True
        program.is_wanted = False
        program.end(signal.SIGTERM)

    def away(self, name, duration_s):
        """Lose a VM, runner and agent; for good if ``duration_s`` is None."""
        worker, program = self.workers[name], self.programs[name]
        if not program.is_wanted or worker.is_gone:
            return
        program.lose(duration_s)
        if duration_s is None:
            worker.is_gone = worker.is_unresponsive = True
            worker.crash()
        else:
            worker.go_down(duration_s)

    def replace(self, name, back):
        """Replace the VM of an entry by another one after ``back`` s."""
        spare = self.programs[self.spare_entry]
        if name == self.spare_entry or spare.is_wanted:
            return
        self.programs[name].lose(None)
        self.replaced_at[name] = reactor.seconds()
        index = self.front_ports.index(self.fronts.pop(name))
        self.fronts[self.spare_entry] = self.spare_front
        self.front_ports[index] = self.spare_front
        spare.is_wanted, spare.start_at = True, reactor.seconds() + back

    def configure(self, more_queues):
        """Add queues to the configuration; the first one is always kept."""
        self.version += 1
        self.queues = min(self.queues + more_queues, MAX_QUEUES)
        document = json.loads(a_configuration(self.version, self.queues))
        document['routes'] += [
            {
                'name': name,
                'host': HOST_NAME,
                'pathPrefix': f'/{name}/',
                'service': 'service',
                'maxAttempts': 6,
            }
            for name in ('q', f'q{self.version}')
        ]
        put = RowPut(CONFIGURATION_KEY, json.dumps(document))
        self.rows.apply(Transaction((), (put,), ()))

    def tick(self):
        """Update processes, runners and the link; call often."""
        self.link.tick()
        for worker in self.workers.values():
            worker.settle()
        for program in self.programs.values():
            program.tick()

    def apply_event(self, event):
        """Apply an event of the plan."""
        method = getattr(self, '_do_' + event.name.replace('-', '_'), None)
        if method is not None:
            method(*event.arguments)
            return
        owner = self.owner()
        # With the hyphen the set is valid without an owner, too.
        others = f'entry-[!{owner[-1:]}-]'
        resolved = event.target.replace(OWNER, owner).replace(OTHERS, others)
        for pattern in resolved.split('+'):
            for name, target in self._targets(event.name, pattern):
                self._apply_to(event, name, target)

    def owner(self):
        """Return the owner in the store, empty if there is none."""
        row = self.owner_row()
        return OwnerRow.from_text(row.text).entry_id if row else ''

    def owner_row(self):
        """Return the store's row of the owner, or None."""
        return self.rows.rows.get(owner_key(0))

    def heal(self):
        """End all faults and restart all processes except on lost VMs."""
        rows = self.rows
        rows.is_down = rows.is_silent = False
        rows.slow_s = rows.lose_next = 0
        for conditions in self.conditions_by_link.values():
            conditions.heal()
        for worker in self.workers.values():
            worker.is_unresponsive = worker.is_gone
            worker.lose_next = worker.lose_polls = worker.slow_s = 0
            worker.hits.clear()
        for program in self.programs.values():
            program.heal()

    def close(self):
        """Kill all programs."""
        for program in self.programs.values():
            program.close()

    def _targets(self, name, pattern):
        targets = self.programs
        if name in {'delay', 'reset', 'refuse', 'hold'}:
            targets = self.conditions_by_link
        elif name in RUNNER_FAULTS:
            targets = self.workers
        return [pair for pair in targets.items() if fnmatch(pair[0], pattern)]

    def _apply_to(self, event, name, target):
        ends = {'term': signal.SIGTERM, 'kill': signal.SIGKILL}
        if event.name in ends:
            target.end(ends[event.name], *event.arguments)
        elif event.name == 'dark':
            self._set_temporarily(
                target, 'is_unresponsive', True, *event.arguments
            )
        elif event.name == 'lose-orders':
            target.lose_next, target.late_s = event.arguments
        elif event.name == 'lose-polls':
            target.lose_polls, target.late_s = event.arguments
        elif event.name == 'be-slow':
            self._set_temporarily(target, 'slow_s', *event.arguments)
        elif event.name == 'at-start':
            target.hit_at_start(*event.arguments)
        elif event.name in {'join', 'leave', 'depart', 'away', 'replace'}:
            getattr(self, event.name)(name, *event.arguments)
        else:
            getattr(target, event.name)(*event.arguments)

    def _set_temporarily(self, target, name, setting, duration_s):
        setattr(target, name, setting)
        reactor.callLater(duration_s, self._reset, target, name)

    def _reset(self, target, name):
        is_gone = name == 'is_unresponsive' and target.is_gone
        setattr(target, name, is_gone)

    def _on_hit(self, event):
        self.on_hit(event)

    def _do_heal(self):
        self.heal()

    def _do_configure(self, more_queues):
        self.configure(more_queues)

    def _do_slow(self, slow_s, duration_s):
        self._set_temporarily(self.rows, 'slow_s', slow_s, duration_s)

    def _do_down(self, duration_s):
        self._set_temporarily(self.rows, 'is_down', True, duration_s)

    def _do_silent(self, duration_s):
        self._set_temporarily(self.rows, 'is_silent', True, duration_s)

    def _do_lose_commits(self, count, late_s):
        self.rows.lose_next, self.rows.late_s = count, late_s

    def _do_forget_history(self):
        self.rows.forget_history()
