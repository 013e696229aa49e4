"""Fault schedules with lost VMs and repeated takeovers."""

from standins.jobs.rolling_days import RollingDay

ROUNDS = 2
LEAST_VMS = 3
FIRST_KEEPERS = 3
# Long enough for the specified bound after the longest safe wait for a VM.
CALM_S = 30
# Without new jobs; twice this time suffices for all batch jobs to end.
QUIET_S = 10
FOR_GOOD_S = 1e9


class OutageDay(RollingDay):
    """Power failures, after which some VMs do not return in time.

    All entries, agents and workers end at once. Some VMs return late or never,
    an entry may restart under another name, and the next owners are killed as
    well. No fault is injected after that for a while, but VMs may return.
    """

    job_each_s = 1.2
    # Minimum and maximum number of owners lost after each power failure.
    owners_lost = (0, 3)

    def __init__(self, seed, workers=5):
        super().__init__(seed, workers, keeps_ids=bool(seed % 2))

    def play(self):
        """Run the schedule; return lines of violations."""
        self.deployment.run(3)
        self._pass(self.random.uniform(6, 9))
        for _round in range(ROUNDS):
            self._note(self._lose)
            self._lose()
            self._pass(self.random.uniform(3, 8))
            self._lose_owners()
            self._pass(CALM_S - QUIET_S)
            self._pass(QUIET_S, has_jobs=False)
        self._pass(QUIET_S, has_jobs=False)
        return [*self.watch.missed, *self._left()]

    def _note(self, fault, *given):
        self.faults.append((round(self._now(), 1), fault.__name__, *given))

    def _draw_job(self):
        if self.number <= FIRST_KEEPERS:
            return self._job(self._draw_keeper())
        return super()._draw_job()

    def _lose(self):
        """Power off everything; some VMs do not return."""
        owner = self._owner()
        staying_away = self._draw_vms(self.random.choice([0, 1, 1, 2]))
        for name, entry in list(self.deployment.entries.items()):
            if entry.is_alive:
                self._restart_entry(name, name == owner)
        for name in self._vms():
            if name in staying_away:
                self._lose_vm(name)
            else:
                away_s = self.random.uniform(1, 4)
                self._end_vm(name, away_s, away_s)

    def _vms(self):
        return [
            each for each in self.deployment.agents if each not in self.gone
        ]

    def _draw_vms(self, count):
        vms = self._vms()
        most = max(0, len(vms) - LEAST_VMS)
        return self.random.sample(vms, min(count, most))

    def _lose_vm(self, name):
        """Lose a VM for long, or permanently and perhaps with a replacement."""
        if self.random.random() < 0.5:
            away_s = self.random.uniform(5, 30)
        else:
            away_s = FOR_GOOD_S
            self.gone.add(name)
            if self.random.random() < 0.5:
                self._later(2, 8, self._add_vm)
        self._note(self._lose_vm, name, round(away_s, 1))
        self._end_vm(name, *self._parts_away_s(name, away_s))

    def _parts_away_s(self, _name, away_s):
        """Return the downtimes of the worker and the agent of a lost VM."""
        return away_s, away_s

    def _end_vm(self, name, worker_s, agent_s):
        """Power off a VM; worker and agent restart in either order."""
        agent = self.deployment.agents[name]
        agent.worker.go_down(worker_s)
        if agent.is_alive:
            self.deployment.kill_agent(name)
            self._later(agent_s - 0.5, agent_s + 1, self._agent_back, name)

    def _restart_entry(self, name, may_be_replaced=True):
        """Kill an entry; it restarts, or another one does in its place."""
        self.deployment.kill_entry(name)
        new_name = name
        if may_be_replaced and self.random.random() < 0.4:
            new_name = f'{name}+'
        self._note(self._restart_entry, name, new_name)
        self._later(1, 4, self._start_entry, new_name)

    def _start_entry(self, name):
        entry = self.deployment.entries.get(name)
        if entry is None or not entry.is_alive:
            self.deployment.start_entry(name)

    def _lose_owners(self):
        """Lose owners one after the other, while a few tasks fail."""
        for _each in range(self.random.randint(*self.owners_lost)):
            if self.random.random() < 0.5:
                self._later(0, 2, self._fail_runs)
            self._lose_one_owner()
            self._pass(self.random.uniform(2, 6))

    def _lose_one_owner(self):
        name = self._owner()
        if not self.deployment.entries[name].is_alive:
            return
        if self.random.random() < 0.2:
            self._note(self._plan_stop, name)
            self._plan_stop(name)
        else:
            self._restart_entry(name)

    def _owner(self):
        alive = [
            name
            for name, entry in self.deployment.entries.items()
            if entry.is_alive
        ]
        owners = [
            name
            for name in alive
            if self.deployment.entries[name].core.owner.shards.by_shard
        ]
        return self.random.choice(
            owners or alive or list(self.deployment.entries)
        )


class HalfVmDay(OutageDay):
    """Power failures, after which only an agent or only a worker stays down."""

    def _parts_away_s(self, name, away_s):
        short_s = self.random.uniform(1, 4)
        if name in self.gone or self.random.random() < 0.5:
            return short_s, away_s
        return away_s, short_s


class TakeoverDay(OutageDay):
    """The loss of a VM, and then of one owner after the other."""

    owners_lost = (1, 4)

    def _lose(self):
        for name in self._draw_vms(1):
            self._lose_vm(name)


class CutVmDay(OutageDay):
    """Unreachable VMs that keep running, with repeated takeovers.

    They are cut off from one or all entries, or only their agents are down. An
    owner may freeze for a while and resume. A wait that ends too early shows
    as a task that runs twice.
    """

    owners_lost = (1, 4)

    def _lose(self):
        for name in self._draw_vms(self.random.choice([1, 2])):
            lose = self.random.choice(
                [self._cut_vm, self._cut_from_one, self._lose_agent]
            )
            self._note(lose, name)
            lose(name, self.random.uniform(2, 20))

    def _cut_vm(self, name, away_s):
        self.deployment.cut_off(name)
        self._later(away_s, away_s, self.deployment.heal, name)

    def _cut_from_one(self, name, away_s):
        entry = self.random.choice(list(self.deployment.entries))
        if (name, entry) in self.deployment.links:
            self.deployment.block(name, entry)
            pair = (name, entry)
            self._later(away_s, away_s, self.deployment.blocked.discard, pair)

    def _lose_agent(self, name, away_s):
        if self.deployment.agents[name].is_alive:
            self.deployment.kill_agent(name)
            self._later(away_s, away_s, self._agent_back, name)

    def _lose_one_owner(self):
        if self.random.random() < 0.3:
            owner = self.deployment.entries[self._owner()]
            self._note(self._freeze_entry, owner.name)
            owner.thaws_at = self._now() + self.random.uniform(2, 14)
        else:
            super()._lose_one_owner()
