"""Random jobs of a day: keepers, large best-effort jobs, small jobs."""

from dataclasses import dataclass, replace

from hyssopring.jobs.model import Job, Queue, Size, Step

MILLIS = 1000
SMALL_PER_S = 2.2
MAX_TASKS = 32
# Latency target of a keeper as a multiple of the base latency.
TARGET_FACTOR = 4.5
# Share of its reservation that a best-effort task uses.
APPETITES = (0.67, 1, 1)
CHECKPOINTING_SHARE = 0.85

KEEPER_QUEUE = Queue('keepers', 'service', 0, 2, 2.2, 2500)
LARGE_QUEUE = Queue('large', 'service', 2, 4, 2.0, 1000)
SMALL_QUEUE = Queue('small', 'service', 0, 4, 1.5, 250)


@dataclass(frozen=True)
class JobKind:
    """Mean properties of the jobs of a queue.

    Attributes:
        steps: Mean, deviation and maximum of the number of steps.
        width: Mean number of tasks in a step.
        size: Mean size of a task.
        work_s: Mean run time of an unthrottled task, in seconds.
    """

    queue: Queue
    steps: tuple[float, float, int]
    width: int
    size: Size
    work_s: float


LARGE_KIND = JobKind(LARGE_QUEUE, (2, 0.8, 5), 8, Size(3500, 6400, 0), 3.4)
SMALL_KIND = JobKind(SMALL_QUEUE, (1.6, 0.7, 4), 6, Size(480, 960, 0), 2.0)


class JobDraw:
    """Draws jobs and records the hidden properties of their tasks.

    Attributes:
        work_s_by_task: Run time without throttling, in seconds.
        appetite_by_task: The share of its reservation that a task uses.
    """

    def __init__(self, draw, interference):
        self._random = draw
        self._interference = interference
        self._job_count = 0
        self.work_s_by_task = {}
        self.appetite_by_task = {}

    def draw_keepers(self):
        """Draw keepers of one image with a random limit for each worker."""
        cpu = int(min(10_000, max(3000, self._random.gauss(6400, 1600))))
        step = Step(
            self._random.randint(3, 8),
            Size(cpu, 13_000, 0),
            is_keeper=True,
            image=self._random.choice(self._interference.keeper_images),
            target_ms=round(TARGET_FACTOR * self._interference.base_ms),
            max_per_worker=self._random.choice([0, 0, 1, 2]),
            max_unavailable=1,
        )
        return self._job(KEEPER_QUEUE, [step])

    def draw_large(self):
        """Draw a job whose steps are best-effort tasks of one image."""
        image = self._random.choice(self._interference.filler_images)
        best_effort_fields = {
            'image': image,
            'fills': True,
            'saves': self._random.random() < CHECKPOINTING_SHARE,
        }
        return self._batch(LARGE_KIND, best_effort_fields)

    def draw_small(self):
        """Draw a job whose steps are ordinary batch tasks."""
        return self._batch(SMALL_KIND, {})

    def _batch(self, kind, changes):
        mean, deviation, max_steps = kind.steps
        count = max(
            1, min(max_steps, round(self._random.gauss(mean, deviation)))
        )
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
            max(1, min(MAX_TASKS, round(width))),
            replace(
                kind.size, cpu_millis=int(min(2 * mean, max(mean / 3, cpu)))
            ),
            int(estimate_ms),
            (number - 1,) if number else (),
        )

    def _job(self, queue, steps):
        self._job_count += 1
        return Job(f'{self._job_count:016x}', queue, 'x', tuple(steps))
