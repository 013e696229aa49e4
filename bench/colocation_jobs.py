"""Random jobs of a day: keepers, large best-effort jobs, small jobs."""

from dataclasses import replace

from bench.colocation_load import KEEPER_QUEUE
from hyssopring.jobs.model import Job, Size, Step

MILLIS = 1000
# Share of its reservation that a best-effort task uses.
APPETITES = (0.67, 1, 1)
CHECKPOINTING_SHARE = 0.85


class JobDraw:
    """Draws jobs and records the hidden properties of their tasks.

    Attributes:
        work_s_by_task: Run time without throttling, in seconds.
        appetite_by_task: The share of its reservation that a task uses.
    """

    def __init__(self, draw, interference, load):
        self._random = draw
        self._load = load
        self._interference = interference
        self._job_count = 0
        self.work_s_by_task = {}
        self.appetite_by_task = {}

    def draw_keepers(self):
        """Draw keepers of one image with a random limit for each worker."""
        kind = self._load.keepers
        mean, deviation, least, most = kind.cpu_millis
        cpu = int(min(most, max(least, self._random.gauss(mean, deviation))))
        step = Step(
            self._random.randint(*kind.width),
            Size(cpu, kind.memory_mb, 0),
            is_keeper=True,
            image=self._keeper_image(kind.image_skew),
            target_ms=round(kind.target_factor * self._interference.base_ms),
            max_per_worker=self._random.choice([0, 0, 1, 2]),
            max_unavailable=1,
        )
        return self._job(KEEPER_QUEUE, [step])

    def _keeper_image(self, skew):
        images = self._interference.keeper_images
        if not skew:
            return self._random.choice(images)
        weights = [(rank + 1) ** -skew for rank in range(len(images))]
        return self._random.choices(images, weights)[0]

    def draw_large(self):
        """Draw a job whose steps are best-effort tasks of one image."""
        image = self._random.choice(self._interference.filler_images)
        best_effort_fields = {
            'image': image,
            'fills': True,
            'saves': self._random.random() < CHECKPOINTING_SHARE,
        }
        return self._batch(self._load.large, best_effort_fields)

    def draw_small(self):
        """Draw a job whose steps are ordinary batch tasks."""
        return self._batch(self._load.small, {})

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
        error = kind.estimate_error
        estimate_ms = work_s * self._random.uniform(1 / error, error) * MILLIS
        return Step(
            max(1, min(kind.max_width, round(width))),
            replace(
                kind.size, cpu_millis=int(min(2 * mean, max(mean / 3, cpu)))
            ),
            int(estimate_ms),
            (number - 1,) if number else (),
        )

    def _job(self, queue, steps):
        self._job_count += 1
        return Job(f'{self._job_count:016x}', queue, 'x', tuple(steps))
