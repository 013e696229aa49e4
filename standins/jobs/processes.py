"""Entries and agents as processes of a virtual deployment."""

from twisted.internet.defer import Deferred

from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.jobs.agent_core import JobAgentCore
from hyssopring.jobs.entry_core import JobEntryCore
from hyssopring.jobs.entry_membership import EntryMembership
from hyssopring.jobs.messages import PROTOCOL_RELEASE
from hyssopring.jobs.relay import RelayedStore
from hyssopring.jobs.roster_withdrawal import RosterWithdrawal
from hyssopring.jobs.times import ENTRY_HEARTBEAT_MS
from hyssopring.platform.configuration import ConfigurationFollower
from hyssopring.platform.evacuations import EvacuationReader
from hyssopring.platform.reports import ReportsResource
from hyssopring.platform.worker import PlatformWorker
from standins.jobs.advice import AdviceLink
from standins.runner_wire import (
    OWN_HOST,
    RunnerClient,
    post_report,
    report_fields,
)

AGENT_TICK_S = 0.1
ENTRY_TICK_S = 0.2
POLL_S = 1.5
BEAT_S = 1.5
REDIAL_S = 0.3
ZONE = 'zone'


class ReactorClock:
    """A clock that reads the virtual reactor's time."""

    def __init__(self, reactor):
        self.reactor = reactor

    def now(self):
        return self.reactor.seconds() * MILLIS_PER_SECOND


class Process:
    """A process; while dead or frozen it gets neither timers nor messages."""

    def __init__(self, deployment, name):
        self.deployment = deployment
        self.reactor = ProcessReactor(deployment.reactor, self)
        self.clock = ReactorClock(deployment.reactor)
        self.name = name
        self.is_alive = True
        self.thaws_at = None

    def every(self, seconds, action):
        def again():
            action()
            self.reactor.callLater(seconds, again)

        self.reactor.callLater(seconds, again)


class ProcessReactor:
    """Drops the pending calls of a dead process and delays a frozen one's."""

    def __init__(self, reactor, process):
        self._reactor = reactor
        self._process = process

    def seconds(self):
        return self._reactor.seconds()

    def callLater(self, seconds, action, *given):
        return self._reactor.callLater(seconds, self.run, action, *given)

    def run(self, action, *given):
        process = self._process
        if not process.is_alive:
            return
        if process.thaws_at is not None and process.thaws_at > self.seconds():
            wait = process.thaws_at - self.seconds()
            self._reactor.callLater(wait, self.run, action, *given)
            return
        action(*given)


class Entry(Process):
    """An entry's core with its timers."""

    def __init__(self, deployment, name, incarnation):
        super().__init__(deployment, name)
        self.has_peers = True
        # ``EntryGreeting.release`` of the process.
        self.release = PROTOCOL_RELEASE
        client = RelayedStore(
            self.reactor,
            self.clock,
            deployment.rows.client(name, self.reactor),
            self,
        )
        self.membership = EntryMembership(
            self.reactor,
            self.clock,
            client,
            name,
            incarnation,
            name,
            deployment.cores_by_entry.get(name, 1),
        )
        self.core = JobEntryCore(
            self.reactor,
            self.clock,
            deployment.wall_clock(name),
            client,
            self.membership,
            self,
            AdviceLink(deployment.advice, name, self.reactor),
            deployment.options,
            deployment.zone_by_entry.get(name, ZONE),
        )
        if deployment.zones:
            self._follow_operator(deployment.zones, client)
        else:
            self.core.evacuations.apply_stored(0, ())
        self.every(ENTRY_HEARTBEAT_MS / MILLIS_PER_SECOND, self.membership.tick)
        self.every(ENTRY_TICK_S, self.core.tick)
        self.every(POLL_S, self.core.poll)
        self.reactor.callLater(0, self.membership.tick)

    def _follow_operator(self, zones, relayed):
        store = self.deployment.rows.client(self.name, self.reactor)
        follower = ConfigurationFollower(
            self.reactor, store, lambda table, stored: None
        )
        follower.on_evacuations_outdated = EvacuationReader(
            self.reactor,
            relayed,
            zones,
            self.core.evacuations.apply_stored,
        ).refresh
        follower.start()

    @property
    def connected_entries(self):
        return [
            name
            for name, entry in self.deployment.entries.items()
            if entry.is_alive
            and self.has_peers
            and entry is not self
            and not self.deployment.is_cut(self.name, name)
        ]

    def release_of(self, entry_id):
        return self.deployment.entries[entry_id].release

    def send_to_entry(self, entry_id, message):
        return self.deployment.carry(self, entry_id, message)

    def send_response(self, peer_id, message):
        return self.deployment.carry(self, peer_id, message)

    def take(self, message, sender):
        self.core.handle_message(message, sender)


class WorkerLink:
    """An agent's requests to its worker.

    Answers are dropped while the agent is dead and delayed while it is frozen.
    """

    def __init__(self, worker, process_reactor):
        self.worker = worker
        self.process_reactor = process_reactor

    def poll(self, request):
        return self._carry(self.worker.poll(request))

    def start(self, start):
        return self._carry(self.worker.start(start))

    def stop(self, *order):
        return self._carry(self.worker.stop(*order))

    def set_pace(self, *order):
        return self._carry(self.worker.set_pace(*order))

    def _carry(self, answer):
        result = Deferred()
        run = self.process_reactor.run
        answer.addCallbacks(
            lambda outcome: run(result.callback, outcome),
            lambda failure: run(result.errback, failure),
        )
        return result


def agent_port(worker):
    """Return the worker's port: the platform adapter if it keeps its ID."""
    if not worker.keeps_id:
        return worker
    port = PlatformWorker(None, '127.0.0.1:1')
    port._client = RunnerClient(worker)
    return port


class Agent(Process):
    """An agent's core with its timers; its worker runs on without it."""

    def __init__(self, deployment, name, worker):
        super().__init__(deployment, name)
        self.worker = worker
        self.port = agent_port(worker)
        self.core = JobAgentCore(
            self.reactor,
            self.clock,
            WorkerLink(self.port, self.reactor),
            self.send,
            deployment.wall_clock(name),
            RosterWithdrawal(
                self.clock, deployment.rows.client(name, self.reactor), name
            ),
            lambda entry_id: deployment.entries[entry_id].release,
            deployment.zone_by_agent.get(name, ZONE),
        )
        monitor = self.core.monitor
        self.reports = ReportsResource(
            monitor.announce, monitor.deregister, (OWN_HOST,)
        )
        self.links = set()
        self.every(AGENT_TICK_S, self.core.tick)
        self.every(BEAT_S, self.beat)
        self.every(REDIAL_S, self.dial)
        self.reactor.callLater(0, self.beat)
        self.reactor.callLater(0, self.dial)

    def beat(self):
        worker = self.worker
        if not worker.can_announce or worker.is_unresponsive or worker.is_down:
            return
        if worker.keeps_id:
            post_report(self.reports, worker.boot, report_fields(worker))
        else:
            self.core.monitor.announce(worker.announcement())

    def dial(self):
        for name, entry in self.deployment.entries.items():
            pair = (self.name, name)
            if pair in self.deployment.links or pair in self.deployment.blocked:
                continue
            if entry.is_alive and not self.deployment.is_cut(self.name, name):
                self.deployment.link(self, entry)

    def send(self, entry_id, message):
        self.deployment.carry(self, entry_id, message)

    def take(self, message, sender):
        self.core.handle_message(message, sender)
