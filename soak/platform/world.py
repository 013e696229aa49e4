"""The programs, the stand-in that they talk to, and what is done to them.

The stand-in's store and runners live in the soak's own process, so that its
book of runs can be asked at any moment; each program is a process.
"""

import json
import os
import signal
from collections import Counter
from fnmatch import fnmatch

from twisted.internet import reactor
from twisted.web.client import Agent
from twisted.web.server import Site

from hyssopring.jobs.documents import OwnerRow
from hyssopring.jobs.model import Size
from hyssopring.jobs.row_keys import owner_key
from hyssopring.jobs.rows import RowKey, RowPut, Transaction
from soak.platform.plan import (
    ENTRIES,
    JOINERS,
    MAX_QUEUES,
    OWNER,
    RUNNERS,
)
from soak.platform.program import Program
from soak.platform.proxy import Proxy, Weather
from standins.jobs.rows import MemoryRows
from standins.jobs.book import Book
from standins.jobs.worker import SimWorker
from standins.narrow_link import NarrowLink, a_configuration
from standins.platform import RunnerResource, StoreResource, send_heartbeats
from standins.programs import free_ports, settings_file

# Each port is drawn once, before any is listened on: none is taken twice.
PORTS_EACH = 6
# Comes up when another entry's machine is replaced.
SPARE_ENTRY = f'entry-{ENTRIES}'
PLACE = RowKey('op', '', 'config')
HOST_NAME = 'h.example'
# A keeper runs until it is stopped: far longer than any run.
KEEPER_MS = 10**9
# Room for four or so of the larger tasks: planners have to choose.
ROOM = Size(5000, 20_000, 0)


def own_host():
    """Return a loopback address that another run is unlikely to use.

    Connections go out from 127.0.0.1, so that none takes a port that a
    program which is down will want again.
    """
    number = os.getpid()
    return (
        f'127.{1 + number // 64_000}.{number // 250 % 256}.{1 + number % 250}'
    )


class SettlingBook(Book):
    """Ends what is over on all runners before it judges a start."""

    def __init__(self):
        super().__init__()
        self.workers = []
        # Tasks that last and fail by themselves.
        self.failing = set()
        self.runs_by_task = Counter()

    def started(self, now, worker, run):
        for each in self.workers:
            each.settle()
        self.runs_by_task[run.task] += 1
        super().started(now, worker, run)


class World:
    """All processes of a run and the platform around them."""

    def __init__(self, plan, folder):
        self.plan = plan
        self.folder = folder
        self.host = own_host()
        self.agents = [
            f'agent-{number}'
            for number in range(RUNNERS + JOINERS + plan.more_agents)
        ]
        processes = ENTRIES + 1 + len(self.agents)
        self.ports = iter(free_ports(processes * PORTS_EACH, self.host))
        self.rows = MemoryRows(reactor)
        self.rows.version = 1
        self.version = 0
        self.queues = 0
        self.configure(0)
        self.book = SettlingBook()
        self.weathers = {}
        self.programs = {}
        self.workers = {}
        # Where callers go, by the names of the entries that are there.
        self.fronts = {}
        self.spare_front = None
        # Entries whose machines were replaced, and when.
        self.replaced_at = {}
        self._build()
        self.front_ports = list(self.fronts.values())
        self.link = NarrowLink(reactor, plan.bytes_per_s)
        self._narrow(plan.narrow)

    def _build(self):
        names = self.agents
        entries = [*(f'entry-{each}' for each in range(ENTRIES)), SPARE_ENTRY]
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
        self.spare_front = self.fronts.pop(SPARE_ENTRY)
        for number, name in enumerate(names):
            app, control = next(self.ports), next(self.ports)
            self._runner(name, self.plan.rates[number], app, control)
            bind = {'controlPlane': self._address(control)}
            seed = seen['entry-0']
            self._program(name, seed, bind, seed, self._address(app))

    def _narrow(self, entry):
        """All that comes to an entry from processes and store shares a link."""
        for name, weather in self.weathers.items():
            source, _arrow, target = name.partition('>')
            if source == entry:
                weather.link_by_way['down'] = self.link
            if target == entry:
                weather.link_by_way['up'] = self.link

    def _address(self, port):
        return f'{self.host}:{port}'

    def _proxy(self, name, port, sources):
        """Connections to ``name`` go this way; return where they dial."""
        weather_by_source = {source: Weather() for source in sources}
        for source, weather in weather_by_source.items():
            self.weathers[f'{source}>{name}'] = weather
        source = sources[0] if len(sources) == 1 else ''
        own = next(self.ports)
        Proxy(self.host, own, port, weather_by_source, source)
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
            self.host,
            metrics,
        )
        probe = f'http://{self._address(metrics)}/metrics'
        if 'ready' in bind:
            probe = f'http://{bind["ready"]}/-/readyz'
        program = Program(name, environment, self.folder, probe)
        self.programs[name] = program

    def _runner(self, name, rate, app, control):
        worker = SimWorker(
            reactor,
            name,
            self.book,
            self._work_ms,
            ROOM,
            rate,
            self.plan.keeps_ids,
        )
        worker.control = self._address(control)
        worker.fails = self.book.failing.__contains__
        self.workers[name] = worker
        self.book.workers.append(worker)
        reactor.listenTCP(
            app, Site(RunnerResource(worker)), interface=self.host
        )

    def _work_ms(self, task):
        if task in self.book.failing:
            return self.plan.fail_ms(task, self.book.runs_by_task[task])
        if task in self.book.keepers:
            return KEEPER_MS
        return self.plan.work_ms(task)

    def start(self):
        """Start all but those that join later."""
        for name in self.agents[:RUNNERS] + self.agents[RUNNERS + JOINERS :]:
            self.join(name)
        for name in self.fronts:
            self.programs[name].is_wanted = True

    def join(self, name):
        """A runner and its agent appear."""
        worker = self.workers[name]
        if not self.programs[name].is_wanted and not worker.is_gone:
            self.programs[name].is_wanted = True
            send_heartbeats(Agent(reactor), worker, worker.control)

    def leave(self, name, notice):
        """A runner says that it leaves; later it is gone with its agent."""
        self.workers[name].is_leaving = True
        reactor.callLater(notice, self._gone, name)

    def _gone(self, name):
        worker, program = self.workers[name], self.programs[name]
        worker.is_gone = True
        worker.crash()
        worker.is_dark = True
        program.is_wanted = False
        program.end(signal.SIGTERM)

    def away(self, name, lasts):
        """Lose a machine, runner and agent: for good if ``lasts`` is None."""
        worker, program = self.workers[name], self.programs[name]
        if not program.is_wanted or worker.is_gone:
            return
        program.lose(lasts)
        if lasts is None:
            worker.is_gone = worker.is_dark = True
            worker.crash()
        else:
            worker.go_down(lasts)

    def replace(self, name, back):
        """An entry's machine is lost; another one comes in its place."""
        if name == SPARE_ENTRY or self.programs[SPARE_ENTRY].is_wanted:
            return
        self.programs[name].lose(None)
        self.replaced_at[name] = reactor.seconds()
        place = self.front_ports.index(self.fronts.pop(name))
        self.fronts[SPARE_ENTRY] = self.spare_front
        self.front_ports[place] = self.spare_front
        spare = self.programs[SPARE_ENTRY]
        spare.is_wanted, spare.start_at = True, reactor.seconds() + back

    def configure(self, more_queues):
        """The operator adds queues; the first one always stays."""
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
        put = RowPut(PLACE, json.dumps(document))
        self.rows.apply(Transaction((), (put,), ()))

    def tick(self):
        """Look after processes, runners and the link; call often."""
        self.link.tick()
        for worker in self.workers.values():
            worker.settle()
        for program in self.programs.values():
            program.tick()

    def happen(self, event):
        """Carry one event of the plan out."""
        method = getattr(self, '_do_' + event.name.replace('-', '_'), None)
        if method is not None:
            method(*event.given)
            return
        for pattern in event.target.replace(OWNER, self.owner()).split('+'):
            for name, thing in self._things(event.name, pattern):
                self._to_thing(event, name, thing)

    def owner(self):
        """The entry that the store names as owner; empty between two."""
        row = self.owner_row()
        return OwnerRow.from_text(row.text).entry_id if row else ''

    def owner_row(self):
        return self.rows.rows.get(owner_key(0))

    def heal(self):
        """All faults end; what is stopped comes back, but lost machines."""
        rows = self.rows
        rows.is_down = rows.is_silent = False
        rows.slow_s = rows.lose_next = 0
        for weather in self.weathers.values():
            weather.heal()
        for worker in self.workers.values():
            worker.is_dark = worker.is_gone
            worker.lose_next = 0
        for program in self.programs.values():
            program.heal()

    def close(self):
        for program in self.programs.values():
            program.close()

    def _things(self, name, pattern):
        things = self.programs
        if name in {'delay', 'reset', 'refuse', 'hold'}:
            things = self.weathers
        elif name in {'dark', 'lose-orders', 'crash'}:
            things = self.workers
        return [pair for pair in things.items() if fnmatch(pair[0], pattern)]

    def _to_thing(self, event, name, thing):
        ends = {'term': signal.SIGTERM, 'kill': signal.SIGKILL}
        if event.name in ends:
            thing.end(ends[event.name], *event.given)
        elif event.name == 'dark':
            self._for_a_while(thing, 'is_dark', True, *event.given)
        elif event.name == 'lose-orders':
            thing.lose_next, thing.late_s = event.given
        elif event.name in {'join', 'leave', 'away', 'replace'}:
            getattr(self, event.name)(name, *event.given)
        else:
            getattr(thing, event.name)(*event.given)

    def _for_a_while(self, thing, name, given, lasts):
        setattr(thing, name, given)
        reactor.callLater(lasts, self._back, thing, name)

    def _back(self, thing, name):
        setattr(thing, name, getattr(thing, 'is_gone', False))

    def _do_heal(self):
        self.heal()

    def _do_configure(self, more_queues):
        self.configure(more_queues)

    def _do_slow(self, slow_s, lasts):
        self._for_a_while(self.rows, 'slow_s', slow_s, lasts)

    def _do_down(self, lasts):
        self._for_a_while(self.rows, 'is_down', True, lasts)

    def _do_silent(self, lasts):
        self._for_a_while(self.rows, 'is_silent', True, lasts)

    def _do_lose_commits(self, count, late_s):
        self.rows.lose_next, self.rows.late_s = count, late_s

    def _do_forget_history(self):
        self.rows.forget_history()
