"""Random fault schedules with tasks that crash the workers they start on."""

from hyssopring.jobs.model import JobState
from standins.jobs.faults import RandomDay

CRASHING_PART = 0.06
MOST_CRASHING = 6


class CrashingDay(RandomDay):
    """A random fault schedule, and jobs with a task that crashes its worker.

    Attributes:
        crashing: The tasks that crash their workers.
    """

    def __init__(self, seed, workers=6, has_keepers=True):
        super().__init__(seed, workers, has_keepers=has_keepers)
        self.crashing = set()
        for worker in self.deployment.workers:
            worker.kills = self.crashing.__contains__

    def _fails(self, task):
        return False

    def _submit(self):
        super()._submit()
        is_drawn = self.random.random() < CRASHING_PART
        if is_drawn and len(self.crashing) < MOST_CRASHING:
            job_id = f'{self.number:016x}'
            tasks = self.jobs[job_id].tasks(0, 0)
            self.crashing.add(str(self.random.choice(list(tasks))))

    def _crash_worker(self):
        """Crash one to three workers at once; one in half of the cases."""
        count = self.random.choice([1, 1, 2, 3])
        for worker in self.random.sample(self.deployment.workers, count):
            worker.go_down(self.random.uniform(1, 4))

    def _check_state(self, job_id, state):
        yield from super()._check_state(job_id, state)
        if job_id in self.cancelled:
            return
        is_crashing = any(task.startswith(job_id) for task in self.crashing)
        expected = JobState.FAILED if is_crashing else JobState.COMPLETED
        if state is not expected:
            yield f'{job_id} is {state}, crashing: {is_crashing}'
