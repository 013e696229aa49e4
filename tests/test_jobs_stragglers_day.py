"""The time of small jobs with slow workers and long runs, in virtual time."""

import random

from hyssopring.jobs.model import Job, Queue, Size, Step
from hyssopring.logs import Event, listen_to_events
from tests.stragglers_support import OPTIONS, deploy

WORKERS = 20
SLOW_WORKERS = 2
SLOW_SPEED = 1 / 7
LONG_SHARE = 0.03
LONG_FACTOR = 7
USUAL_MS = 1280
JOBS = 240
JOB_EACH_S = 0.15
PHASE_S = 7
SMALL_PER_WIDE = 10
WIDE_MS = 5400
WIDE_PREFIX = 'fffff'


class SmallJobs:
    """Small jobs that may be copied, beside wide ones that may not.

    Some workers are slow. A run is long at random, so that a copy of a long run hardly ever is.

    Attributes:
        deployment: The deployment that runs them.
        copies: The number of copies that were started.
        copies_while_waiting: How many of these were started while a task
            waited for a worker.
    """

    def __init__(self, options, seed, cores=16):
        self._random = random.Random(seed)
        self.deployment = deploy(self._run_ms, options=options, workers=WORKERS)
        for worker in self.deployment.workers:
            worker.room = Size(cores * 1000, 64_000, 0)
        self.deployment.run(4)
        self._jobs = []
        self.copies = 0
        self.copies_while_waiting = 0

    def play(self, jobs=JOBS):
        """Submit the jobs, and run until they have ended."""
        jobs_each_phase = round(PHASE_S / JOB_EACH_S)
        for number in range(1, jobs + 1):
            if number % jobs_each_phase == 1:
                self._change_speeds()
            self._submit(number)
            if number % SMALL_PER_WIDE == 1:
                self._submit_wide(number)
            self.deployment.run(JOB_EACH_S)
        for _phase in range(10):
            self._change_speeds()
            self.deployment.run(PHASE_S)

    def times_s(self):
        """Return the time from the submission to the last end of each job."""
        end_by_task = {}
        for now, task, _number, how in self.deployment.run_recorder.ends:
            if how.value == 'done':
                end_by_task.setdefault(task, now)
        return sorted(
            max(end_by_task[str(name)] for name in job.tasks(0, 0))
            - submitted_s
            for job, submitted_s in self._jobs
        )

    def count(self, event, _fields):
        if event is Event.TASK_COPIED:
            self.copies += 1
            self.copies_while_waiting += self._is_waiting()

    def _is_waiting(self):
        entry = self.deployment.entries[self.deployment.owner]
        return any(
            any(record.open_runs())
            for record in entry.core.owner.shards.live_jobs()
        )

    def _run_ms(self, task):
        is_long = self._random.random() < LONG_SHARE
        usual_ms = WIDE_MS if task.startswith(WIDE_PREFIX) else USUAL_MS
        return usual_ms * (LONG_FACTOR if is_long else 1)

    def _change_speeds(self):
        for worker in self.deployment.workers:
            worker.set_speed(1)
        for worker in self._random.sample(
            self.deployment.workers, SLOW_WORKERS
        ):
            worker.set_speed(SLOW_SPEED)

    def _submit(self, number):
        image = ('one', 'two', 'three')[number % 3]
        step = Step(10, Size(300, 300, 0), USUAL_MS, may_copy=True, image=image)
        queue = Queue('small', 'service', 0, 3, 1.5, 300)
        job = Job(f'{number:016x}', queue, 'x', (step,))
        self._jobs.append((job, self.deployment.reactor.seconds()))
        self.deployment.submit(job)

    def _submit_wide(self, number):
        step = Step(20, Size(1800, 300, 0), WIDE_MS, image='wide')
        queue = Queue('wide', 'service', 2, 3, 2, 1000)
        job = Job(f'{WIDE_PREFIX}{number:011x}', queue, 'x', (step,))
        self.deployment.submit(job)


def played(options, seed=1, jobs=JOBS, **more):
    small_jobs = SmallJobs(options, seed, **more)
    listen_to_events(small_jobs.count)
    small_jobs.play(jobs)
    return small_jobs


def percentile(times_s, share):
    return times_s[min(len(times_s) - 1, int(len(times_s) * share))]


def test_the_slowest_small_jobs_take_at_most_0_6_of_their_time():
    """10% of the workers are 7 times as slow, and 3% of runs 7 times as long.

    Without copies a job takes as long as its longest run.
    """
    without = percentile(played(None).times_s(), 0.99)
    jobs = played(OPTIONS)
    assert jobs.copies
    assert percentile(jobs.times_s(), 0.99) <= 0.6 * without


def test_nothing_is_copied_while_tasks_wait():
    """The same load on two cores a worker, where tasks wait for long."""
    jobs = played(OPTIONS, jobs=60, cores=2)
    assert jobs.copies_while_waiting == 0
