"""The programs, the stand-in that they talk to, and what is done to them.

The stand-in's store and runners live in the soak's own process, so that its
book of runs can be asked at any moment; each program is a process.
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
from soak.platform.plan import (
    ENTRIES,
    JOINERS,
    MAX_QUEUES,
    OWNER,
    RUNNERS,
)
from soak.platform.proxy import Proxy, Weather
from standins.jobs.rows import MemoryRows
from standins.jobs.book import Book
from standins.jobs.worker import SimWorker
from standins.narrow_link import NarrowLink, a_configuration
from standins.platform import RunnerResource, StoreResource, beat
from standins.programs import free_ports, settings_file, start_program

# Each port is drawn once, before any is listened on: none is taken twice.
PORTS = 80
PLACE = RowKey('op', '', 'config')
HOST_NAME = 'h.example'
# A keeper runs until it is stopped: far longer than any run.
KEEPER_MS = 10**9
# Room for four or so of the larger tasks: planners have to choose.
ROOM = Size(5000, 20_000, 0)
# What a program that was ended from outside may say; it ended itself with any
# other code. A signal that comes before its handler is set ends it too.
ENDED_CODES = frozenset(
    (0, -signal.SIGKILL, -signal.SIGTERM, -signal.SIGHUP),
)


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

    def started(self, now, worker, run):
        for each in self.workers:
            each.settle()
        super().started(now, worker, run)


class Program:
    """One process that is started again whenever it has ended."""

    def __init__(self, name, environment, folder):
        self.name = name
        self.environment = environment
        self.log = folder / f'{name}.log'
        self.process = None
        self.is_wanted = False
        self.start_at = 0
        self.resume_at = None
        self.starts = 0
        self.odd_codes = set()

    @property
    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def tick(self):
        """Start or resume the process when that is due."""
        now = reactor.seconds()
        if self.resume_at is not None and now >= self.resume_at:
            self.resume_at = None
            self._signal(signal.SIGCONT)
        if self.is_alive or not self.is_wanted or now < self.start_at:
            return
        self._note_end()
        role = self.name.partition('-')[0]
        with self.log.open('ab') as output:
            self.process = start_program(
                ['hyssopring.platform', role], self.environment, output
            )
        self.starts += 1

    def end(self, number, back=0):
        """Send a signal that ends it; it is started again later."""
        self.start_at = max(self.start_at, reactor.seconds() + back)
        self._signal(number)

    def pause(self, lasts):
        self.resume_at = max(self.resume_at or 0, reactor.seconds() + lasts)
        self._signal(signal.SIGSTOP)

    def reread(self):
        self._signal(signal.SIGHUP)

    def close(self):
        """End it for good, at once."""
        self.is_wanted = False
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def _note_end(self):
        code = self.process.returncode if self.process else 0
        if code not in ENDED_CODES:
            self.odd_codes.add(code)

    def _signal(self, number):
        if self.is_alive:
            self.process.send_signal(number)


class World:
    """All processes of a run and the platform around them."""

    def __init__(self, plan, folder):
        self.plan = plan
        self.folder = folder
        self.host = own_host()
        self.ports = iter(free_ports(PORTS, self.host))
        self.rows = MemoryRows(reactor)
        self.rows.version = 1
        self.version = 0
        self.queues = 0
        self.configure(0)
        self.book = SettlingBook()
        self.weathers = {}
        self.programs = {}
        self.workers = {}
        self.fronts = {}
        self._build()
        self.link = NarrowLink(reactor, plan.bytes_per_s)
        self._narrow(plan.narrow)

    def _build(self):
        names = [f'agent-{each}' for each in range(RUNNERS + JOINERS)]
        entries = [f'entry-{each}' for each in range(ENTRIES)]
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
        environment = settings_file(
            self.folder,
            name,
            inner,
            bind,
            store,
            seed,
            app,
            self.host,
            next(self.ports),
        )
        self.programs[name] = Program(name, environment, self.folder)

    def _runner(self, name, rate, app, control):
        worker = SimWorker(reactor, name, self.book, self._work_ms, ROOM, rate)
        worker.control = self._address(control)
        self.workers[name] = worker
        self.book.workers.append(worker)
        reactor.listenTCP(
            app, Site(RunnerResource(worker)), interface=self.host
        )

    def _work_ms(self, task):
        if task in self.book.keepers:
            return KEEPER_MS
        return self.plan.work_ms(task)

    def start(self):
        """Start all but those that join later."""
        for number in range(RUNNERS):
            self.join(f'agent-{number}')
        for name in self.fronts:
            self.programs[name].is_wanted = True

    def join(self, name):
        """A runner and its agent appear."""
        worker = self.workers[name]
        if not self.programs[name].is_wanted and not worker.is_gone:
            self.programs[name].is_wanted = True
            beat(Agent(reactor), worker, worker.control)

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
        self.link.turn()
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
        row = self.rows.rows.get(owner_key(0))
        return OwnerRow.from_text(row.text).entry_id if row else ''

    def heal(self):
        """All faults end; what is stopped comes back at once."""
        rows = self.rows
        rows.is_down = rows.is_silent = False
        rows.slow_s = rows.lose_next = 0
        for weather in self.weathers.values():
            weather.heal()
        for worker in self.workers.values():
            worker.is_dark = worker.is_gone
            worker.lose_next = 0
        for program in self.programs.values():
            program.start_at = 0
            if program.resume_at is not None:
                program.resume_at = 0

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
        elif event.name in {'join', 'leave'}:
            getattr(self, event.name)(name, *event.given)
        else:
            getattr(thing, event.name)(*event.given)

    def _for_a_while(self, thing, name, given, lasts):
        setattr(thing, name, given)
        reactor.callLater(lasts, self._back, thing, name)

    def _back(self, thing, name):
        setattr(thing, name, getattr(thing, 'is_gone', False))

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
