"""The faults of a world: armed and active ones, and the affected work."""

from collections import Counter

from hyssopring.tasks import TaskKind
from soak.faults import backends, entries, links, table, vms, zones
from soak.faults.targets import pick
from soak.schedule import BACKEND_FAULTS, LINK_FAULTS, VM_FAULTS

__all__ = ('Faults',)

# A maker gets the faults, a target and the step's choices. It returns a
# function that ends the fault, or None if the fault ends by itself or could
# not be started.
_MAKER_BY_FAULT = {
    **entries.MAKERS,
    **table.MAKERS,
    **vms.MAKERS,
    **backends.MAKERS,
    **links.MAKERS,
    **zones.MAKERS,
}
_AT_AGENT = frozenset(
    VM_FAULTS + BACKEND_FAULTS + LINK_FAULTS + ('worker-fails',)
)
_AT_ALL_ENTRIES = frozenset(
    ('table-down', 'table-slow', 'roll-entries', 'table-down-roll')
)
_AT_ZONE = frozenset(('zone-gone', 'zone-dies'))


class Faults:
    """The faults of a world.

    Attributes:
        met: Counts by fault and kind of affected work.
        made: Counts by fault.
    """

    def __init__(self, world):
        self.world = world
        self.met = Counter()
        self.made = Counter()
        self._healers = []
        self._armed = []
        self._newest = len(world.agents())
        world.on_trigger = self._on_trigger

    @property
    def active(self):
        """Number of faults in force."""
        return len(self._healers)

    def arm(self, trigger, fault, choices, span_ms):
        """Start the fault at the next such event, in the same process."""
        self._armed.append((trigger, fault, choices, span_ms))

    def disarm(self):
        """Cancel the armed faults."""
        self._armed.clear()

    def make(self, fault, choices, span_ms, process=None, trigger=''):
        """Start a fault, which ends after its span."""
        targets = self._targets(fault, choices, process)
        work = Counter({trigger: 1} if trigger else {})
        for target in targets:
            work += self.work_at(target)
        healer = _MAKER_BY_FAULT[fault](self, targets[0], choices)
        self.world.promises.note(
            f'FAULT {fault} at {[target.name for target in targets]} '
            f'for {span_ms:.0f} ms {"at " + trigger if trigger else ""}'
        )
        self.made[fault] += 1
        for kind in +work:
            self.met[fault, kind] += 1
        if healer is not None:
            self.heal_later(healer, span_ms)

    def heal_later(self, healer, span_ms):
        """End a fault after a time in ms, or in ``heal_all``."""
        token = [healer]
        self._healers.append(token)
        self.world.loop.later(span_ms, self._heal, token)

    def heal_all(self):
        """End all faults, and cancel the armed ones."""
        self.disarm()
        while self._healers:
            self._heal(self._healers[0])
        for entry in self.world.entries():
            entry.lose_trigger = None

    def new_agent_number(self):
        """Return an agent number that was not used in this world."""
        self._newest += 1
        return self._newest

    def work_at(self, process):
        """Return the pending work of a process, counted by kind."""
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

    def _on_trigger(self, trigger, process):
        for armed in self._armed:
            if armed[0] != trigger:
                continue
            self._armed.remove(armed)
            _, fault, choices, span_ms = armed
            # After the present event, as a process doesn't crash within one.
            self.world.loop.later(
                0, self.make, fault, choices, span_ms, process, trigger
            )
            return

    def _targets(self, fault, choices, process):
        """Return the affected processes.

        Args:
            process: Where the trigger occurred, if any.
        """
        world = self.world
        is_at_agent = process in world.agents()
        is_at_entry = process in world.entries()
        entry = process if is_at_entry else pick(world.entries(), choices[0])
        agent = process if is_at_agent else pick(world.agents(), choices[1])
        if fault in _AT_AGENT:
            return [agent]
        if fault in _AT_ALL_ENTRIES:
            return world.entries()
        if fault in _AT_ZONE:
            return [
                node
                for node in world.entries() + world.agents()
                if node.core.identity.zone == agent.core.identity.zone
            ]
        return [entry]

    def _heal(self, token):
        if token in self._healers:
            self._healers.remove(token)
            token[0]()
