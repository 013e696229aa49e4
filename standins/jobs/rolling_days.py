"""Fault schedules with rolling replacements, keepers and batch jobs."""

from hyssopring.jobs.model import Job, JobState, Queue, Size, Step
from standins.jobs.faults import (
    FAULT_EACH_S,
    FOREVER_MS,
    JOB_EACH_S,
    QUIET_S,
)
from standins.jobs.rolling_faults import RollingFaults

ROUNDS = 2
CALM_S = 14
CALM_MAX_S = 40
SIZE = Size(1500, 2000, 0)
MOST_KEEPERS = 10
KEEPER_PART = 0.15


class RollingDay(RollingFaults):
    """Alternating periods with and without faults, while jobs are submitted.

    The record of runs checks that no task runs twice at a time, starts after
    its acknowledged end or exceeds a worker's resources. A period without
    faults is long enough for each keeper that fits to run again.
    """

    job_each_s = JOB_EACH_S

    def __init__(self, seed, workers=5, keeps_ids=False):
        super().__init__(seed, workers, keeps_ids)
        self.cancels = {}

    def play(self):
        """Run the schedule and a quiet period; return lines of violations."""
        self.deployment.run(3)
        for _round in range(ROUNDS):
            self._pass(self.random.uniform(8, 16), FAULT_EACH_S / 2)
            self._heal()
            self._pass_calm()
        self._heal()
        self._pass(QUIET_S, has_jobs=False)
        return [*self.watch.missed, *self._left()]

    def _pass(self, seconds, fault_each_s=None, has_jobs=True):
        end = self._now() + seconds
        next_job = next_fault = self._now()
        while self._now() < end:
            self._tick()
            if has_jobs and self._now() > next_job:
                next_job += self.random.expovariate(1 / self.job_each_s)
                self._submit()
            if fault_each_s and self._now() > next_fault:
                next_fault += self.random.expovariate(1 / fault_each_s)
                self._fault()

    def _pass_calm(self):
        """Run until there was no fault for a while."""
        end = self._now() + CALM_MAX_S
        while self._now() < end and self.calm.lasted_s() < CALM_S:
            self._pass(1)

    def _tick(self):
        super()._tick()
        self.calm.check()

    def _work_ms(self, task):
        job_id, _occurrence, step, _index = task.split('.')
        step = self.jobs[job_id].steps[int(step)]
        if step.is_keeper:
            return FOREVER_MS
        # All members of a gang run equally long.
        whose = task.rpartition('.')[0] if step.is_gang else task
        drawn = self.chances.choice([200, 800, 2500])
        return self.works.setdefault(whose, drawn)

    def _submit(self):
        entries = self._usable_entries()
        if not entries:
            return
        self.number += 1
        job = self._draw_job()
        self.jobs[job.job_id] = job
        count = 2 if self.random.random() < 0.3 else 1
        self.accepted[job.job_id] = [
            self.deployment.submit(job, entry)
            for entry in self.random.sample(entries, min(count, len(entries)))
        ]

    def _draw_job(self):
        wanted = sum(step.count for step in self._keeper_steps())
        is_keeper = self.random.random() < KEEPER_PART
        if is_keeper and wanted < MOST_KEEPERS:
            return self._job(self._draw_keeper())
        count = self.random.randint(1, 3)
        return self._job(*map(self._draw_step, range(count)))

    def _job(self, *steps):
        queue = Queue('queue', 'service', 0, 6, 2, 1000)
        return Job(f'{self.number:016x}', queue, 'x', steps)

    def _draw_keeper(self):
        return Step(self.random.choice([1, 1, 2, 3]), SIZE, is_keeper=True)

    def _draw_step(self, number):
        after = (number - 1,) if number else ()
        if self.random.random() < 0.2:
            count = self.random.randint(2, 4)
            return Step(count, SIZE, 1000, after, is_gang=True)
        return Step(self.random.randint(1, 5), SIZE, 1000, after)

    def _keeper_steps(self):
        return [step for job in self._live_keepers() for step in job.steps]

    def _live_keepers(self):
        """Return the jobs of keepers that are accepted and not cancelled."""
        return [
            job
            for job_id, job in self.jobs.items()
            if job.is_keeper
            and job_id not in self.cancelled
            and self._is_accepted(job_id)
        ]

    def _is_accepted(self, job_id):
        return any(
            outcomes and outcomes[0].is_ok()
            for outcomes in self.accepted[job_id]
        )

    def _cancel(self):
        """Cancel a job: a keeper job in half of the cases, otherwise any."""
        keepers = [job.job_id for job in self._live_keepers()]
        job_ids = self.random.choice([keepers, list(self.jobs)])
        entries = self._usable_entries()
        if not job_ids or not entries:
            return
        job_id = self.random.choice(job_ids)
        self.cancelled.add(job_id)
        desk = self.deployment.entries[self.random.choice(entries)].core.job_api
        answers = self.cancels.setdefault(job_id, [])
        desk.cancel(job_id, 1e12).addCallback(answers.append)

    def _is_surely_cancelled(self, job_id):
        return any(
            answer.is_ok() and answer.unwrap()
            for answer in self.cancels.get(job_id, ())
        )

    def _left(self):
        states = self._states()
        for job_id, state in states.items():
            yield from self._check_state(job_id, state)
        wanted = {
            str(task)
            for job in self._live_keepers()
            for task in job.tasks(0, 0)
        }
        running = {
            task
            for task, held in self.deployment.run_recorder.running.items()
            if held
        }
        for task in sorted(wanted - running):
            yield f'keeper {task} does not run at the end'
        for task in sorted(running - wanted):
            if self._should_be_over(task, states):
                yield f'{task} still runs at the end'

    def _should_be_over(self, task, states):
        """Return whether a task's job is final or not a keeper job."""
        job_id = task.split('.')[0]
        state = states.get(job_id)
        is_final = state is not None and state.is_final
        return is_final or not self.jobs[job_id].is_keeper

    def _check_state(self, job_id, state):
        is_over = state is not None and state.is_final
        is_cancelled = job_id in self.cancelled
        if self.jobs[job_id].is_keeper and not is_cancelled:
            if state is not JobState.ACTIVE:
                yield f'lost: the keeper job {job_id} is {state}'
        elif not is_over and not self.jobs[job_id].is_keeper:
            yield f'lost: {job_id} is {state}'
        elif not is_over and self._is_surely_cancelled(job_id):
            yield f'lost: {job_id} is cancelled and {state}'
        if state is JobState.CANCELLED and not is_cancelled:
            yield f'{job_id} was never cancelled'

    def _states(self):
        """Return the states of all accepted jobs, as the owner has them."""
        desk = self.deployment.entries[self._owner()].core.job_api
        found = {}
        for job_id in self.jobs:
            if self._is_accepted(job_id):
                found[job_id] = None
                desk.state(job_id).addCallback(
                    lambda state, job_id=job_id: found.update(
                        {job_id: state.unwrap()}
                    )
                )
        self.deployment.run(2)
        return found
