"""One accepted job as its owner keeps it: what is done, runs and waits."""

from dataclasses import dataclass, field
from typing import Final, Iterator

from hyssopring.jobs.crash_history import CrashHistory
from hyssopring.jobs.documents import JobRow, ProgressRow
from hyssopring.jobs.model import Job, JobState, Step, TaskName

__all__ = ('JobRecord', 'StepRun')

# Attempts of a reign are numbered from a base of their own: a new owner need
# not know the numbers that its predecessor gave.
_ATTEMPTS_PER_REIGN: Final = 1000
_DUE_MARGIN_MS: Final = 30.0


@dataclass
class StepRun:
    """One step of one occurrence.

    Attributes:
        waiting: Indices of tasks that neither run nor are done.
        running: Indices of tasks with an attempt that may run.
        located: Indices of tasks that were seen running under this reign.
    """

    occurrence: int
    step_index: int
    step: Step
    done: int = 0
    waiting: set[int] = field(default_factory=set)
    running: set[int] = field(default_factory=set)
    located: set[int] = field(default_factory=set)

    @property
    def name(self) -> str:
        """The step's name within its job."""
        return f'{self.occurrence}.{self.step_index}'

    @property
    def is_gang_ready(self) -> bool:
        """Whether no member of a gang is done, runs or may still run."""
        return len(self.waiting) == self.step.count

    @property
    def is_done(self) -> bool:
        """Whether all tasks have ended as done."""
        return self.done.bit_count() == self.step.count

    def is_done_task(self, index: int) -> bool:
        """Whether this task has ended as done."""
        return bool(self.done >> index & 1)

    def task(self, job_id: str, index: int) -> TaskName:
        """Name one task of the step."""
        return TaskName(job_id, self.occurrence, self.step_index, index)

    def mark_running(self, index: int) -> None:
        """An attempt of the task may run from now on."""
        self.waiting.discard(index)
        self.running.add(index)
        self.located.add(index)

    def finished(self, index: int) -> None:
        """The task is done."""
        self.waiting.discard(index)
        self.running.discard(index)
        self.done |= 1 << index

    def returned(self, index: int) -> None:
        """The task's attempt is over and it must run again."""
        self.running.discard(index)
        if not self.is_done_task(index):
            self.waiting.add(index)


@dataclass
class JobRecord:
    """A job of a shard that this entry owns.

    Attributes:
        accepted_ms: Since 1970, by the clock of the entry that accepted.
        is_inherited: Accepted under an earlier reign: tasks of it may run.
        version: The progress row's, 0 for none.
        state: The state as it is durably known.
        final_state: The state that is decided; it may not be durable yet.
        idle_since: Since when tasks wait and none runs.
        crashes: Crashes of workers that were starting its tasks.
        trial_wanted_since: Since when a suspect has waited for a trial, by the
            key of its budget.
    """

    job: Job
    accepted_ms: float
    epoch: int
    is_inherited: bool
    progress: ProgressRow = field(default_factory=ProgressRow)
    version: int = 0
    step_runs: dict[str, StepRun] = field(default_factory=dict)
    checkpoint_by_task: dict[str, str] = field(default_factory=dict)
    number_by_task: dict[str, int] = field(default_factory=dict)
    state: JobState = JobState.QUEUED
    final_state: JobState | None = None
    idle_since: float | None = None
    crashes: CrashHistory = field(init=False)
    trial_wanted_since: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Read the crashes in the progress row."""
        self.crashes = CrashHistory(self.progress.failed)

    @classmethod
    def from_row(
        cls,
        row: JobRow,
        reign: int,
        is_inherited: bool,
        progress: ProgressRow | None = None,
    ) -> 'JobRecord':
        """Take over a stored job."""
        record = cls(
            row.job,
            row.accepted_ms,
            reign,
            is_inherited,
            progress or ProgressRow(),
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
        """Whether a task is known to have started."""
        return bool(
            self.progress.done
            or self.progress.failed
            or any(run.running for run in self.step_runs.values())
        )

    def open_occurrence(self, occurrence: int) -> None:
        """Make the steps of an occurrence known, as far as done so far."""
        for number, step in enumerate(self.job.steps):
            run = StepRun(occurrence, number, step)
            run.done = self.progress.done.get(run.name, 0)
            run.waiting = {
                index
                for index in range(step.count)
                if not run.is_done_task(index)
            }
            self.step_runs[run.name] = run

    def open_due(self, wall_ms: float) -> None:
        """Open the occurrences whose time has come.

        Times of day differ between VMs by some milliseconds; an occurrence
        begins this much after its time, never before.
        """
        while self._opened < self.job.occurrences:
            due_ms = self.job.schedule.due_ms(self._opened)
            if wall_ms < due_ms + _DUE_MARGIN_MS:
                return
            self.open_occurrence(self._opened)

    def run_of(self, name: TaskName) -> StepRun | None:
        """Return the step run of a task, None if the job has none such.

        An attempt shows that its occurrence has begun, also where this owner
        has not opened it yet: a former owner started it. Taken for unknown,
        its end would be dropped and the task would run again.
        """
        while self._opened <= name.occurrence < self.job.occurrences:
            self.open_occurrence(self._opened)
        run = self.step_runs.get(f'{name.occurrence}.{name.step}')
        if run is None or not 0 <= name.index < run.step.count:
            return None
        return run

    def located_waiting(self, run: StepRun) -> set[int]:
        """Waiting tasks that surely run nowhere, whoever has not been heard.

        A task that was seen running under this reign runs nowhere else. A
        step after one with such a task was never begun before, as that task
        was not done.
        """
        if self._is_untouched(run):
            return run.waiting
        return run.waiting & run.located

    def ready_runs(self) -> Iterator[StepRun]:
        """Step runs whose turn has come, unless the job has ended."""
        if self.final_state is not None:
            return
        for run in self.step_runs.values():
            if self._is_ready(run):
                yield run

    def open_runs(self) -> Iterator[StepRun]:
        """Step runs with waiting tasks whose turn has come."""
        if self.final_state is not None:
            return
        for run in self.step_runs.values():
            if run.waiting and self._is_ready(run):
                yield run

    def idle_ms(self, now: float) -> float:
        """For how long tasks have waited while none of the job runs."""
        if any(run.running for run in self.step_runs.values()):
            self.idle_since = None
            return 0
        if self.idle_since is None:
            self.idle_since = now
        return now - self.idle_since

    def work_left(self) -> float:
        """Estimated core-milliseconds of tasks that are not done."""
        return sum(
            (run.step.count - run.done.bit_count())
            * run.step.estimate_ms
            * run.step.size.cpu_millis
            for run in self.step_runs.values()
        )

    def next_attempt(self, task: str) -> int:
        """Number a new attempt above all earlier ones of the task."""
        base = self.epoch * _ATTEMPTS_PER_REIGN if self.is_inherited else 0
        number = self.number_by_task.get(task, base) + 1
        self.number_by_task[task] = number
        return number

    def next_gang_attempt(self, names: list[TaskName]) -> int:
        """Number an attempt of a whole gang: its members share it."""
        number = max(self.next_attempt(str(name)) for name in names)
        for name in names:
            self.number_by_task[str(name)] = number
        return number

    def gang_checkpoint(self, names: list[TaskName]) -> str:
        """Return what a gang can be resumed from: any member's will do."""
        known = [self.checkpoint_by_task.get(str(name), '') for name in names]
        return max(known)

    def saw_number(self, task: str, number: int) -> None:
        """An attempt with this number exists."""
        known = self.number_by_task.get(task, 0)
        self.number_by_task[task] = max(known, number)

    def keep_checkpoint(self, task: str, checkpoint: str) -> None:
        """Note what a task can be resumed from; empty says nothing new."""
        if checkpoint:
            self.checkpoint_by_task[task] = checkpoint

    def take_done(self, name: TaskName) -> bool:
        """Note a task's end; False if it was known."""
        run = self.run_of(name)
        if run is None or run.is_done_task(name.index):
            return False
        run.finished(name.index)
        self.progress.done[run.name] = run.done
        self.checkpoint_by_task.pop(str(name), None)
        self.crashes.clear(self.budget_key(name))
        if self.is_all_done:
            self.final_state = self.final_state or JobState.COMPLETED
        return True

    def take_failed(self, name: TaskName, attempt: int) -> bool:
        """Count a failed attempt; True if the job fails by it."""
        run = self.run_of(name)
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
        """Name what shares a budget of attempts: a task, or a whole gang."""
        # A gang fails as one, whichever member it was.
        index = 0 if self.job.steps[name.step].is_gang else name.index
        return f'{name.occurrence}.{name.step}.{index}'

    @property
    def is_all_done(self) -> bool:
        """Whether each task of each occurrence has ended as done."""
        return self._opened == self.job.occurrences and all(
            run.is_done for run in self.step_runs.values()
        )

    def deadline(self, occurrence: int = 0) -> float:
        """When an occurrence should be completed, in ms since 1970."""
        queue = self.job.queue
        allowed = (
            queue.slack_factor * self.job.critical_path_ms + queue.target_ms
        )
        due_ms = self.job.schedule.due_ms(occurrence)
        return max(self.accepted_ms, due_ms) + allowed

    @property
    def _opened(self) -> int:
        """How many occurrences are open."""
        return len(self.step_runs) // len(self.job.steps)

    def _is_untouched(self, run: StepRun) -> bool:
        """Whether no task of a step was ever started before this reign."""
        return any(
            self.step_runs[f'{run.occurrence}.{earlier}'].located
            for earlier in run.step.after
        )

    def _is_ready(self, run: StepRun) -> bool:
        return all(
            self.step_runs[f'{run.occurrence}.{earlier}'].is_done
            for earlier in run.step.after
        )
