"""Faults of schedules in which entries and VMs are replaced one by one.

``faults.py`` draws independent faults. Planned replacements that coincided
with slow connections, a slow store or a slow worker made tasks run twice and
lost keepers, so those are drawn here as well.
"""

import random

from standins.jobs.calm import Calm
from standins.jobs.faults import RandomDay
from standins.jobs.keeper_watch import KeeperWatch
from standins.jobs.rows import no_pauses
from standins.jobs.slow_links import SlowLinks
from standins.jobs.stillness import Stillness

# How long an entry runs after a planned stop has released its shards.
LINGER_S = 3
LEAST_VMS = 3
NEW_PART = 0.7


class RollingFaults(RandomDay):
    """A random fault schedule with rolling replacements.

    Events that depend on the code under test (delays of its messages and
    requests, ends of its runs) are drawn from another generator than faults,
    so that the faults of a seed and their times hardly change with the code.

    Attributes:
        chances: The generator of events that depend on the code under test.
        leaving: Agents of VMs that are being or have been removed.
        gone: Agents of VMs that have been removed.
        stopping: Entries in a planned stop; they accept no jobs.
    """

    def __init__(self, seed, workers=5, keeps_ids=False):
        self.leaving = set()
        self.gone = set()
        self.stopping = set()
        super().__init__(seed, workers, keeps_ids)
        self.calm = Calm(self.deployment)
        self.chances = random.Random(f'chances {seed}')
        self.links = SlowLinks(self.chances)
        self.deployment.link_s = self.links
        self.deployment.drops_old = True

    def _new_watch(self):
        stillness = Stillness(
            self.deployment,
            self.gone,
            lambda: self.links.is_slow or self.stopping,
        )
        return KeeperWatch(self.deployment, stillness)

    def _kinds(self):
        self.calm.record_fault()
        if self.random.random() > NEW_PART:
            return super()._kinds()
        return [
            self._slow_links,
            self._slow_store,
            self._roll_entries,
            self._stop_one_entry,
            self._kill_all_entries,
            self._replace_vms,
            self._roll_all,
            self._take_vm,
            self._add_vm,
            self._agent_beside_slow_worker,
            self._late_orders,
            self._refuse_starts,
            self._takeover_over_slow_links,
            self._fail_runs,
        ]

    def _later(self, low, high, action, *given):
        self.calm.pending += 1
        super()._later(low, high, self._part_over, action, *given)

    def _part_over(self, action, *given):
        self.calm.pending -= 1
        self.calm.record_fault()
        action(*given)

    def _fails(self, task):
        return self.chances.random() < 0.05

    def _now(self):
        return self.deployment.reactor.seconds()

    def _usable_entries(self):
        """Return the names of the entries that answer callers."""
        return [
            name
            for name, entry in self.deployment.entries.items()
            if entry.is_alive
            and entry not in self.stopping
            and (entry.thaws_at or 0) <= self._now()
        ]

    def _live_agents(self):
        return [
            name
            for name, agent in self.deployment.agents.items()
            if agent.is_alive and name not in self.leaving
        ]

    def _owner(self):
        for name, entry in self.deployment.entries.items():
            if entry.is_alive and entry.core.owner.shards.by_shard:
                return name
        return self.random.choice(list(self.deployment.entries))

    def _slow_links(self):
        """Slow down the connections of some agents or entries for a while."""
        names = self._live_agents()
        if self.random.random() < 0.4 or not names:
            names = list(self.deployment.entries)
        count = min(len(names), self.random.randint(1, 3))
        for name in self.random.sample(names, count):
            self._slow_link(name)

    def _slow_link(self, name):
        low = self.random.uniform(0.02, 0.5)
        high = self.random.uniform(low, 0.9)
        ways = self.random.choice([(True, True), (True, False), (False, True)])
        self.links.slow(name, (low, high), *ways)
        self._later(1, 8, self.links.heal, name)

    def _slow_store(self):
        low = self.random.uniform(0.05, 0.3)
        high = self.random.uniform(low, 0.6)
        self.deployment.rows.pauses = lambda: self._pauses(low, high)
        self._later(2, 8, self._quick_store)

    def _pauses(self, low, high):
        """Return the delays before and after a call is carried out."""
        whole_s = self.chances.uniform(low, high)
        before_s = self.chances.uniform(0, whole_s)
        return before_s, whole_s - before_s

    def _quick_store(self):
        self.deployment.rows.pauses = no_pauses

    def _stop_one_entry(self):
        self._plan_stop(self.random.choice(list(self.deployment.entries)))

    def _roll_entries(self):
        """Plan stops of all entries, one after the other or overlapping."""
        names = list(self.deployment.entries)
        self.random.shuffle(names)
        gap_s = self.random.choice([0.5, 2, 4.5, 6])
        for number, name in enumerate(names):
            at = number * gap_s
            self._later(at, at + 0.5, self._plan_stop, name)

    def _plan_stop(self, name):
        entry = self.deployment.entries[name]
        if not entry.is_alive or entry in self.stopping:
            return
        self.stopping.add(entry)
        entry.reactor.run(entry.core.release)
        self._later(LINGER_S, LINGER_S, self._end_entry, entry)

    def _end_entry(self, entry):
        """End a planned stop, unless the process was killed before."""
        self.stopping.discard(entry)
        if entry.is_alive:
            self.deployment.kill_entry(entry.name)
            self._later(1, 2, self._entry_back, entry.name)

    def _kill_all_entries(self):
        for name, entry in self.deployment.entries.items():
            if entry.is_alive:
                self.deployment.kill_entry(name)
                self._later(1, 4, self._entry_back, name)

    def _takeover_over_slow_links(self):
        """Lose an owner while the connections of some agents are slow."""
        self._slow_links()
        if self.random.random() < 0.5:
            self._slow_link(self.random.choice(list(self.deployment.entries)))
        self._later(0, 1, self._lose_owner)

    def _lose_owner(self):
        name = self._owner()
        if self.random.random() < 0.6:
            self._plan_stop(name)
        elif self.deployment.entries[name].is_alive:
            self.deployment.kill_entry(name)
            self._later(1, 4, self._entry_back, name)

    def _roll_all(self):
        """Replace entries and VMs at the same time."""
        self._roll_entries()
        self._replace_vms()

    def _replace_vms(self):
        """Replace several VMs one after the other."""
        gap_s = self.random.choice([0.5, 1.5, 3])
        for number in range(self.random.randint(2, 4)):
            at = number * gap_s
            self._later(at, at + 0.5, self._replace_vm)

    def _replace_vm(self):
        self._add_vm()
        self._take_vm()

    def _add_vm(self):
        name = f'new-{len(self.deployment.workers)}'
        self.deployment.add_vm(name).fails = self._fails

    def _take_vm(self):
        """Remove a VM after its worker has announced that it leaves."""
        staying = [
            name for name in self.deployment.agents if name not in self.leaving
        ]
        if len(staying) <= LEAST_VMS:
            return
        name = self.random.choice(staying)
        self.leaving.add(name)
        notice_s = self.random.uniform(0.5, 8)
        worker = self.deployment.agents[name].worker
        worker.is_leaving = True
        worker.leaves_at = self._now() + notice_s
        self._later(notice_s, notice_s, self._end_worker, worker)
        self._later(notice_s - 0.3, notice_s + 0.5, self._end_agent, name)

    def _end_worker(self, worker):
        worker.crash()
        worker.is_unresponsive = True
        worker.lose_next = 0

    def _end_agent(self, name):
        self.gone.add(name)
        if self.deployment.agents[name].is_alive:
            self.deployment.kill_agent(name)

    def _agent_back(self, name):
        if name not in self.gone:
            super()._agent_back(name)

    def _agent_beside_slow_worker(self):
        """Restart an agent while its worker is slow or unreachable."""
        names = self._live_agents()
        if not names:
            return
        name = self.random.choice(names)
        worker = self.deployment.agents[name].worker
        if self.random.random() < 0.6:
            worker.slow_s = self.random.uniform(0.5, 1.4)
            self._later(1, 3, setattr, worker, 'slow_s', 0)
        else:
            worker.is_unresponsive = True
            self._later(1, 3, self._light_up, name)
        self.deployment.kill_agent(name)
        self._later(0.3, 2, self._agent_back, name)

    def _light_up(self, name):
        if name not in self.gone:
            self.deployment.agents[name].worker.is_unresponsive = False

    def _late_orders(self):
        worker = self.random.choice(self.deployment.workers)
        worker.lose_next = self.random.randint(1, 5)
        worker.late_s = self.random.uniform(0.3, 9)

    def _refuse_starts(self):
        worker = self.random.choice(self.deployment.workers)
        worker.is_unhealthy = True
        self._later(1, 6, setattr, worker, 'is_unhealthy', False)

    def _fail_runs(self):
        self.random.choice(self.deployment.workers).fail_all()

    def _heal(self):
        self.calm.record_fault()
        self.links.heal_all()
        self._quick_store()
        self.deployment.rows.lose_next = 0
        super()._heal()
        for worker in self.deployment.workers:
            worker.slow_s = 0
            worker.is_unhealthy = False
        for name in self.gone:
            self.deployment.agents[name].worker.is_unresponsive = True
