"""Expected times of jobs from the run times of earlier tasks."""

from typing import Final

from hyssopring.clock import Clock
from hyssopring.jobs.job_times import JobTimes
from hyssopring.jobs.model import Job, longest_paths
from hyssopring.learning.run_times import RunTimes, run_time_key

__all__ = ('LearnedJobTimes',)

# A planning round asks for the times of each live job, and rounds may follow
# each other within milliseconds.
_REFRESH_INTERVAL_MS: Final = 1000.0


class LearnedJobTimes:
    """Times from learned run times, computed once a second for each job."""

    def __init__(self, clock: Clock, run_times: RunTimes) -> None:
        """Start without computed times."""
        self._clock = clock
        self._run_times = run_times
        self._times_by_job: dict[str, JobTimes] = {}
        self._next_refresh_ms = clock.now()

    def times_of(self, job: Job) -> JobTimes:
        """Return the expected times of a job."""
        now_ms = self._clock.now()
        if now_ms >= self._next_refresh_ms:
            self._next_refresh_ms = now_ms + _REFRESH_INTERVAL_MS
            self._times_by_job.clear()
        times = self._times_by_job.get(job.job_id)
        if times is None:
            times = self._compute(job)
            self._times_by_job[job.job_id] = times
        return times

    def _compute(self, job: Job) -> JobTimes:
        run_ms_by_step = [
            self._run_times.expected_ms(
                run_time_key(job, number), step.estimate_ms
            )
            for number, step in enumerate(job.steps)
        ]
        return JobTimes(
            run_ms_by_step, longest_paths(job.steps, run_ms_by_step)
        )
