"""Makes faults, ends them, and counts which work each one met."""

from collections import Counter

from hyssopring.tasks import TaskKind
from soak.schedule import BACKEND_FAULTS, LINK_FAULTS, VM_FAULTS

__all__ = ('Faults',)

_AT_ALL_ENTRIES = frozenset(
    ('table-down', 'table-slow', 'roll-entries', 'table-down-roll')
)


class Faults:
    """The faults of one world."""

    def __init__(self, world):
        self.world = world
        self.met = Counter()
        self.made = Counter()
        self._healers = []
        self._armed = []
        self._newest = len(world.agents())
        world.on_moment = self._on_moment

    @property
    def active(self):
        """How many faults are in force."""
        return len(self._healers)

    def arm(self, moment, fault, choices, span_ms):
        """Make the fault at the next such moment, where it happens."""
        self._armed.append((moment, fault, choices, span_ms))

    def disarm(self):
        self._armed.clear()

    def _on_moment(self, moment, process):
        for armed in self._armed:
            if armed[0] != moment:
                continue
            self._armed.remove(armed)
            _, fault, choices, span_ms = armed
            # After the present step: a process does not die within one.
            self.world.loop.later(
                0, self.make, fault, choices, span_ms, process, moment
            )
            return

    def make(self, fault, choices, span_ms, process=None, moment=''):
        """Bring a fault about; it ends after its span."""
        world = self.world
        is_at_agent = process in world.agents()
        is_at_entry = process in world.entries()
        entry = process if is_at_entry else _pick(world.entries(), choices[0])
        agent = process if is_at_agent else _pick(world.agents(), choices[1])
        if fault in VM_FAULTS + BACKEND_FAULTS + ('worker-fails',):
            targets = [agent]
        elif fault in LINK_FAULTS:
            targets = [agent]
        elif fault in _AT_ALL_ENTRIES:
            targets = world.entries()
        elif fault in {'zone-gone', 'zone-dies'}:
            zone = agent.core.identity.zone
            targets = [
                node
                for node in world.entries() + world.agents()
                if node.core.identity.zone == zone
            ]
        else:
            targets = [entry]
        maker = getattr(self, '_' + fault.replace('-', '_'))
        work = Counter({moment: 1} if moment else {})
        for target in targets:
            work += self.work_at(target)
        healer = maker(*targets[:1], choices, span_ms) or _nothing
        world.promises.note(
            f'FAULT {fault} at {[target.name for target in targets]} '
            f'for {span_ms:.0f} ms {"at " + moment if moment else ""}'
        )
        self.made[fault] += 1
        for kind in +work:
            self.met[fault, kind] += 1
        if healer is not _nothing:
            token = [healer]
            self._healers.append(token)
            world.loop.later(span_ms, self._heal, token)

    def heal_all(self):
        """End all faults that have not ended."""
        self.disarm()
        while self._healers:
            self._heal(self._healers[0])
        for entry in self.world.entries():
            entry.lose_moment = None

    def work_at(self, process):
        """Which kinds of work a process has under way."""
        work = Counter()
        if process in self.world.entries():
            work += Counter(process.open_commits)
            for submission in self.world.promises.submission_by_body.values():
                is_open = submission.answer is None
                is_here = submission.entry is process
                if is_open and is_here:
                    work[submission.kind] += 1
            return work
        for backend in process.backend_by_name.values():
            for submission in backend.running.values():
                work[submission.kind] += 1
        for task in process.worker.worker.running().values():
            is_batch = task['command']['kind'] == TaskKind.BATCH.value
            work['batch' if is_batch else 'keeper'] += 1
        return work

    def _heal(self, token):
        if token in self._healers:
            self._healers.remove(token)
            token[0]()

    # Entries.

    def _entry_kill(self, entry, choices, span_ms):
        number = _number(entry)
        if not entry.is_alive:
            return None
        self.world.deployment.kill_entry(number)

        def restart():
            fresh = self.world.deployment.restart_entry(number)
            self.world.watch_entry(fresh)

        return restart

    def _entry_pause(self, entry, choices, span_ms):
        return self._pause(entry)

    def _pause(self, process):
        if not process.is_alive or process.is_paused:
            return None
        process.is_paused = True

        def resume():
            process.resumed_at = self.world.loop.now
            process.is_paused = False

        return resume

    def _table_cut(self, entry, choices, span_ms):
        entry.store.is_cut = True

        def join():
            entry.store.is_cut = False

        return join

    def _lose_answer(self, entry, choices, span_ms):
        # Whatever this entry commits next takes effect unheard.
        entry.lose_moment = 'any'

    def _table_down(self, entry, choices, span_ms):
        table = self.world.deployment.table
        table.outage = True

        def up():
            table.outage = False

        return up

    def _table_slow(self, entry, choices, span_ms):
        table = self.world.deployment.table
        table.delay_ms = (300, 1500, 3000)[choices[2] % 3]

        def quick():
            table.delay_ms = 0

        return quick

    def _roll_entries(self, entry, choices, span_ms):
        for order, node in enumerate(self.world.entries()):
            self.world.loop.later(
                order * 700.0, self._roll_one, node.name, choices
            )

    def _table_down_roll(self, entry, choices, span_ms):
        """All entries are replaced while the table is down."""
        self._roll_entries(entry, choices, span_ms)
        return self._table_down(entry, choices, span_ms)

    def _zone_dies(self, node, choices, span_ms):
        """All VMs of a zone die without a word and are replaced."""
        world = self.world
        zone = node.core.identity.zone
        healers = [
            self._vm_replace(other, choices, span_ms)
            for other in world.agents()
            if other.core.identity.zone == zone
        ]
        for entry in world.entries():
            if entry.core.identity.zone == zone:
                healers.append(self._entry_kill(entry, choices, span_ms))
        healers = [healer for healer in healers if healer]

        def replace():
            for healer in healers:
                healer()

        return replace

    def _roll_one(self, name, choices):
        entry = self.world.deployment.entry_by_name[name]
        healer = self._entry_kill(entry, choices, 0)
        if healer is not None:
            self._healers.append([healer])
            self.world.loop.later(300, self._heal, self._healers[-1])

    # VMs.

    def _agent_kill(self, agent, choices, span_ms):
        number = _number(agent)
        if not agent.is_alive:
            return None
        self.world.deployment.kill_agent(number)

        def restart():
            self.world.deployment.restart_agent(number)

        return restart

    def _agent_pause(self, agent, choices, span_ms):
        return self._pause(agent)

    def _worker_pause(self, agent, choices, span_ms):
        return self._pause(agent.worker)

    def _vm_pause(self, agent, choices, span_ms):
        healers = [self._pause(agent.worker), self._pause(agent)]
        healers = [healer for healer in healers if healer]
        if not healers:
            return None

        def resume():
            for healer in healers:
                healer()

        return resume

    def _vm_replace(self, agent, choices, span_ms):
        """The VM dies without a word; a new one takes its id."""
        return self._lose_vm(agent, _number(agent))

    def _vm_renew(self, agent, choices, span_ms):
        """The VM dies without a word; one with a new id takes its place."""
        self._newest += 1
        return self._lose_vm(agent, self._newest)

    def _lose_vm(self, agent, number):
        world = self.world
        if not agent.is_alive:
            return None
        agent.is_alive = False
        agent.worker.is_alive = False
        for link in agent.link_by_entry.values():
            link.is_silent = True
        for backend in agent.backend_by_name.values():
            backend.is_dead = True
            backend.running.clear()
        agent.worker.worker.end_all()

        def replace():
            old = world.deployment.agent_by_name.pop(agent.name)
            world.deployment.agent_by_name[f'agent-{number}'] = old
            fresh = world.deployment.restart_agent(number, keep_worker=False)
            world.workers.remove(agent.worker.worker)
            world.watch_agent(fresh)
            world.add_backends(fresh)

        return replace

    def _worker_fails(self, agent, choices, span_ms):
        worker = agent.worker.worker
        worker.fails = True

        def mend():
            worker.fails = False

        return mend

    # Backend servers.

    def _backend_kill(self, agent, choices, span_ms):
        backend = _pick(list(agent.backend_by_name.values()), choices[2])
        if backend.is_dead:
            return None
        backend.kill()

        return backend.come_up

    def _backend_leave(self, agent, choices, span_ms):
        backend = _pick(list(agent.backend_by_name.values()), choices[2])
        if backend.is_leaving or backend.is_dead:
            return None
        backend.leave()

        def come_back():
            backend.is_leaving = False
            backend.left_at = None

        return come_back

    # Connections.

    def _links_of(self, agent, choices):
        links = [
            agent.link_by_entry[name] for name in sorted(agent.link_by_entry)
        ]
        # Sometimes one connection, sometimes all of this VM's.
        return links if choices[2] % 3 == 0 else links[choices[3] % 3 :][:1]

    def _cut(self, agent, choices, span_ms):
        links = self._links_of(agent, choices)
        pairs = {(link.entry.name, link.agent.name) for link in links}
        for link in links:
            link.close()
        deployment = self.world.deployment
        deployment.blocked_pairs |= pairs

        def join():
            deployment.blocked_pairs -= pairs

        return join

    def _silence(self, agent, choices, span_ms):
        for link in self._links_of(agent, choices):
            link.is_silent = True

    def _silence_to_agent(self, agent, choices, span_ms):
        for link in self._links_of(agent, choices):
            link.is_silent_to_agent = True

    def _silence_to_entry(self, agent, choices, span_ms):
        for link in self._links_of(agent, choices):
            link.is_silent_to_entry = True

    def _late(self, agent, choices, span_ms):
        links = self._links_of(agent, choices)
        for link in links:
            link.delay_ms = (5.0, 80.0, 900.0)[choices[3] % 3]

        def hurry():
            for late in links:
                late.delay_ms = 0.0

        return hurry

    def _zone_gone(self, node, choices, span_ms):
        """A zone loses its network: connections, and the table."""
        world = self.world
        zone = node.core.identity.zone
        here = [
            other.name
            for other in world.entries() + world.agents()
            if other.core.identity.zone == zone
        ]
        pairs = {
            (entry.name, agent.name)
            for entry in world.entries()
            for agent in world.agents()
            if (entry.name in here) != (agent.name in here)
        }
        for link in world.deployment.links:
            if (link.entry.name, link.agent.name) in pairs and link.is_open:
                link.is_silent = True
        cut = [entry for entry in world.entries() if entry.name in here]
        for entry in cut:
            entry.store.is_cut = True
        world.deployment.blocked_pairs |= pairs

        def come_back():
            world.deployment.blocked_pairs -= pairs
            for entry in cut:
                entry.store.is_cut = False

        return come_back


def _nothing():
    """A fault that ends by itself."""


def _pick(nodes, choice):
    return nodes[choice % len(nodes)]


def _number(node):
    return int(node.name.rpartition('-')[2])
