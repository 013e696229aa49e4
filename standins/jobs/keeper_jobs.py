"""Keeper jobs, beside the batch jobs of a random fault schedule."""

import random

from hyssopring.jobs.model import Job, Queue, Size, Step

JOBS = 4
FIRST_S = 4
LAST_S = 25
FIRST_NUMBER = 0xF0000
# So small that they fit on a worker that is otherwise full.
SIZE = Size(250, 500, 0)


class KeeperJobs:
    """Keeper jobs, drawn from a random generator of their own.

    Attributes:
        jobs: All submitted jobs.
    """

    def __init__(self, seed, deployment, has_keepers=True):
        self._random = random.Random(f'keepers {seed}')
        self._deployment = deployment
        self._due = sorted(
            self._random.uniform(FIRST_S, LAST_S)
            for _job in range(JOBS if has_keepers else 0)
        )
        self._outcomes = {}
        self.jobs = []

    @property
    def accepted(self):
        """The accepted jobs."""
        return [
            job
            for job in self.jobs
            if any(each.is_ok() for each in self._outcomes[job.job_id])
        ]

    def has(self, task):
        """Return whether a task belongs to these jobs."""
        return any(task.startswith(job.job_id) for job in self.jobs)

    def submit_due(self):
        """Submit jobs that are due, if an entry is available."""
        now = self._deployment.reactor.seconds()
        names = [
            name
            for name, entry in self._deployment.entries.items()
            if entry.is_alive and (entry.thaws_at or 0) <= now
        ]
        while names and self._due and self._due[0] <= now:
            self._due.pop(0)
            self._submit(self._random.choice(names))

    def _submit(self, entry):
        step = Step(self._random.randint(1, 3), SIZE, is_keeper=True)
        number = FIRST_NUMBER + len(self.jobs)
        queue = Queue('queue', 'service', 0, 6, 2, 1000)
        job = Job(f'{number:016x}', queue, 'x', (step,))
        self.jobs.append(job)
        self._outcomes[job.job_id] = self._deployment.submit(job, entry)
