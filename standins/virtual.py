"""A deployment without sockets, under a virtual clock, for tests and bench.

The real cores of entries and agents, joined by links that can be cut, go
silent or be slow, to the stand-ins of the platform. Deterministic: one event
queue, seeded random numbers.
"""

import heapq
import itertools
import random
from collections import Counter
from urllib.parse import parse_qs, urlparse

from result import Err, Ok

from hyssopring.agent.backends import AnnouncedBackend
from hyssopring.agent.core import AgentCore, AgentIdentity
from hyssopring.agent.tasks import WorkerTask
from hyssopring.clock import ManualClock
from hyssopring.configuration import ConfigurationChange
from hyssopring.entry.calls import Call
from hyssopring.entry.core import EntryCore, EntryIdentity
from hyssopring.entry.jobs import JobDesk
from hyssopring.errors import ErrorKind, Failure
from hyssopring.leases import ShardSettings
from hyssopring.metrics import Metrics
from hyssopring.outcomes import CallOutcome
from hyssopring.placement import LeaseTimes
from hyssopring.protocol.messages import (
    CallResponse,
    EntryList,
    Resources,
    Welcome,
)
from hyssopring.store.rows import Committed, Conflict, Row
from standins.table import Table
from standins.worker import Worker

NETWORK_MS = 0.5
STORE_MS = 3.0
STORE_TIMEOUT_MS = 2000.0


class Loop:
    """The event queue and the clock that it drives."""

    def __init__(self, start=1000.0):
        self.clock = ManualClock(start)
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
        self.clock.advance(max(end - self.now, 0))


class VirtualStore:
    """One entry's client of the shared table, with faults."""

    def __init__(self, loop, table):
        self.loop = loop
        self.table = table
        self.is_cut = False
        self.lose_answers = 0
        self.commits = 0
        self.reads = 0

    def commit(self, transaction, done):
        self.commits += 1
        if self._is_down():
            self._fail(done)
            return
        self.loop.later(
            self.table.delay_ms + STORE_MS, self._commit, transaction, done
        )

    def read(self, prefix, done):
        self.reads += 1
        if self._is_down():
            self._fail(done)
            return
        self.loop.later(
            self.table.delay_ms + STORE_MS, self._read, prefix, done
        )

    def _is_down(self):
        return self.is_cut or self.table.outage

    def _fail(self, done):
        failure = Failure(ErrorKind.STORE_UNAVAILABLE, 'down')
        self.loop.later(STORE_TIMEOUT_MS, done, Err(failure))

    def _commit(self, transaction, done):
        answer = self.table.commit(
            transaction.operation,
            [(check.key, check.version) for check in transaction.checks],
            [(put.key, put.document) for put in transaction.puts],
        )
        if self.lose_answers and 'versions' in answer:
            self.lose_answers -= 1
            self._fail(done)
        elif 'versions' in answer:
            done(Ok(Committed(answer['versions'])))
        else:
            rows = tuple(Row(*row) for row in answer['rows'])
            done(Ok(Conflict(rows)))

    def _read(self, prefix, done):
        done(Ok([Row(*row) for row in self.table.read(prefix)]))


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
        if took > timeout_ms:
            self.loop.later(
                timeout_ms,
                done,
                CallResponse(
                    request.request_id,
                    CallOutcome.FAILED.value,
                    error=ErrorKind.BACKEND_FAILED.value,
                ),
            )
            return
        self.loop.later(
            took,
            done,
            CallResponse(
                request.request_id,
                CallOutcome.ANSWERED.value,
                200,
                body=b'echo:' + request.body,
            ),
        )


class VirtualWorker:
    """The worker stand-in behind the agent's port."""

    def __init__(self, loop, clock=None, fails=False):
        self.loop = loop
        self.worker = Worker((clock or loop.clock).now, fails)

    def start(self, command, lease_ms, done):
        document = {
            'attempt': command.attempt,
            'kind': command.kind,
            'checkpoint': command.checkpoint,
            'run_ms': command.run_ms,
            'command': command,
        }
        self.loop.later(
            1.0, self._start, command.task_id, document, lease_ms, done
        )

    def stop(self, task_id, mode, done):
        self.loop.later(1.0, lambda: done(self.worker.stop(task_id)))

    def renew(self, lease_ms_by_task):
        self.worker.renew(lease_ms_by_task)

    def list(self):
        return [
            WorkerTask(
                task['task_id'],
                task['attempt'],
                task['phase'],
                task['checkpoint'],
                task['command']['command'],
            )
            for task in self.worker.listing()
        ]

    def _start(self, task_id, document, lease_ms, done):
        self.worker.start(task_id, document, lease_ms)
        done(True)


class VirtualCallers:
    """Collects the answers by request id; a second answer is an error."""

    def __init__(self):
        self.answer_by_id = {}

    def answer(self, request_id, answer):
        assert request_id not in self.answer_by_id, 'answered twice'
        self.answer_by_id[request_id] = answer


class EntryNode:
    """An entry's core with its links."""

    def __init__(self, deployment, number, zone, incarnation=0, callers=None):
        self.deployment = deployment
        self.name = f'entry-{number}'
        self.is_alive = True
        self.is_paused = False
        self.link_by_agent = {}
        self.store = VirtualStore(deployment.loop, deployment.table)
        self.callers = callers or VirtualCallers()
        self.core = EntryCore(
            deployment.loop.clock,
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
        )
        loop = deployment.loop
        runs = lambda: self.is_alive  # noqa: E731
        loop.every(20, self._unless_paused(self.core.tick), runs)
        loop.every(250, self._unless_paused(self.core.drop_silent), runs)
        loop.every(500, self._unless_paused(self.core.poll_table), runs)
        loop.every(1000, self._unless_paused(self.core.renew), runs)

    def send(self, agent_id, message):
        link = self.link_by_agent.get(agent_id)
        if link is None or not link.is_open:
            return False
        link.to_agent(message)
        return True

    def drop(self, agent_id):
        link = self.link_by_agent.get(agent_id)
        if link is not None:
            link.close()

    def _unless_paused(self, action):
        def act():
            if not self.is_paused:
                action()

        return act


class AgentNode:
    """An agent's core with its links, worker and backend servers."""

    def __init__(self, deployment, number, zone, rack, capacity, incarnation=0):
        self.deployment = deployment
        self.name = f'agent-{number}'
        self.is_alive = True
        self.is_paused = False
        self.link_by_entry = {}
        self.backend_by_name = {}
        self.worker = VirtualWorker(deployment.loop)
        self.core = AgentCore(
            deployment.loop.clock,
            AgentIdentity(
                self.name, f'{self.name}-{incarnation}', zone, rack, capacity
            ),
            self,
            self,
            self.worker,
            Metrics(),
        )
        loop = deployment.loop
        runs = lambda: self.is_alive  # noqa: E731
        loop.every(20, self._unless_paused(self.core.tick), runs)
        loop.every(1000, self._unless_paused(self.core.tasks.tick), runs)
        loop.every(1000, self._unless_paused(self.core.heartbeat), runs)
        loop.every(500, self._unless_paused(self._announce), runs)
        loop.every(500, self._unless_paused(self._list), runs)
        loop.every(300, self._unless_paused(self._dial), runs)

    def add_backend(self, backend):
        self.backend_by_name[backend.name] = backend
        self.core.backends.announce(backend.announcement())

    def call(self, address, request, timeout_ms, done):
        self.backend_by_name[address].serve(request, timeout_ms, done)

    def send(self, entry_id, message):
        link = self.link_by_entry.get(entry_id)
        if link is None or not link.is_open:
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
        self.core.tasks.on_listing(self.worker.list())

    def _dial(self):
        for entry in self.deployment.entry_by_name.values():
            link = self.link_by_entry.get(entry.name)
            if entry.is_alive and (link is None or not link.is_open):
                if self.deployment.can_dial(self, entry):
                    Link(self.deployment, entry, self)
            elif (
                link is not None
                and link.heard_by_agent + 2500 < self.deployment.loop.now
            ):
                link.close()

    def _unless_paused(self, action):
        def act():
            if not self.is_paused:
                action()

        return act


class Link:
    """One connection; messages keep their order in each direction."""

    def __init__(self, deployment, entry, agent):
        self.deployment = deployment
        self.entry = entry
        self.agent = agent
        self.is_open = True
        self.is_silent = False
        self.heard_by_agent = deployment.loop.now
        older = entry.link_by_agent.get(agent.name)
        if older is not None:
            older.close()
        entry.link_by_agent[agent.name] = self
        agent.link_by_entry[entry.name] = self
        deployment.links.append(self)
        identity = agent.core.identity
        self.record = entry.core.on_hello(
            identity.hello('', agent.core.configuration.version)
        )

    def to_agent(self, message):
        self._deliver(self._at_agent, message)

    def to_entry(self, message):
        self._deliver(self._at_entry, message)

    def close(self):
        if not self.is_open:
            return
        self.is_open = False
        if self.agent.link_by_entry.get(self.entry.name) is self:
            self.agent.link_by_entry.pop(self.entry.name)
        if self.entry.link_by_agent.get(self.agent.name) is self:
            self.entry.link_by_agent.pop(self.agent.name)
        if self.agent.is_alive:
            self.agent.core.on_disconnected(self.entry.name)
        if self.entry.is_alive:
            self.entry.core.on_disconnected(self.record)

    def _deliver(self, receive, message):
        if not self.is_silent:
            delay = self.deployment.network_ms(self.entry, self.agent)
            self.deployment.loop.later(delay, receive, message)

    def _at_agent(self, message):
        if not self.is_open or not self.agent.is_alive:
            return
        if self.agent.is_paused:
            self.deployment.loop.later(10, self._at_agent, message)
            return
        self.heard_by_agent = self.deployment.loop.now
        if isinstance(message, Welcome):
            self.agent.core.on_connected(message.entry_id)
        elif not isinstance(message, EntryList):
            self.agent.core.on_message(message, self.entry.name)

    def _at_entry(self, message):
        if not self.is_open or not self.entry.is_alive:
            return
        if self.entry.is_paused:
            self.deployment.loop.later(10, self._at_entry, message)
            return
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
    ):
        self.loop = Loop()
        self.seed = seed
        self.rng = random.Random(seed)
        self.table = Table()
        self.shard_settings = shard_settings
        self.lease_times = lease_times
        self.links = []
        self.blocked_pairs = set()
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
        return (entry.name, agent.name) not in self.blocked_pairs

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
