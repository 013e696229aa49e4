"""Records the runs of tasks that ended."""

from hyssopring.clock import Clock
from hyssopring.jobs.model import Job
from hyssopring.jobs.workers import PlacedAttempt, Worker
from hyssopring.learning.run_times import RunTimes, run_time_key

__all__ = ('RunRecorder',)


class RunRecorder:
    """Records how long attempts ran that tell the time of a whole task.

    An attempt ran from the order to start it until its end was reported. It
    tells nothing if a part of the task was done before, if it did not run at
    full pace, or if its data was in another rack. Neither does an attempt
    whose agent has connected anew, or that a former owner started: the order
    is unknown, or the end may have been reported late.
    """

    def __init__(self, clock: Clock, run_times: RunTimes) -> None:
        """Record into ``run_times``."""
        self._clock = clock
        self._run_times = run_times

    def record(self, job: Job, worker: Worker, placed: PlacedAttempt) -> None:
        """Record an attempt that has just ended ``done``."""
        if _is_whole_run(worker, placed):
            self._run_times.record(
                run_time_key(job, placed.name.step),
                placed.step.estimate_ms,
                self._clock.now() - placed.placed_at,
            )


def _is_whole_run(worker: Worker, placed: PlacedAttempt) -> bool:
    is_order_known = placed.start_index > 0 and placed.boot == worker.boot
    is_near_data = placed.step.rack in {'', worker.rack}
    return (
        is_order_known
        and is_near_data
        and not placed.checkpoint
        and not placed.was_throttled
    )
