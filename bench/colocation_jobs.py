"""Draws the jobs of a day: keepers, large jobs of fillers, small jobs."""

from dataclasses import dataclass, replace

from hyssopring.jobs.model import Job, Queue, Size, Step

MILLIS = 1000
SMALL_PER_S = 2.2
MOST_TASKS = 32
# A keeper's target in base latencies.
TARGET_X = 4.5
# Shares of what it asks for that a filler uses.
APPETITES = (0.67, 1, 1)
SAVING_PART = 0.85

KEEPERS = Queue('keepers', 'service', 0, 2, 2.2, 2500)
LARGE = Queue('large', 'service', 2, 4, 2.0, 1000)
SMALL = Queue('small', 'service', 0, 4, 1.5, 250)


@dataclass(frozen=True)
class Kind:
    """What the jobs of a queue are like, in the mean.

    Attributes:
        steps: How many steps, the deviation and the most of them.
        width: Tasks of a step.
        work_s: What a task takes at full pace.
    """

    queue: Queue
    steps: tuple[float, float, int]
    width: int
    size: Size
    work_s: float


LARGE_KIND = Kind(LARGE, (2, 0.8, 5), 8, Size(3500, 6400, 0), 3.4)
SMALL_KIND = Kind(SMALL, (1.6, 0.7, 4), 6, Size(480, 960, 0), 2.0)


class JobDraw:
    """Draws jobs, and keeps what their tasks will take.

    Attributes:
        work_s_by_task: Seconds at full pace.
        appetite_by_task: The share of what it asks for that a task uses.
    """

    def __init__(self, draw, interference):
        self._random = draw
        self._interference = interference
        self._number = 0
        self.work_s_by_task = {}
        self.appetite_by_task = {}

    def keepers(self):
        """Some keepers of one image; a few may share a worker, or none."""
        cpu = int(min(10_000, max(3000, self._random.gauss(6400, 1600))))
        step = Step(
            self._random.randint(3, 8),
            Size(cpu, 13_000, 0),
            is_keeper=True,
            image=self._random.choice(self._interference.keeper_images),
            target_ms=round(TARGET_X * self._interference.base_ms),
            max_per_worker=self._random.choice([0, 0, 1, 2]),
            max_unavailable=1,
        )
        return self._job(KEEPERS, [step])

    def large(self):
        """A chain of steps of fillers of one image."""
        image = self._random.choice(self._interference.filler_images)
        filler = {
            'image': image,
            'fills': True,
            'saves': self._random.random() < SAVING_PART,
        }
        return self._batch(LARGE_KIND, filler)

    def small(self):
        """A chain of steps of ordinary tasks."""
        return self._batch(SMALL_KIND, {})

    def _batch(self, kind, changes):
        mean, deviation, most = kind.steps
        count = max(1, min(most, round(self._random.gauss(mean, deviation))))
        means_s = [self._draw_work_s(kind) for _ in range(count)]
        steps = [
            replace(self._step(kind, number, work_s), **changes)
            for number, work_s in enumerate(means_s)
        ]
        job = self._job(kind.queue, steps)
        for number, work_s in enumerate(means_s):
            for name in job.tasks(0, number):
                spread = self._random.lognormvariate(0, 0.25)
                self.work_s_by_task[str(name)] = work_s * spread
                appetite = self._random.choice(APPETITES)
                self.appetite_by_task[str(name)] = appetite
        return job

    def _draw_work_s(self, kind):
        return kind.work_s * self._random.lognormvariate(-0.1, 0.4)

    def _step(self, kind, number, work_s):
        width = kind.width * self._random.lognormvariate(0, 0.5)
        mean = kind.size.cpu_millis
        cpu = self._random.gauss(mean, mean * 0.3)
        estimate_ms = work_s * self._random.uniform(0.8, 1.25) * MILLIS
        return Step(
            max(1, min(MOST_TASKS, round(width))),
            replace(
                kind.size, cpu_millis=int(min(2 * mean, max(mean / 3, cpu)))
            ),
            int(estimate_ms),
            (number - 1,) if number else (),
        )

    def _job(self, queue, steps):
        self._number += 1
        return Job(f'{self._number:016x}', queue, 'x', tuple(steps))
