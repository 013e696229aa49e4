"""Seeded random fault schedules for the virtual deployment."""

import random

from hyssopring.jobs.model import Job, JobState, Queue, Size, Step
from standins.jobs.deployment import Deployment
from standins.jobs.keeper_jobs import KeeperJobs
from standins.jobs.keeper_watch import KeeperWatch
from standins.jobs.stillness import Stillness

DAY_S = 40
QUIET_S = 45
JOB_EACH_S = 0.6
FAULT_EACH_S = 2.5
TICK_S = 0.2
FOREVER_MS = 1e9


class RandomDay:
    """Jobs and faults drawn from a seed; the record of runs checks invariants.

    With ``has_keepers`` a seed gives another course of events.
    """

    # The optional parts of scheduling.
    options = None
    # If set, the agents are in these availability zones in turn.
    zones = ()
    # The number of entries.
    entries = 3

    def __init__(self, seed, workers=4, keeps_ids=False, has_keepers=True):
        self.random = random.Random(seed)
        self.works = {}
        self.deployment = Deployment(
            workers=workers,
            entries=self.entries,
            work_ms=self._work_ms,
            rate=self.random.choice([1, 0.98]),
            keeps_ids=keeps_ids,
            options=self.options,
            zones=self.zones,
        )
        self.jobs = {}
        self.cancelled = set()
        self.accepted = {}
        self.faults = []
        self.number = 0
        self.keepers = KeeperJobs(seed, self.deployment, has_keepers)
        self.watch = self._new_watch()
        for worker in self.deployment.workers:
            worker.fails = self._fails

    def play(self):
        """Run the schedule and a quiet period; return lines of violations."""
        deployment = self.deployment
        deployment.run(3)
        next_job, next_fault = 0, 1
        elapsed = 0
        while elapsed < DAY_S:
            self.keepers.submit_due()
            self._tick()
            elapsed += TICK_S
            if elapsed > next_job:
                next_job += self.random.expovariate(1 / JOB_EACH_S)
                self._submit()
            if elapsed > next_fault:
                next_fault += self.random.expovariate(1 / FAULT_EACH_S)
                self._fault()
        self._heal()
        for _tick in range(round(QUIET_S / TICK_S)):
            self._tick()
        left = [line for job_id in self.jobs for line in self._check(job_id)]
        return [*self.watch.missed, *left, *self._check_keepers()]

    def _new_watch(self):
        return KeeperWatch(self.deployment, Stillness(self.deployment))

    def _tick(self):
        self.deployment.run(TICK_S)
        self.watch.check(self._live_keepers())

    def _live_keepers(self):
        """Return the accepted jobs of keepers."""
        return self.keepers.accepted

    def _work_ms(self, task):
        if self.keepers.has(task):
            return FOREVER_MS
        return self.works.setdefault(task, self.random.choice([200, 800, 2500]))

    def _fails(self, task):
        return self.random.random() < 0.05

    def _submit(self):
        self.number += 1
        count = self.random.randint(1, 3)
        steps = tuple(self._step(number) for number in range(count))
        job = Job(
            f'{self.number:016x}',
            Queue('queue', 'service', 0, 6, 2, 1000),
            'x',
            steps,
        )
        self.jobs[job.job_id] = job
        entries = [
            name
            for name, each in self.deployment.entries.items()
            if each.is_alive
        ]
        if entries:
            entry = self.random.choice(entries)
            self.accepted[job.job_id] = self.deployment.submit(job, entry)
            if self.random.random() < 0.3:
                self.deployment.submit(job, self.random.choice(entries))

    def _step(self, number):
        return Step(
            self.random.randint(1, 5),
            Size(1500, 2000, 0),
            1000,
            (number - 1,) if number else (),
        )

    def _fault(self):
        fault = self.random.choice(self._kinds())
        self.faults.append(
            (round(self.deployment.reactor.seconds(), 1), fault.__name__)
        )
        fault()

    def _kinds(self):
        """Return the faults to draw from; seeds depend on their order."""
        return [
            self._kill_entry,
            self._freeze_entry,
            self._kill_agent,
            self._freeze_agent,
            self._cut_agent,
            self._crash_worker,
            self._darken_worker,
            self._lose_orders,
            self._lose_commits,
            self._store_down,
            self._store_silent,
            self._shun,
            self._forget,
            self._cancel,
        ]

    def _later(self, low, high, action, *given):
        self.deployment.reactor.callLater(
            self.random.uniform(low, high), action, *given
        )

    def _kill_entry(self):
        name = self.random.choice(list(self.deployment.entries))
        if self.deployment.entries[name].is_alive:
            self.deployment.kill_entry(name)
            self._later(1, 6, self._entry_back, name)

    def _entry_back(self, name):
        if not self.deployment.entries[name].is_alive:
            self.deployment.start_entry(name)

    def _freeze_entry(self):
        entry = self.deployment.entries[
            self.random.choice(list(self.deployment.entries))
        ]
        entry.thaws_at = (
            self.deployment.reactor.seconds() + self.random.uniform(1, 12)
        )

    def _kill_agent(self):
        name = self.random.choice(list(self.deployment.agents))
        if self.deployment.agents[name].is_alive:
            self.deployment.kill_agent(name)
            self._later(0.5, 9, self._agent_back, name)

    def _agent_back(self, name):
        agent = self.deployment.agents[name]
        if not agent.is_alive:
            self.deployment.start_agent(name, agent.worker)

    def _freeze_agent(self):
        agent = self.deployment.agents[
            self.random.choice(list(self.deployment.agents))
        ]
        agent.thaws_at = (
            self.deployment.reactor.seconds() + self.random.uniform(1, 12)
        )

    def _cut_agent(self):
        name = self.random.choice(list(self.deployment.agents))
        self.deployment.cut_off(name)
        self._later(1, 12, self.deployment.heal, name)

    def _crash_worker(self):
        self.random.choice(self.deployment.workers).crash()

    def _darken_worker(self):
        worker = self.random.choice(self.deployment.workers)
        worker.is_unresponsive = True
        self._later(0.5, 12, setattr, worker, 'is_unresponsive', False)

    def _lose_orders(self):
        worker = self.random.choice(self.deployment.workers)
        worker.lose_next = self.random.randint(1, 5)
        worker.late_s = self.random.choice([0, 0.5, 3, 9])

    def _lose_commits(self):
        self.deployment.rows.lose_next = self.random.randint(1, 3)
        self.deployment.rows.late_s = self.random.choice([0, 1, 4])

    def _store_down(self):
        self.deployment.rows.is_down = True
        self._later(0.5, 9, setattr, self.deployment.rows, 'is_down', False)

    def _store_silent(self):
        self.deployment.rows.is_silent = True
        self._later(0.5, 9, setattr, self.deployment.rows, 'is_silent', False)

    def _shun(self):
        name = self.random.choice(list(self.deployment.entries))
        self.deployment.rows.rejected_clients.add(name)
        self._later(1, 9, self.deployment.rows.rejected_clients.discard, name)

    def _forget(self):
        self.deployment.rows.forget_history()

    def _cancel(self):
        if not self.jobs:
            return
        job_id = self.random.choice(list(self.jobs))
        entries = [
            each for each in self.deployment.entries.values() if each.is_alive
        ]
        if entries:
            self.cancelled.add(job_id)
            self.random.choice(entries).core.job_api.cancel(job_id, 1e12)

    def _heal(self):
        deployment = self.deployment
        deployment.rows.is_down = False
        deployment.rows.is_silent = False
        deployment.rows.rejected_clients.clear()
        for name in list(deployment.cut):
            deployment.heal(name)
        for worker in deployment.workers:
            worker.is_unresponsive = False
            worker.lose_next = 0
        for name in list(deployment.entries):
            self._entry_back(name)
        for name in list(deployment.agents):
            self._agent_back(name)

    def _check(self, job_id):
        outcomes = self.accepted.get(job_id, [])
        if not outcomes or outcomes[0].is_err():
            return
        state = self.deployment.state(job_id, self.deployment.owner)
        yield from self._check_state(job_id, state)

    def _check_keepers(self):
        for job in self._live_keepers():
            state = self.deployment.state(job.job_id, self.deployment.owner)
            if state is not JobState.ACTIVE:
                yield f'{job.job_id} lasts and is {state}'

    def _check_state(self, job_id, state):
        if state is None or not state.is_final:
            yield f'{job_id} is {state}'
        if state is JobState.CANCELLED and job_id not in self.cancelled:
            yield f'{job_id} was never cancelled'
