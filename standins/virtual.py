"""A deployment without sockets, under a virtual clock, for tests and bench.

The real cores of entries and agents, joined by links that can be cut, go
silent or be slow, to the stand-ins of the platform. Deterministic: one event
queue, seeded random numbers.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import asdict
from urllib.parse import parse_qs, urlparse

from result import Err, Ok

from hyssopring.agent.backends import AnnouncedBackend
from hyssopring.agent.core import AgentCore, AgentIdentity
from hyssopring.agent.worker import StopAnswer, WorkerListing, WorkerTask
from hyssopring.clock import ManualClock
from hyssopring.configuration import ConfigurationChange
from hyssopring.entry.calls import Call
from hyssopring.entry.core import EntryCore, EntryIdentity
from hyssopring.entry.jobs import JobDesk
from hyssopring.errors import ErrorKind, Failure
from hyssopring.leases import ShardSettings
from hyssopring.membership import EntryDirectory
from hyssopring.metrics import Metrics
from hyssopring.outcomes import CallOutcome
from hyssopring.placement import LeaseTimes
from hyssopring.protocol.messages import (
    CallResponse,
    Resources,
    Welcome,
)
from hyssopring.store.rows import Committed, Conflict, Row
from hyssopring.tasks import TaskPhase
from standins.table import Table
from standins.worker import Worker

NETWORK_MS = 0.5
BALANCER = 'balancer'
STORE_MS = 3.0
STORE_TIMEOUT_MS = 2000.0


class Loop:
    """The event queue and the clock that it drives."""

    def __init__(self, start=1000.0):
        self.clock = ManualClock(start)
        self.steps = 0
        self.on_step = None
        self._events = []
        self._order = itertools.count()

    @property
    def now(self):
        return self.clock.now()

    def later(self, millis, action, *arguments):
        entry = (self.now + millis, next(self._order), action, arguments)
        heapq.heappush(self._events, entry)

    def every(self, millis, action, is_alive=lambda: True):
        def again():
            if is_alive():
                action()
                self.later(millis, again)

        self.later(millis, again)

    def run(self, millis):
        end = self.now + millis
        while self._events and self._events[0][0] <= end:
            when, _, action, arguments = heapq.heappop(self._events)
            self.clock.advance(max(when - self.now, 0))
            action(*arguments)
            self.steps += 1
            if self.on_step is not None:
                self.on_step()
        self.clock.advance(max(end - self.now, 0))


class RateClock:
    """A clock that runs fast or slow against the event queue's."""

    def __init__(self, loop, rate=1.0):
        self._loop = loop
        self._rate = rate

    def now(self):
        return self._loop.now * self._rate


class Process:
    """What a pause and a kill do: its mail waits, in order, or is lost."""

    def __init__(self):
        self.is_alive = True
        self._is_paused = False
        self._mail = []

    @property
    def is_paused(self):
        return self._is_paused

    @is_paused.setter
    def is_paused(self, is_paused):
        self._is_paused = is_paused
        while self._mail and not self._is_paused:
            action, arguments = self._mail.pop(0)
            self.take(action, *arguments)

    def take(self, action, *arguments):
        """Let something arrive at this process."""
        if self._is_paused:
            self._mail.append((action, arguments))
        elif self.is_alive:
            action(*arguments)

    def _unless_paused(self, action):
        def act():
            if not self._is_paused:
                action()

        return act


class VirtualStore:
    """One entry's client of the shared table, with faults.

    A commit slower than the client's timeout is given up and takes effect
    afterwards.
    """

    def __init__(self, loop, table, take=lambda action, *args: action(*args)):
        self.loop = loop
        self.table = table
        self.take = take
        self.is_cut = False
        self.delay_ms = 0.0
        self.lose_answers = 0
        self.commits = 0
        self.reads = 0

    def commit(self, transaction, done):
        self.commits += 1
        self._call(self._commit, transaction, done)

    def read(self, prefix, done):
        self.reads += 1
        self._call(self._read, prefix, done)

    def _call(self, work, subject, done):
        if self._is_down():
            self._fail(done)
            return
        delay = self.table.delay_ms + self.delay_ms + STORE_MS
        if delay > STORE_TIMEOUT_MS:
            self._fail(done)
            done = _ignore
        self.loop.later(delay, work, subject, done)

    def _is_down(self):
        return self.is_cut or self.table.outage

    def _fail(self, done):
        failure = Failure(ErrorKind.STORE_UNAVAILABLE, 'down')
        self.loop.later(STORE_TIMEOUT_MS, self.take, done, Err(failure))

    def _commit(self, transaction, done):
        if self._is_down():
            self._fail(done)
            return
        answer = self.table.commit(
            transaction.operation,
            [(check.key, check.version) for check in transaction.checks],
            [(put.key, put.document) for put in transaction.puts],
        )
        if 'versions' in answer and self.loses(transaction):
            self._fail(done)
        elif 'versions' in answer:
            self.take(done, Ok(Committed(answer['versions'])))
        else:
            rows = tuple(Row(*row) for row in answer['rows'])
            self.take(done, Ok(Conflict(rows)))

    def _read(self, prefix, done):
        if self._is_down():
            self._fail(done)
            return
        rows = [Row(*row) for row in self.table.read(prefix)]
        self.take(done, Ok(rows))

    def loses(self, transaction):
        """Whether the answer to a commit that took effect is lost."""
        is_lost = self.lose_answers > 0
        self.lose_answers -= is_lost
        return is_lost


def _ignore(answer):
    """The client has given up; nobody hears this answer."""


class VirtualBackend:
    """A backend server: so many slots, a service time per request."""

    def __init__(
        self, loop, name, service_name, slots=8, service_ms=lambda: 20.0
    ):
        self.loop = loop
        self.name = name
        self.service_name = service_name
        self.slots = slots
        self.service_ms = service_ms
        self.is_dead = False
        self.is_leaving = False
        self.runs_by_request = Counter()
        self._unfinished = {}

    def announcement(self):
        return AnnouncedBackend(
            self.name,
            self.service_name,
            self.name,
            self.slots,
            64,
            self.is_leaving,
        )

    def serve(self, request, timeout_ms, done):
        if self.is_dead:
            done(
                CallResponse(
                    request.request_id,
                    CallOutcome.NOT_RUN.value,
                    error=ErrorKind.NO_BACKEND.value,
                )
            )
            return
        self.runs_by_request[request.request_id] += 1
        asked = parse_qs(urlparse(request.path).query).get('ms')
        took = float(asked[0]) if asked else self.service_ms()
        response = CallResponse(
            request.request_id,
            CallOutcome.ANSWERED.value,
            200,
            body=b'echo:' + request.body,
        )
        if took > timeout_ms:
            response = _failed(request)
        run = object()
        self._unfinished[run] = (request, done)
        self.loop.later(min(took, timeout_ms), self._finish, run, response)

    def kill(self):
        """Its connections end in the middle of what it runs."""
        self.is_dead = True
        for run, (request, _) in list(self._unfinished.items()):
            self._finish(run, _failed(request))

    def _finish(self, run, response):
        _, done = self._unfinished.pop(run, (None, _ignore))
        done(response)


def _failed(request):
    return CallResponse(
        request.request_id,
        CallOutcome.FAILED.value,
        error=ErrorKind.BACKEND_FAILED.value,
    )


class VirtualWorker(Process):
    """The worker stand-in behind the agent's port."""

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
            lambda answer: done(
                answer
                and StopAnswer(TaskPhase(answer['phase']), answer['checkpoint'])
            ),
        )

    def throttle(self, task_id, share):
        self.worker.throttle(task_id, share)

    def renew(self, until_by_task):
        self.take(self.worker.renew, until_by_task, self.session)

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
        """A new worker on a VM of the same name; the old one dies."""
        self.worker = Worker(self.worker.now, fails)

    def _post(self, work, done):
        """Obey after the way there; give up waiting after two seconds."""
        answered = []

        def arrive():
            answer = work()
            if not answered:
                answered.append(True)
                self.agent.take(done, answer)

        def give_up():
            if not answered:
                answered.append(False)
                self.agent.take(done, None)

        self.loop.later(1.0, self.take, arrive)
        self.loop.later(2000.0, give_up)


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


class VirtualCallers:
    """Collects the answers by request id; a second answer is an error."""

    def __init__(self):
        self.answer_by_id = {}

    def answer(self, request_id, answer):
        assert request_id not in self.answer_by_id, 'answered twice'
        self.answer_by_id[request_id] = answer


class EntryNode(Process):
    """An entry's core with its links."""

    def __init__(self, deployment, number, zone, incarnation=0, callers=None):
        super().__init__()
        self.deployment = deployment
        self.name = f'entry-{number}'
        self.link_by_agent = {}
        self.store = VirtualStore(deployment.loop, deployment.table, self.take)
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
        self.jobs = JobDesk(
            self.store,
            self.core.configuration,
            deployment.shard_settings.shards,
            self.core.fleet,
        )
        loop = deployment.loop
        runs = lambda: self.is_alive  # noqa: E731
        loop.every(20, self._unless_paused(self.core.expire_calls), runs)
        loop.every(100, self._unless_paused(self.core.plan), runs)
        loop.every(250, self._unless_paused(self.core.drop_silent), runs)
        loop.every(500, self._unless_paused(self.core.poll_table), runs)
        loop.every(1000, self._unless_paused(self.core.renew), runs)

    def send(self, agent_id, message):
        link = self.link_by_agent.get(agent_id)
        if link is None:
            return False
        link.to_agent(message)
        return True

    def drop(self, agent_id):
        link = self.link_by_agent.get(agent_id)
        if link is not None:
            link.close_by_entry()


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
        loop = deployment.loop
        runs = lambda: self.is_alive  # noqa: E731
        loop.every(20, self._unless_paused(self.core.tick), runs)
        loop.every(1000, self._unless_paused(self.core.tasks.tick), runs)
        loop.every(1000, self._unless_paused(self.core.heartbeat), runs)
        loop.every(500, self._unless_paused(self._announce), runs)
        loop.every(500, self._unless_paused(self._list), runs)
        progress = self.core.tasks.report_progress
        loop.every(10_000, self._unless_paused(progress), runs)
        loop.every(300, self._unless_paused(self._dial), runs)

    def add_backend(self, backend):
        self.backend_by_name[backend.name] = backend
        self.core.backends.announce(backend.announcement())

    def call(self, address, request, timeout_ms, done):
        backend = self.backend_by_name[address]
        backend.serve(
            request, timeout_ms, lambda answer: self.take(done, answer)
        )

    def send(self, entry_id, message):
        link = self.link_by_entry.get(entry_id)
        if link is None:
            return False
        link.to_entry(message)
        return True

    def broadcast(self, message):
        for entry_id in list(self.link_by_entry):
            self.send(entry_id, message)

    def _announce(self):
        for backend in self.backend_by_name.values():
            if not backend.is_dead:
                self.core.backends.announce(backend.announcement())

    def _list(self):
        asked_at = self.deployment.clock_of(self.name).now()
        self.core.tasks.on_listing(self.worker.list(), asked_at)

    def _dial(self):
        directory = self.core.directory
        for address in directory.due():
            entry = self.deployment.resolve(address)
            if entry is None or not self.deployment.can_dial(self, entry):
                directory.closed(address)
            elif directory.greets(address, entry.name):
                Link(self.deployment, entry, self, address)
            else:
                directory.skipped(address)
        for entry_id in self.core.to_leave():
            self.link_by_entry[entry_id].close()
        for name, link in list(self.link_by_entry.items()):
            limit = self.core.sessions.silence_limit(name)
            if link.heard_by_agent + limit < self.deployment.loop.now:
                link.close_by_agent()


class Link:
    """One connection; messages keep their order in each direction.

    Attributes:
        is_silent_to_agent, is_silent_to_entry: Nothing arrives there any
            more, not even word of the connection's end.
        delay_ms: Added to the network's own delay.
    """

    def __init__(self, deployment, entry, agent, address=None):
        self.deployment = deployment
        self.address = address or entry.name
        self.entry = entry
        self.agent = agent
        self.is_open_at_entry = True
        self.is_open_at_agent = True
        self.is_silent_to_agent = False
        self.is_silent_to_entry = False
        self.delay_ms = 0.0
        self.heard_by_agent = deployment.loop.now
        self._last_at_agent = 0.0
        self._last_at_entry = 0.0
        self.record = None
        self.is_welcomed = False
        identity = agent.core.identity
        hello = identity.hello('', agent.core.configuration.version)
        if entry.core.refusal(hello) is not None:
            self.is_open_at_entry = self.is_open_at_agent = False
            agent.core.directory.closed(self.address, is_refused=True)
            return
        older = entry.link_by_agent.get(agent.name)
        if older is not None:
            older.close_by_entry()
        entry.link_by_agent[agent.name] = self
        agent.link_by_entry[entry.name] = self
        deployment.links.append(self)
        self.record = entry.core.on_hello(hello)

    @property
    def is_open(self):
        return self.is_open_at_entry or self.is_open_at_agent

    @property
    def is_silent(self):
        return self.is_silent_to_agent and self.is_silent_to_entry

    @is_silent.setter
    def is_silent(self, is_silent):
        self.is_silent_to_agent = is_silent
        self.is_silent_to_entry = is_silent

    def to_agent(self, message):
        self._last_at_agent = self._when(self._last_at_agent)
        self._later(self._last_at_agent, self._at_agent, message)

    def to_entry(self, message):
        self._last_at_entry = self._when(self._last_at_entry)
        self._later(self._last_at_entry, self._at_entry, message)

    def close(self):
        """Cut it: both ends learn at once."""
        self._end_at_agent()
        self._end_at_entry()

    def close_by_entry(self):
        self._end_at_entry()
        if not self.is_silent_to_agent:
            self._end_at_agent()

    def close_by_agent(self):
        self._end_at_agent()
        if not self.is_silent_to_entry:
            self._end_at_entry()

    def _end_at_agent(self):
        if not self.is_open_at_agent:
            return
        self.is_open_at_agent = False
        if self.agent.link_by_entry.get(self.entry.name) is self:
            self.agent.link_by_entry.pop(self.entry.name)
        self.agent.take(self._closed_at_agent)
        self.agent.take(self.agent.core.on_disconnected, self.entry.name)

    def _closed_at_agent(self):
        directory = self.agent.core.directory
        if self.is_welcomed:
            directory.lost(self.entry.name)
        else:
            directory.closed(self.address)

    def _end_at_entry(self):
        if not self.is_open_at_entry:
            return
        self.is_open_at_entry = False
        if self.entry.link_by_agent.get(self.agent.name) is self:
            self.entry.link_by_agent.pop(self.agent.name)
        self.entry.take(self.entry.core.on_disconnected, self.record)

    def _when(self, last):
        delay = self.deployment.network_ms(self.entry, self.agent)
        return max(self.deployment.loop.now + delay + self.delay_ms, last)

    def _later(self, when, receive, message):
        self.deployment.loop.later(
            when - self.deployment.loop.now, receive, message
        )

    def _at_agent(self, message):
        if not self.is_silent_to_agent and self.is_open_at_agent:
            self.agent.take(self._receive_at_agent, message)

    def _receive_at_agent(self, message):
        if not self.is_open_at_agent:
            return
        self.heard_by_agent = self.deployment.loop.now
        if isinstance(message, Welcome):
            self.is_welcomed = True
            self.agent.core.directory.opened(self.address, self.entry.name)
            self.agent.core.on_connected(message.entry_id)
        else:
            self.agent.core.on_message(message, self.entry.name)

    def _at_entry(self, message):
        if not self.is_silent_to_entry and self.is_open_at_entry:
            self.entry.take(self._receive_at_entry, message)

    def _receive_at_entry(self, message):
        if self.is_open_at_entry:
            self.entry.core.on_message(message, self.record)


class VirtualDeployment:
    """Entries, agents, backends and the table, in one event queue."""

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
        self.seeds = seeds or [f'entry-{each}' for each in range(entries)]
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
        same = entry.core.identity.zone == agent.core.identity.zone
        return NETWORK_MS / 5 if same else NETWORK_MS

    def can_dial(self, agent, entry):
        is_blocked = (entry.name, agent.name) in self.blocked_pairs
        return entry.is_alive and not entry.is_paused and not is_blocked

    def resolve(self, address):
        """The entry at an address; the balancer's leads to any live one."""
        if address == BALANCER:
            live = [e for e in self.entry_by_name.values() if e.is_alive]
            return self.rng.choice(live) if live else None
        return self.entry_by_name.get(address)

    def add_entry(self, number, zone):
        """A fresh entry under an id and an address of its own."""
        entry = EntryNode(self, number, zone)
        self.entry_by_name[entry.name] = entry
        return entry

    def clock_of(self, name):
        """A process's own clock; ``rate_by_name`` makes it fast or slow."""
        rate = self.rate_by_name.get(name)
        return self.loop.clock if rate is None else RateClock(self.loop, rate)

    def places_by_task(self):
        """How many workers run each task now; more than one is a fault."""
        living = {
            id(each.worker): each.worker
            for each in self.workers
            if each.is_alive
        }
        return Counter(
            task_id
            for worker in living.values()
            for task_id in worker.running()
        )

    def entry(self, number=0):
        return self.entry_by_name[f'entry-{number}']

    def agent(self, number=0):
        return self.agent_by_name[f'agent-{number}']

    def run(self, millis):
        self.loop.run(millis)

    def configure(self, key, document, entry=0, expected=0):
        answers = []
        change = ConfigurationChange(key, expected, document)
        self.entry(entry).core.configuration_keeper.change(
            change, answers.append
        )
        return answers

    def call(
        self,
        entry=0,
        service='trust/booking',
        path='/',
        body=b'',
        budget_ms=2000.0,
        key='',
    ):
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
        for entry in self.entry_by_name.values():
            found = entry.callers.answer_by_id.get(request_id)
            if found is not None:
                return found
        return None

    def kill_entry(self, number):
        """kill -9: connections end, nothing is said."""
        entry = self.entry(number)
        entry.is_alive = False
        for link in list(entry.link_by_agent.values()):
            link.close()

    def kill_agent(self, number):
        """kill -9 of the agent; its worker and backends go on."""
        agent = self.agent(number)
        agent.is_alive = False
        for link in list(agent.link_by_entry.values()):
            link.close()
        return agent

    def restart_agent(self, number, keep_worker=True):
        """A fresh agent on the same VM, or on a new one without its worker."""
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
