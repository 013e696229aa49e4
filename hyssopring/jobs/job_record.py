"""In-memory state of an accepted job: its done, running and waiting tasks."""

from dataclasses import dataclass, field
from typing import Final, Iterable, Iterator, Sequence

from hyssopring.jobs.crash_history import CrashHistory
from hyssopring.jobs.documents import JobRow, ProgressRow
from hyssopring.jobs.model import Job, JobState, Step, TaskName

__all__ = ('JobRecord', 'StepRun')

# Each epoch numbers attempts from its own base, so that a new owner need not
# know the numbers used by its predecessor.
_ATTEMPTS_PER_EPOCH: Final = 1000
_DUE_MARGIN_MS: Final = 30.0


@dataclass
class StepRun:
    """One step of one occurrence of a job.

    Attributes:
        occurrence: The index of the occurrence.
        step_index: The index of the step in its job.
        done: The indices of done tasks as a bit set.
        waiting: Indices of tasks that neither run nor are done.
        running: Indices of tasks with an attempt that may run.
        observed: Indices of tasks that were seen running under this epoch.
        unconfirmed: Indices of done tasks whose end is not durable yet while
            another attempt may still run; see ``UnconfirmedEnds``.
    """

    occurrence: int
    step_index: int
    step: Step
    done: int = 0
    waiting: set[int] = field(default_factory=set)
    running: set[int] = field(default_factory=set)
    observed: set[int] = field(default_factory=set)
    unconfirmed: set[int] = field(default_factory=set)

    @property
    def name(self) -> str:
        """The run's name within its job, 'occurrence.step'."""
        return f'{self.occurrence}.{self.step_index}'

    @property
    def is_gang_ready(self) -> bool:
        """Whether all members of a gang are waiting."""
        return len(self.waiting) == self.step.count

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return self.done.bit_count() == self.step.count

    @property
    def allows_successors(self) -> bool:
        """Whether the steps after it may start."""
        return self.is_done and not self.unconfirmed

    def is_done_task(self, index: int) -> bool:
        """Whether a task is done."""
        return bool(self.done >> index & 1)

    def task(self, job_id: str, index: int) -> TaskName:
        """Return the name of a task of the step."""
        return TaskName(job_id, self.occurrence, self.step_index, index)

    def mark_running(self, index: int) -> None:
        """Record that an attempt of a task may run from now on."""
        self.waiting.discard(index)
        self.running.add(index)
        self.observed.add(index)

    def mark_done(self, index: int) -> None:
        """Record that a task is done."""
        self.waiting.discard(index)
        self.running.discard(index)
        self.done |= 1 << index

    def mark_waiting(self, index: int) -> None:
        """Record that a task has no attempt; one that is not done waits."""
        self.running.discard(index)
        if not self.is_done_task(index):
            self.waiting.add(index)


@dataclass
class JobRecord:
    """A job of a shard that this entry owns.

    Attributes:
        accepted_ms: When it was accepted, in ms since 1970, by the clock of
            the accepting entry.
        epoch: The epoch of the owner that created this record.
        is_inherited: Whether it was accepted under an earlier epoch, so that
            tasks of it may be running.
        progress: The content of the progress row.
        version: The version of the progress row, 0 for none.
        step_runs: The step runs of open occurrences by name.
        checkpoint_by_task: The last checkpoint of tasks that are not done.
        attempt_by_task: The highest known attempt number of each task.
        state: The durable state.
        final_state: The final state once it is decided; it may not be durable
            yet.
        idle_since: Since when tasks wait and none runs.
        crashes: Crashes of workers that were starting its tasks.
        trial_wanted_since: Since when a suspect has waited for a trial, by
            the key of its budget.
        zone: The availability zone of the job's callers, empty if unknown.
    """

    job: Job
    accepted_ms: float
    epoch: int
    is_inherited: bool
    progress: ProgressRow = field(default_factory=ProgressRow)
    version: int = 0
    step_runs: dict[str, StepRun] = field(default_factory=dict)
    checkpoint_by_task: dict[str, str] = field(default_factory=dict)
    attempt_by_task: dict[str, int] = field(default_factory=dict)
    state: JobState = JobState.QUEUED
    final_state: JobState | None = None
    idle_since: float | None = None
    crashes: CrashHistory = field(init=False)
    trial_wanted_since: dict[str, float] = field(default_factory=dict)
    zone: str = ''
    _work_left: float | None = field(default=None, init=False)

    def __post_init__(self) -> None:
        """Load the crash history from the progress row."""
        self.crashes = CrashHistory(self.progress.failed)

    @classmethod
    def from_row(
        cls,
        row: JobRow,
        epoch: int,
        is_inherited: bool,
        progress: ProgressRow | None = None,
    ) -> 'JobRecord':
        """Create a record of a stored job and its progress."""
        record = cls(
            row.job,
            row.accepted_ms,
            epoch,
            is_inherited,
            progress or ProgressRow(),
            zone=row.zone,
        )
        if not row.job.schedule.times:
            record.open_occurrence(0)
        if progress is not None and progress.state:
            record.state = JobState(progress.state)
            record.final_state = record.state
        elif record.has_begun:
            record.state = JobState.ACTIVE
        return record

    @property
    def has_begun(self) -> bool:
        """Whether any task is known to have started."""
        return bool(
            self.progress.done
            or self.progress.failed
            or any(run.running for run in self.step_runs.values())
        )

    def open_occurrence(self, occurrence: int) -> None:
        """Create the step runs of an occurrence from the stored progress."""
        for number, step in enumerate(self.job.steps):
            run = StepRun(occurrence, number, step)
            run.done = self.progress.done.get(run.name, 0)
            run.waiting = {
                index
                for index in range(step.count)
                if not run.is_done_task(index)
            }
            self.step_runs[run.name] = run
        self._work_left = None

    def open_due_occurrences(self, wall_ms: float) -> None:
        """Open the occurrences that are due.

        Wall clocks of VMs differ by some milliseconds. The margin keeps an
        occurrence from starting before its time by any of them.
        """
        while self._open_count < self.job.occurrences:
            due_ms = self.job.schedule.due_ms(self._open_count)
            if wall_ms < due_ms + _DUE_MARGIN_MS:
                return
            self.open_occurrence(self._open_count)

    def step_run_of(self, name: TaskName) -> StepRun | None:
        """Return the step run of a task, None if the job has no such task.

        Opens the task's occurrence if necessary: a former owner may have
        started a task of an occurrence that is not open here yet. Without its
        step run, the task's end would be dropped and the task would run again.
        """
        while self._open_count <= name.occurrence < self.job.occurrences:
            self.open_occurrence(self._open_count)
        run = self.step_runs.get(f'{name.occurrence}.{name.step}')
        if run is None or not 0 <= name.index < run.step.count:
            return None
        return run

    def idle_waiting(self, run: StepRun) -> set[int]:
        """Return waiting tasks that run on no agent, reported or not.

        A task that was seen running under this epoch runs nowhere else. If a
        predecessor step has such a task, the step was never started before,
        as that task was not done.
        """
        if self._is_certainly_unstarted(run):
            return run.waiting
        return run.waiting & run.observed

    def ready_runs(self) -> Iterator[StepRun]:
        """Iterate over step runs with done predecessors, none after the end."""
        if self.final_state is not None:
            return
        for run in self.step_runs.values():
            if self._are_predecessors_done(run):
                yield run

    def open_runs(self) -> Iterator[StepRun]:
        """Iterate over ready step runs that have waiting tasks."""
        if self.final_state is not None:
            return
        for run in self.step_runs.values():
            if run.waiting and self._are_predecessors_done(run):
                yield run

    def idle_ms(self, now_ms: float) -> float:
        """Update and return for how long, in ms, no task of the job has run."""
        if any(run.running for run in self.step_runs.values()):
            self.idle_since = None
            return 0
        if self.idle_since is None:
            self.idle_since = now_ms
        return now_ms - self.idle_since

    def work_left(self, run_ms_by_step: Sequence[float] | None = None) -> float:
        """Return the estimated CPU work of tasks that are not done.

        The unit is a thousandth of a core times a millisecond.

        Args:
            run_ms_by_step: Expected run time of a task of each step; None for
                the caller's estimates.
        """
        if run_ms_by_step is not None:
            return _work_of(self.step_runs.values(), run_ms_by_step)
        if self._work_left is None:
            self._work_left = _work_of(
                self.step_runs.values(), self.job.estimate_ms_by_step
            )
        return self._work_left

    def next_attempt(self, task: str) -> int:
        """Return a new attempt number above all earlier ones of a task."""
        base = self.epoch * _ATTEMPTS_PER_EPOCH if self.is_inherited else 0
        number = self.attempt_by_task.get(task, base) + 1
        self.attempt_by_task[task] = number
        return number

    def next_gang_attempt(self, names: list[TaskName]) -> int:
        """Return a new attempt number that all members of a gang share."""
        number = max(self.next_attempt(str(name)) for name in names)
        for name in names:
            self.attempt_by_task[str(name)] = number
        return number

    def gang_checkpoint(self, names: list[TaskName]) -> str:
        """Return the highest checkpoint of a gang's members; any would do."""
        known = [self.checkpoint_by_task.get(str(name), '') for name in names]
        return max(known)

    def observe_attempt(self, task: str, number: int) -> None:
        """Record that an attempt with this number exists."""
        known = self.attempt_by_task.get(task, 0)
        self.attempt_by_task[task] = max(known, number)

    def record_checkpoint(self, task: str, checkpoint: str) -> None:
        """Record the checkpoint of a task; ignore an empty one."""
        if checkpoint:
            self.checkpoint_by_task[task] = checkpoint

    def record_done(self, name: TaskName) -> bool:
        """Record that a task is done; return False if that was known."""
        run = self.step_run_of(name)
        if run is None or run.is_done_task(name.index):
            return False
        run.mark_done(name.index)
        self._work_left = None
        self.progress.done[run.name] = run.done
        self.checkpoint_by_task.pop(str(name), None)
        self.crashes.clear(self.budget_key(name))
        self.complete_if_done()
        return True

    def complete_if_done(self) -> bool:
        """Complete the job if all its tasks are done; return whether it did.

        The last end may be recorded before all occurrences are open, so the
        end of a job does not follow from an end alone.
        """
        is_all_done = self._open_count == self.job.occurrences and all(
            run.is_done for run in self.step_runs.values()
        )
        if self.final_state is not None or not is_all_done:
            return False
        self.final_state = JobState.COMPLETED
        return True

    def record_failure(self, name: TaskName, attempt: int) -> bool:
        """Record a failed attempt; return True if the job fails by it."""
        run = self.step_run_of(name)
        if run is None:
            return False
        failed = self.progress.failed.setdefault(self.budget_key(name), [])
        if attempt not in failed:
            failed.append(attempt)
        count = len(failed)
        if run.step.is_keeper or self.final_state is not None:
            return False
        if run.is_done_task(name.index) or count < self.job.queue.max_attempts:
            return False
        self.final_state = JobState.FAILED
        return True

    def budget_key(self, name: TaskName) -> str:
        """Return the key of the budget of attempts of a task.

        The members of a gang share one budget, as the gang fails as a whole.
        """
        index = 0 if self.job.steps[name.step].is_gang else name.index
        return f'{name.occurrence}.{name.step}.{index}'

    def deadline(self, occurrence: int = 0) -> float:
        """Return when an occurrence should be completed, in ms since 1970."""
        return self.begun_ms(occurrence) + self.job.queue.objective_ms(
            self.job.critical_path_ms
        )

    def begun_ms(self, occurrence: int) -> float:
        """Return when an occurrence could begin, in ms since 1970."""
        return max(self.accepted_ms, self.job.schedule.due_ms(occurrence))

    @property
    def _open_count(self) -> int:
        """The number of open occurrences."""
        return len(self.step_runs) // len(self.job.steps)

    def _is_certainly_unstarted(self, run: StepRun) -> bool:
        """Whether a predecessor step was seen running under this epoch.

        It was not done then, so that no task of this step was started. If
        False, it is unknown whether one was.
        """
        return any(
            self.step_runs[f'{run.occurrence}.{earlier}'].observed
            for earlier in run.step.after
        )

    def _are_predecessors_done(self, run: StepRun) -> bool:
        return all(
            self.step_runs[f'{run.occurrence}.{earlier}'].allows_successors
            for earlier in run.step.after
        )


def _work_of(
    step_runs: Iterable[StepRun], run_ms_by_step: Sequence[float]
) -> float:
    return sum(
        (run.step.count - run.done.bit_count())
        * run_ms_by_step[run.step_index]
        * run.step.size.cpu_millis
        for run in step_runs
    )
