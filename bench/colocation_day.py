"""A drawn day of keepers, fillers and small tasks on shared workers.

No deployment's figures: sizes, waves, pairs of images, bursts and losses come
from a seed. Keepers reserve most of the workers and use less than half of what
they reserve; fillers want the rest, and at times far more than that.
"""

import random
from dataclasses import dataclass

from bench.colocation_jobs import SMALL_PER_S, JobDraw
from hyssopring.jobs.model import AttemptEnd, Job, Size, TaskName
from standins.jobs.deployment import Deployment
from standins.jobs.interference import Interference
from standins.jobs.shared_worker import KeeperTimes, SharedWorker

WORKERS = 11
CORES = (32, 32, 48)
MEMORY_MB = 128_000
# Keepers reserve this part of all cores.
KEEPER_PART = 0.62
OWNER_S = 3
KEEPERS_S = 4
LOAD_S = 36
AFTER_S = 14
LARGE_PER_S = 0.75
# A burst of large jobs beyond what the workers can do in time.
BURST_X = 2.6
BURST_S = 6
AWAY_S = 5
TICK_S = 0.1
GAP_S = 0.06
MILLIS = 1000
# A late job earns a little, up to so many times its aim.
LATE_CREDIT = 0.15
LATEST = 3


@dataclass
class Handed:
    """A job that was handed in, and how it went.

    Attributes:
        chain_s: Its longest chain of work.
        work: Its core-seconds.
        left: Its tasks that are not done.
    """

    job: Job
    at: float
    chain_s: float
    work: float
    left: set
    ended_at: float | None = None

    @property
    def aim_s(self):
        """How long it may take."""
        queue = self.job.queue
        return queue.slack_factor * self.chain_s + queue.target_ms / MILLIS

    @property
    def credit(self):
        """1 in time, a little when late, 0 after that."""
        if self.ended_at is None:
            return 0
        took_s = self.ended_at - self.at
        if took_s <= self.aim_s:
            return 1
        return LATE_CREDIT if took_s <= LATEST * self.aim_s else 0


class SharedDeployment(Deployment):
    """Entries, agents and workers that tasks share."""

    step_s = 0.02

    def __init__(self, day):
        self.day = day
        super().__init__(workers=WORKERS)

    def _worker(self, name):
        cores = self.day.cores[int(name.rpartition('-')[2])]
        return SharedWorker(
            self.reactor,
            name,
            self.run_recorder,
            Size(cores * MILLIS, MEMORY_MB, 0),
            self.day.interference,
            self.day,
        )


class Day:
    """Plays one seed, and keeps what happened.

    Attributes:
        handed: Jobs by id.
        times: What keepers have had since the load began.
        keeper_s: Seconds that keepers should have been at work since then.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.interference = Interference(
            seed, is_synchronous=self.random.random() < 0.6
        )
        self.jobs = JobDraw(self.random, self.interference)
        self.times = KeeperTimes()
        self.cores = [self.random.choice(CORES) for _ in range(WORKERS)]
        self.deployment = SharedDeployment(self)
        self.handed = {}
        self.keepers = 0
        self.keeper_s = 0
        self._ends_seen = 0

    @property
    def now(self):
        return self.deployment.reactor.seconds()

    def step_of(self, task):
        name = TaskName.from_text(task)
        return self.handed[name.job_id].job.steps[name.step]

    def work_s(self, task):
        return self.jobs.work_s_by_task[task]

    def appetite(self, task):
        return self.jobs.appetite_by_task[task]

    def play(self):
        """Play the whole day; return it."""
        self.deployment.run(OWNER_S)
        self._hand_in_keepers()
        self.deployment.run(KEEPERS_S)
        self.times = KeeperTimes()
        self._plan_losses()
        self._pass_load()
        self._pass(AFTER_S)
        return self

    def _pass_load(self):
        begin = self.now
        burst_at = begin + self.random.uniform(5, 20)
        next_large = next_small = begin
        while self.now < begin + LOAD_S:
            is_burst = burst_at <= self.now < burst_at + BURST_S
            rate = LARGE_PER_S * (BURST_X if is_burst else 1)
            while next_large <= self.now:
                self._hand_in(self.jobs.large())
                next_large += self.random.expovariate(rate)
            while next_small <= self.now:
                self._hand_in(self.jobs.small())
                next_small += self.random.expovariate(SMALL_PER_S)
            self._pass(TICK_S)

    def _pass(self, seconds):
        self.deployment.run(seconds)
        self.keeper_s += self.keepers * seconds
        ends = self.deployment.run_recorder.ends
        for at, task, _number, how in ends[self._ends_seen :]:
            if how is AttemptEnd.DONE:
                self._done(self.handed[task.split('.')[0]], task, at)
        self._ends_seen = len(ends)

    @staticmethod
    def _done(handed, task, at):
        handed.left.discard(task)
        if not handed.left and handed.ended_at is None:
            handed.ended_at = at

    def _plan_losses(self):
        """A worker or two are away for a while."""
        later = self.deployment.reactor.callLater
        for _loss in range(self.random.randint(1, 2)):
            wait_s = self.random.uniform(2, LOAD_S - 8)
            worker = self.random.choice(self.deployment.workers)
            later(wait_s, self._lose, worker)
            later(wait_s + AWAY_S, setattr, worker, 'is_unresponsive', False)

    @staticmethod
    def _lose(worker):
        worker.crash()
        worker.is_unresponsive = True

    def _hand_in_keepers(self):
        """Hand keepers in until most of the room is reserved."""
        left = sum(self.cores) * MILLIS * KEEPER_PART
        while left > 0:
            job = self.jobs.keepers()
            for step in job.steps:
                left -= step.count * step.size.cpu_millis
                self.keepers += step.count
            self._hand_in(job)
            self.deployment.run(GAP_S)

    def _hand_in(self, job):
        chain_s = work = 0
        left = set()
        for number, step in enumerate(job.steps):
            names = [str(each) for each in job.tasks(0, number)]
            left.update(names)
            if not step.is_keeper:
                times_s = [self.work_s(name) for name in names]
                chain_s += max(times_s)
                work += sum(times_s) * step.size.cpu_millis / MILLIS
        self.handed[job.job_id] = Handed(job, self.now, chain_s, work, left)
        entry = self.random.choice(list(self.deployment.entries))
        self.deployment.submit(job, entry)
