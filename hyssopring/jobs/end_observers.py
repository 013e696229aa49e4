"""Callbacks for tasks that are done."""

from typing import Callable

from hyssopring.clock import Clock
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.messages import EndReport
from hyssopring.jobs.model import AttemptEnd, Job
from hyssopring.jobs.workers import PlacedAttempt, Worker

__all__ = ('EndObservers', 'OnAttemptDone', 'OnDone')

# Called with each known attempt that ended ``done``.
OnAttemptDone = Callable[[Job, Worker, PlacedAttempt], None]
# Called with a step, how many of its tasks are done now (all members of a gang
# at once), and the time in ms for which the task has run; None if it did not
# run from its beginning under this owner.
OnDone = Callable[[JobRecord, StepRun, int, float | None], None]


class EndObservers:
    """Tells observers of ended attempts and of tasks that are done.

    Attributes:
        done_observers: Called when tasks are done; see ``OnDone``.
    """

    def __init__(
        self, clock: Clock, on_attempt_done: OnAttemptDone | None = None
    ) -> None:
        """Start without further observers.

        Args:
            on_attempt_done: See ``OnAttemptDone``; None for no call.
        """
        self._clock = clock
        self._on_attempt_done = on_attempt_done
        self.done_observers: list[OnDone] = []

    def attempt_ended(
        self, job: Job, end: EndReport, worker: Worker, placed: PlacedAttempt
    ) -> None:
        """Notify of an attempt that was placed on a worker and has ended."""
        is_same = placed.attempt == end.attempt
        is_done = end.how == AttemptEnd.DONE.value
        if self._on_attempt_done and is_same and is_done:
            self._on_attempt_done(job, worker, placed)

    def tasks_done(
        self,
        record: JobRecord,
        run: StepRun,
        done_count: int,
        placed: PlacedAttempt | None,
        end: EndReport,
    ) -> None:
        """Notify of the tasks that an end has made done, if any."""
        if done_count:
            run_ms = self._run_ms(placed, end)
            for observe in self.done_observers:
                observe(record, run, done_count, run_ms)

    def _run_ms(
        self, placed: PlacedAttempt | None, end: EndReport
    ) -> float | None:
        """Return how long an ended attempt has run, None if unknown."""
        if placed is None or placed.attempt != end.attempt:
            return None
        # An attempt without a start of this connection may have been adopted,
        # and its placement says nothing about its begin.
        if placed.checkpoint or not placed.start_index:
            return None
        return self._clock.now() - placed.placed_at
