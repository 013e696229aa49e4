"""A drawn day of keepers, fillers and small tasks on shared workers.

No deployment's figures: sizes, waves, pairs of images, bursts and losses come
from a seed. Keepers reserve most of the workers and use less than half of what
they reserve; fillers want the rest, and at times far more than that.
"""

import random
from dataclasses import dataclass, field, replace

from hyssopring.jobs.model import AttemptEnd, Job, Queue, Size, Step, TaskName
from standins.jobs.deployment import Deployment
from standins.jobs.interference import Interference
from standins.jobs.shared_worker import KeeperTimes, SharedWorker

WORKERS = 11
CORES = (32, 32, 48)
MEMORY_MB = 128_000
KEEPER_PART = 0.62
SETTLE_S = 4
LOAD_S = 36
AFTER_S = 14
LARGE_PER_S = 0.75
SMALL_PER_S = 2.2
BURST_X = 2.6
BURST_S = 6
AWAY_S = 5
MILLIS = 1000
STEP_S = 0.02
TAIL_MS = 4.5
APPETITES = (0.67, 1, 1)

LARGE = Queue('large', 'service', 2, 4, 2.0, 1000)
SMALL = Queue('small', 'service', 0, 4, 1.5, 250)
KEEPERS = Queue('keepers', 'service', 0, 2, 2.2, 2500)


@dataclass
class Handed:
    """A job that was handed in, and how it went."""

    job: Job
    at: float
    chain_s: float
    work: float
    left: set = field(default_factory=set)
    ended_at: float | None = None

    @property
    def aim_s(self):
        queue = self.job.queue
        return queue.slack_factor * self.chain_s + queue.target_ms / MILLIS

    @property
    def credit(self):
        """1 in time, a little when late, 0 after three times the aim."""
        if self.ended_at is None:
            return 0
        took = self.ended_at - self.at
        if took <= self.aim_s:
            return 1
        return 0.15 if took <= 3 * self.aim_s else 0


class SharedDeployment(Deployment):
    """Entries, agents and workers that tasks share."""

    def __init__(self, day):
        self.day = day
        super().__init__(workers=WORKERS)

    def run(self, seconds):
        for _step in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)
            for worker in self.workers:
                worker.settle()
            assert not self.book.broken, self.book.broken

    def _worker(self, name):
        number = int(name.rpartition('-')[2])
        cores = self.day.sizes[number]
        worker = SharedWorker(
            self.reactor,
            name,
            self.book,
            Size(cores * MILLIS, MEMORY_MB, 0),
            self.day.interference,
            self.day,
        )
        return worker


class Day:
    """Plays one seed, and keeps what happened.

    Attributes:
        handed: Jobs by id.
        times: What keepers have had.
        keeper_s: Seconds that keepers should have been at work.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.interference = Interference(
            seed, is_synchronous=self.random.random() < 0.6
        )
        self.times = KeeperTimes()
        self.sizes = [self.random.choice(CORES) for _ in range(WORKERS)]
        self.deployment = SharedDeployment(self)
        self.handed = {}
        self._work_by_task = {}
        self._appetite_by_task = {}
        self._number = 0
        self.wanted_keepers = 0
        self.keeper_s = 0
        self._last_end = 0

    @property
    def now(self):
        return self.deployment.reactor.seconds()

    def step_of(self, task):
        name = TaskName.from_text(task)
        return self.handed[name.job_id].job.steps[name.step]

    def work_s(self, task):
        return self._work_by_task[task]

    def appetite(self, task):
        return self._appetite_by_task[task]

    def play(self):
        """Play the whole day; return it."""
        self.deployment.run(3)
        self._hand_in_keepers()
        self.deployment.run(SETTLE_S)
        self.times = self._clear_times()
        begin = self.now
        burst_at = begin + self.random.uniform(5, 20)
        self._plan_losses(begin)
        next_large = next_small = begin
        while self.now < begin + LOAD_S:
            is_burst = burst_at <= self.now < burst_at + BURST_S
            rate = LARGE_PER_S * (BURST_X if is_burst else 1)
            while next_large <= self.now:
                self._hand_in(self._draw_large())
                next_large += self.random.expovariate(rate)
            while next_small <= self.now:
                self._hand_in(self._draw_small())
                next_small += self.random.expovariate(SMALL_PER_S)
            self._pass(0.1)
        self._pass(AFTER_S)
        return self

    def _clear_times(self):
        """Count keepers' times from now on."""
        self.times.__init__()
        return self.times

    def _pass(self, seconds):
        self.deployment.run(seconds)
        self.keeper_s += self.wanted_keepers * seconds
        ends = self.deployment.book.ends
        for at, task, _number, how in ends[self._last_end :]:
            handed = self.handed[task.split('.')[0]]
            if how is AttemptEnd.DONE:
                handed.left.discard(task)
                if not handed.left and handed.ended_at is None:
                    handed.ended_at = at
        self._last_end = len(ends)

    def _plan_losses(self, begin):
        """A worker or two are away for a while."""
        for _loss in range(self.random.randint(1, 2)):
            at = begin + self.random.uniform(2, LOAD_S - 8)
            number = self.random.randrange(WORKERS)
            later = self.deployment.reactor.callLater
            worker = self.deployment.workers[number]
            later(at - self.now, self._lose, worker)
            later(at - self.now + AWAY_S, setattr, worker, 'is_dark', False)

    def _lose(self, worker):
        worker.crash()
        worker.is_dark = True

    def _hand_in_keepers(self):
        """Keepers of some images until most of the room is reserved."""
        room = sum(self.sizes) * MILLIS * KEEPER_PART
        reserved = 0
        while reserved < room:
            step = self._draw_keeper()
            reserved += step.count * step.size.cpu_millis
            self.wanted_keepers += step.count
            self._hand_in(self._job(KEEPERS, (step,)))
            self.deployment.run(0.06)

    def _hand_in(self, job):
        chain, work = 0, 0
        for number, step in enumerate(job.steps):
            names = [str(each) for each in job.tasks(0, number)]
            if not step.is_keeper:
                chain += max(self._work_by_task[name] for name in names)
                work += sum(self._work_by_task[name] for name in names) * (
                    step.size.cpu_millis / MILLIS
                )
        left = {
            str(each)
            for number in range(len(job.steps))
            for each in job.tasks(0, number)
        }
        self.handed[job.job_id] = Handed(job, self.now, chain, work, left)
        entry = self.random.choice(list(self.deployment.entries))
        self.deployment.submit(job, entry)

    def _job(self, queue, steps):
        self._number += 1
        return Job(f'{self._number:016x}', queue, 'x', tuple(steps))

    def _draw_keeper(self):
        image = self.random.choice(self.interference.keeper_images)
        cpu = int(min(10_000, max(3000, self.random.gauss(6400, 1600))))
        count = self.random.randint(3, 8)
        return Step(
            count,
            Size(cpu, 13_000, 0),
            0,
            is_keeper=True,
            image=image,
            target_ms=round(TAIL_MS * self.interference.base_ms),
            max_per_worker=self.random.choice([0, 0, 1, 2]),
            max_unavailable=1,
        )

    def _draw_large(self):
        count = max(1, min(5, round(self.random.gauss(2, 0.8))))
        image = self.random.choice(self.interference.filler_images)
        return self._draw_batch(LARGE, count, 8, 3500, 3.4, 6400, image)

    def _draw_small(self):
        count = max(1, min(4, round(self.random.gauss(1.6, 0.7))))
        return self._draw_batch(SMALL, count, 6, 480, 2.0, 960, '')

    def _draw_batch(self, queue, steps, width, cpu, work_s, memory, image):
        made = []
        for number in range(steps):
            tasks = max(
                1, min(32, round(self.random.lognormvariate(0, 0.5) * width))
            )
            size = Size(
                int(
                    min(
                        2 * cpu, max(cpu / 3, self.random.gauss(cpu, cpu * 0.3))
                    )
                ),
                memory,
                0,
            )
            mean = work_s * self.random.lognormvariate(-0.1, 0.4)
            estimate = mean * self.random.uniform(0.8, 1.25) * MILLIS
            after = (number - 1,) if number else ()
            step = Step(tasks, size, int(estimate), after, image=image)
            if image:
                step = replace(
                    step, fills=True, saves=self.random.random() < 0.85
                )
            made.append((step, mean))
        job = self._job(queue, [step for step, _mean in made])
        for number, (_step, mean) in enumerate(made):
            for name in job.tasks(0, number):
                spread = self.random.lognormvariate(0, 0.25)
                self._work_by_task[str(name)] = mean * spread
                self._appetite_by_task[str(name)] = self.random.choice(
                    APPETITES
                )
        return job
