"""Simulated entries, agents, workers and store under one virtual clock."""

import itertools

from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.jobs.messages import StartOrder, pack, unpack
from hyssopring.jobs.model import Job, Queue, Size, Step
from standins.jobs.advice import SimAdvice
from standins.jobs.run_recorder import RunRecorder
from standins.jobs.processes import ZONE, Agent, Entry
from standins.jobs.rows import MemoryRows
from standins.jobs.sorted_clock import SortedClock
from standins.jobs.worker import SimWorker

LINK_S = 0.001
STEP_S = 0.01
# How long an agent's shutdown may take.
GRACE_S = 5.2
WALL_MS = 1_700_000_000_000


class Deployment:
    """Entries and workers with their agents, and methods to inject faults.

    Attributes:
        step_s: The step by which the clock advances.
        zones: If set, the agents are in these zones in turn, and the entries
            follow the operator's rows.
        options: The optional parts of scheduling; None for none of them.
        zone_by_entry: The availability zones of entries by name.
        skew_ms_by_process: How far the time of day of a process's VM is
            ahead, by its name.
    """

    step_s = STEP_S

    def __init__(
        self,
        workers=4,
        entries=3,
        work_ms=lambda task: 1000,
        rate=1,
        cores_by_entry=(),
        keeps_ids=False,
        zones=(),
        options=None,
        zone_by_entry=(),
    ):
        self.options = options
        self.zone_by_entry = dict(zone_by_entry)
        self.cores_by_entry = dict(cores_by_entry)
        self.skew_ms_by_process = {}
        self.zones = zones
        self.zone_by_agent = {
            f'agent-{number}': zone
            for number, zone in zip(range(workers), itertools.cycle(zones))
        }
        self.reactor = SortedClock()
        self.rows = MemoryRows(self.reactor)
        self.run_recorder = RunRecorder()
        self.advice = SimAdvice(self.reactor)
        self.links = {}
        self.link_s = _even_link
        # If set, a frozen process never reads messages of a closed connection
        # after it opened the next one. The seeds of the random schedules were
        # drawn without this.
        self.drops_old = False
        self.cut = set()
        # Pairs of processes between which all messages are dropped.
        self.cut_pairs = set()
        self.blocked = set()
        self._work = {
            'work_ms': work_ms,
            'rate': rate,
            'keeps_id': keeps_ids,
        }
        self._incarnations = itertools.count(1)
        self.workers = [
            self._worker(f'worker-{number}') for number in range(workers)
        ]
        self.entries = {}
        self.agents = {}
        for number in range(entries):
            self.start_entry(f'entry-{number}')
        for number, worker in enumerate(self.workers):
            self.start_agent(f'agent-{number}', worker)

    def _worker(self, name):
        worker = SimWorker(self.reactor, name, self.run_recorder, **self._work)
        worker.advice = self.advice
        worker.shows_progress = self._has_stragglers
        return worker

    @property
    def _has_stragglers(self):
        return self.options is not None and self.options.stragglers is not None

    def add_vm(self, name):
        """Add a VM with a worker and its agent."""
        worker = self._worker(f'worker-{name}')
        self.workers.append(worker)
        self.start_agent(f'agent-{name}', worker)
        return worker

    def wall_ms(self):
        return WALL_MS + self.reactor.seconds() * MILLIS_PER_SECOND

    def wall_clock(self, name):
        """Return a process's clock for the time of day."""
        skews = self.skew_ms_by_process
        return lambda: self.wall_ms() + skews.get(name, 0)

    def start_entry(self, name):
        self.entries[name] = Entry(self, name, str(next(self._incarnations)))

    def start_agent(self, name, worker):
        self.agents[name] = Agent(self, name, worker)

    def kill_entry(self, name):
        self.entries[name].is_alive = False
        self._unlink(name)

    def kill_agent(self, name):
        self.agents[name].is_alive = False
        self._unlink(name)

    def is_cut(self, one, other):
        return (
            one in self.cut
            or other in self.cut
            or frozenset((one, other)) in self.cut_pairs
        )

    def cut_off(self, name):
        """Drop all messages to and from a process, which keeps running."""
        self.cut.add(name)
        self._unlink(name)

    def heal(self, name):
        self.cut.discard(name)

    def cut_to_zone(self, name, near):
        """Cut an entry off from the store and all but these agents."""
        self.rows.rejected_clients.add(name)
        self.cut_pairs |= {
            frozenset((name, other))
            for other in (*self.entries, *self.agents)
            if other != name and other not in near
        }
        for pair in [
            pair for pair in self.links if frozenset(pair) in self.cut_pairs
        ]:
            self._unlink_pair(pair)

    def heal_pairs(self, name):
        """End the cuts of an entry."""
        self.rows.rejected_clients.discard(name)
        self.cut_pairs = {pair for pair in self.cut_pairs if name not in pair}

    def link(self, agent, entry):
        generation = object()
        self.links[agent.name, entry.name] = generation
        zone = self.zone_by_agent.get(agent.name, ZONE)
        entry.core.agent_connected(agent.name, zone)
        agent.core.connected(entry.name)

    def block(self, agent_name, entry_name):
        """Close the connection of an agent and an entry and prevent others."""
        self.blocked.add((agent_name, entry_name))
        self._unlink_pair((agent_name, entry_name))

    def time_out(self, agent_name, entry_name):
        """Close a silent connection; a frozen process learns it later."""
        pair = (agent_name, entry_name)
        if self.links.pop(pair, None) is None:
            return
        agent, entry = self.agents[agent_name], self.entries[entry_name]
        for process, learn, peer in (
            (agent, agent.core.disconnected, entry_name),
            (entry, entry.core.agent_disconnected, agent_name),
        ):
            process.reactor.run(self._learn_of_end, pair, learn, peer)

    def _learn_of_end(self, pair, learn, peer):
        if pair not in self.links:
            learn(peer)

    def stop_agent(self, name):
        """Shut an agent down gracefully, with time for its last messages."""
        agent = self.agents[name]
        agent.core.stop()
        self._end_agent(agent, self.reactor.seconds() + GRACE_S)

    def _end_agent(self, agent, deadline):
        if not agent.is_alive:
            return
        if agent.core.shutdown.can_exit or self.reactor.seconds() > deadline:
            self.reactor.callLater(STEP_S, self._kill_process, agent)
        else:
            self.reactor.callLater(0.05, self._end_agent, agent, deadline)

    def _kill_process(self, agent):
        if agent.is_alive:
            self.kill_agent(agent.name)

    def _unlink(self, name):
        for pair in [pair for pair in self.links if name in pair]:
            self._unlink_pair(pair)

    def _unlink_pair(self, pair):
        self.links.pop(pair)
        agent, entry = self.agents[pair[0]], self.entries[pair[1]]
        if agent.is_alive:
            agent.core.disconnected(entry.name)
        if entry.is_alive:
            entry.core.agent_disconnected(agent.name)

    def carry(self, sender, name, message):
        """Send a message; messages in flight are lost with their connection."""
        receiver = self.entries.get(name) or self.agents.get(name)
        if (
            receiver is None
            or not receiver.is_alive
            or self.is_cut(sender.name, name)
        ):
            return False
        pair = (
            (sender.name, name)
            if sender.name in self.agents
            else (name, sender.name)
        )
        generation = self.links.get(pair)
        is_agent_link = name in self.agents or sender.name in self.agents
        if is_agent_link and generation is None:
            return False
        if isinstance(message, StartOrder):
            facts = message.facts
            self.run_recorder.ordered(facts.task, facts.attempt)
        payload = pack(message)
        self.reactor.callLater(
            self.link_s(self.reactor.seconds(), sender.name, name),
            self._deliver,
            sender,
            receiver,
            pair,
            generation,
            payload,
        )
        return True

    def _deliver(self, sender, receiver, pair, generation, payload):
        if self.links.get(pair) is not generation or not receiver.is_alive:
            return
        receiver.reactor.run(
            self._take, sender, receiver, pair, generation, payload
        )

    def _take(self, sender, receiver, pair, generation, payload):
        is_old = self.links.get(pair) is not generation
        if not (is_old and self.drops_old):
            receiver.take(unpack(payload), sender.name)

    def run(self, seconds):
        for _step in range(round(seconds / self.step_s)):
            self.reactor.advance(self.step_s)
            for worker in self.workers:
                worker.settle()
            assert not self.run_recorder.broken, self.run_recorder.broken

    def submit(self, job, entry='entry-0'):
        """Submit a job; the returned list receives the outcome."""
        outcomes = []
        self.run_recorder.most_failures[job.job_id] = job.queue.max_attempts
        for step in job.steps:
            self.run_recorder.sizes[job.job_id] = step.reserved_size
        if job.queue.advice is not None:
            self.run_recorder.advised.add(job.job_id)
        for number, step in enumerate(job.steps):
            if step.is_copyable and self._has_stragglers:
                self.run_recorder.copyable.add((job.job_id, str(number)))
            if step.is_keeper:
                self.run_recorder.keepers.update(map(str, job.tasks(0, number)))
        until = self.wall_ms() - WALL_MS + 2000
        self.entries[entry].core.job_api.submit(job, until).addCallback(
            outcomes.append
        )
        return outcomes

    def state(self, job_id, entry='entry-0'):
        states = []
        self.entries[entry].core.job_api.state(job_id).addCallback(
            states.append
        )
        self.run(1)
        return states[0].unwrap() if states else None

    @property
    def owner(self):
        """The name of the entry that owns the first shard."""
        return next(
            name
            for name, entry in self.entries.items()
            if entry.is_alive and entry.core.owner.shards.by_shard
        )


def _even_link(_now, _sender, _receiver):
    """Return the delay of a message where nothing slows connections down."""
    return LINK_S


def a_job(number=1, steps=((4, ()),), attempts=3, **changes):
    """Return a job of equal steps, each given as (tasks, previous steps)."""
    size = Size(1000, 1000, 0)
    made = tuple(
        Step(count, size, 1000, after, **changes) for count, after in steps
    )
    return Job(
        f'{number:016x}',
        Queue('queue', 'service', 0, attempts, 2, 1000),
        'x',
        made,
    )


def settled(deployment=None, **options):
    """Return a deployment whose first shard has an owner."""
    deployment = deployment or Deployment(**options)
    deployment.run(3)
    assert deployment.owner
    return deployment


def starts_of(deployment, job):
    return [
        row
        for row in deployment.run_recorder.starts
        if row[2].startswith(job.job_id)
    ]
