"""A random day of keepers, best-effort and small tasks on shared workers.

The day is synthetic: sizes, load waves, pairs of images, bursts and outages
are drawn from a seed. Keepers reserve most of the workers and use less than
half of what they reserve; the demand of best-effort tasks for the rest at times
far exceeds it.
"""

import random
from dataclasses import dataclass

from bench.colocation_jobs import JobDraw
from bench.colocation_load import SMALL_WORKERS
from hyssopring.jobs.model import AttemptEnd, Job, Size, TaskName
from standins.jobs.deployment import Deployment
from standins.jobs.interference import Interference
from standins.jobs.shared_worker import KeeperTimes, SharedWorker

ACQUISITION_S = 3
KEEPER_START_S = 4
LOAD_S = 36
COOLDOWN_S = 14
BURST_S = 6
OUTAGE_S = 5
POWER_OUTAGE_S = 1.6
TICK_S = 0.1
MILLIS = 1000
# A late job earns reduced credit, up to this multiple of its target time.
LATE_CREDIT = 0.15
LATE_CREDIT_LIMIT_X = 3


@dataclass
class SubmittedJob:
    """A submitted job and its progress.

    Attributes:
        submitted_at: When it was submitted, in seconds.
        critical_path_s: The work on its critical path, in seconds.
        work_core_s: Its core-seconds.
        remaining_tasks: Names of its unfinished tasks.
        ended_at: When its last task finished, or None.
    """

    job: Job
    submitted_at: float
    critical_path_s: float
    work_core_s: float
    remaining_tasks: set
    ended_at: float | None = None

    @property
    def target_s(self):
        """The target time from submission to completion, in seconds."""
        queue = self.job.queue
        return (
            queue.slack_factor * self.critical_path_s + queue.target_ms / MILLIS
        )

    @property
    def credit(self):
        """1 when on time, `LATE_CREDIT` when late, 0 beyond the limit."""
        if self.ended_at is None:
            return 0
        took_s = self.ended_at - self.submitted_at
        if took_s <= self.target_s:
            return 1
        return (
            LATE_CREDIT if took_s <= LATE_CREDIT_LIMIT_X * self.target_s else 0
        )


class SharedDeployment(Deployment):
    """A deployment whose workers run several tasks at once."""

    step_s = 0.02

    def __init__(self, day, options=None):
        self.day = day
        super().__init__(workers=day.load.workers, options=options)

    def _worker(self, name):
        cores = self.day.cores[int(name.rpartition('-')[2])]
        return SharedWorker(
            self.reactor,
            name,
            self.run_recorder,
            Size(cores * MILLIS, self.day.load.memory_mb, 0),
            self.day.interference,
            self.day,
        )


class Day:
    """Simulates the day of one seed and records its outcome.

    Attributes:
        submitted_by_id: Submitted jobs by job id.
        times: How long keepers ran and missed their target under load.
        keeper_s: Keeper-seconds that should have run under load.
    """

    def __init__(self, seed, load=SMALL_WORKERS, options=None):
        self.load = load
        self.random = random.Random(seed)
        self.interference = Interference(
            seed,
            is_synchronous=self.random.random() < 0.6,
            keeper_images=load.keepers.images,
            filler_images=load.filler_images,
            mean_share=load.mean_interference,
            load=load.keepers.load,
            load_swing=load.keepers.load_swing,
            load_period_s=load.keepers.load_period_s,
            pair_kinds=load.pair_kinds,
            has_load_by_job=load.has_load_by_job,
        )
        self.jobs = JobDraw(self.random, self.interference, load)
        self.times = KeeperTimes()
        self.cores = [
            self.random.choice(load.cores) for _ in range(load.workers)
        ]
        self.deployment = SharedDeployment(self, options)
        self.submitted_by_id = {}
        self.keepers = 0
        self.keeper_s = 0
        self._ends_seen = 0
        self._has_power = True

    @property
    def now(self):
        return self.deployment.reactor.seconds()

    def step_of(self, task):
        name = TaskName.from_text(task)
        return self.submitted_by_id[name.job_id].job.steps[name.step]

    def work_s(self, task):
        return self.jobs.work_s_by_task[task]

    def appetite(self, task):
        return self.jobs.appetite_by_task[task]

    def play(self):
        """Simulate the whole day and return it."""
        self.deployment.run(ACQUISITION_S)
        self._submit_keepers()
        self.deployment.run(KEEPER_START_S)
        self.times = KeeperTimes()
        self._schedule_outages()
        self._run_load()
        self._run(COOLDOWN_S)
        return self

    def _run_load(self):
        begin = self.now
        burst_at = begin + self.random.uniform(5, 20)
        next_large = next_small = begin
        while self.now < begin + LOAD_S:
            if not self._has_power:
                # Callers repeat their requests until power has returned.
                self._run(TICK_S)
                continue
            is_burst = burst_at <= self.now < burst_at + BURST_S
            rate = self.load.large.per_s
            rate *= self.load.burst_factor if is_burst else 1
            while next_large <= self.now:
                self._submit(self.jobs.draw_large())
                next_large += self.random.expovariate(rate)
            while next_small <= self.now:
                self._submit(self.jobs.draw_small())
                next_small += self.random.expovariate(self.load.small.per_s)
            self._run(TICK_S)

    def _run(self, seconds):
        self.deployment.run(seconds)
        self.keeper_s += self.keepers * seconds
        ends = self.deployment.run_recorder.ends
        for at, task, _number, how in ends[self._ends_seen :]:
            if how is AttemptEnd.DONE:
                self._record_done(
                    self.submitted_by_id[task.split('.')[0]], task, at
                )
        self._ends_seen = len(ends)

    @staticmethod
    def _record_done(submitted, task, at):
        submitted.remaining_tasks.discard(task)
        if not submitted.remaining_tasks and submitted.ended_at is None:
            submitted.ended_at = at

    def _schedule_outages(self):
        """Schedule the crash and outage of one or two workers."""
        later = self.deployment.reactor.callLater
        for _loss in range(self.random.randint(1, 2)):
            wait_s = self.random.uniform(2, LOAD_S - 8)
            worker = self.random.choice(self.deployment.workers)
            later(wait_s, self._start_outage, worker)
            later(wait_s + OUTAGE_S, setattr, worker, 'is_unresponsive', False)
        if self.load.power_loss_s is not None:
            later(self.load.power_loss_s, self._lose_power)

    @staticmethod
    def _start_outage(worker):
        worker.crash()
        worker.is_unresponsive = True

    def _lose_power(self):
        """End all processes and workers; they restart after the outage."""
        deployment = self.deployment
        later = deployment.reactor.callLater
        self._has_power = False
        later(POWER_OUTAGE_S, setattr, self, '_has_power', True)
        for name, entry in deployment.entries.items():
            if entry.is_alive:
                deployment.kill_entry(name)
            later(POWER_OUTAGE_S, deployment.start_entry, name)
        for number, worker in enumerate(deployment.workers):
            deployment.kill_agent(f'agent-{number}')
            self._start_outage(worker)
            later(POWER_OUTAGE_S, self._restore_power, number)

    def _restore_power(self, number):
        worker = self.deployment.workers[number]
        worker.is_unresponsive = False
        self.deployment.start_agent(f'agent-{number}', worker)

    def _submit_keepers(self):
        """Submit keepers until their share of all cores is reserved."""
        left_millis = sum(self.cores) * MILLIS
        left_millis *= self.load.keepers.reserved_share
        while left_millis > 0:
            job = self.jobs.draw_keepers()
            for step in job.steps:
                left_millis -= step.count * step.size.cpu_millis
                self.keepers += step.count
            self._submit(job)
            self.deployment.run(self.load.keepers.submit_interval_s)

    def _submit(self, job):
        critical_path_s = work_core_s = 0
        remaining_tasks = set()
        for step_index, step in enumerate(job.steps):
            names = [str(task_name) for task_name in job.tasks(0, step_index)]
            remaining_tasks.update(names)
            if not step.is_keeper:
                times_s = [self.work_s(name) for name in names]
                critical_path_s += max(times_s)
                work_core_s += sum(times_s) * step.size.cpu_millis / MILLIS
        self.submitted_by_id[job.job_id] = SubmittedJob(
            job, self.now, critical_path_s, work_core_s, remaining_tasks
        )
        entry = self.random.choice(list(self.deployment.entries))
        self.deployment.submit(job, entry)
