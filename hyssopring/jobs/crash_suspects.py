"""Detection of tasks whose start crashes the worker.

A crash ends all tasks on the worker. Each attempt that had started shortly
before is a suspect, and is started again in a trial: on a worker that gets no
other start meanwhile. If workers crash under a task in trials as well, its job
fails. An attempt that outlasts its start clears the task.
"""

from collections import Counter
from dataclasses import dataclass
from typing import Collection, Final, Iterable

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.crash_history import Crash, CrashCause
from hyssopring.jobs.fleet import Fleet, PlacedAttempt, Worker
from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.messages import EndReport
from hyssopring.jobs.model import AttemptEnd, TaskName
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.worker_crashes import WorkerCrashes
from hyssopring.logs import Event, log_event

__all__ = ('TRIAL_MS', 'CrashSuspects')

# An attempt that has run for this long has not crashed its worker by starting.
TRIAL_MS: Final = MILLIS_PER_SECOND
# Isolated crashes on this many workers prove that the task is the cause.
_PROVING_WORKERS: Final = 2
# If workers often crash for other reasons, the proof also takes this many
# crashes in total.
_PROVING_CRASHES: Final = 4
# This many isolated crashes are a proof as well, as there may be no second
# worker to try.
_PROVING_ISOLATED: Final = 4
# This many crashes, one of them isolated, are a proof as well: a task that is
# not the cause is hardly ever starting at so many crashes in a row.
_MAX_CRASHES: Final = 5
# At most one in this many workers runs a trial at a time.
_WORKERS_PER_TRIAL: Final = 4
# How long a suspect waits for a trial, per crash; a keeper's task waits this
# long in total. Then it starts like any other task.
_WAIT_MS: Final = 2 * MILLIS_PER_SECOND
# A worker in a trial that has been silent for this long counts as crashed.
_SILENT_MS: Final = 500.0


@dataclass(frozen=True, slots=True)
class _Trial:
    """An attempt of a suspect on a worker that gets no other start."""

    record: JobRecord
    task_name: TaskName
    attempt: int
    agent_id: str

    @property
    def suspect_key(self) -> tuple[str, str]:
        """Return the job's ID and the budget key of the task or gang."""
        return self.record.job.job_id, self.record.budget_key(self.task_name)


class CrashSuspects:
    """Track trials and decide which tasks crash their workers.

    Attributes:
        worker_crashes: The crashes of all workers, to detect common causes.
    """

    def __init__(self, clock: Clock, fleet: Fleet) -> None:
        """Start without trials."""
        self._clock = clock
        self._fleet = fleet
        self._trial_by_agent: dict[str, _Trial] = {}
        self.worker_crashes = WorkerCrashes(clock, fleet)

    @property
    def trial_agents(self) -> Collection[str]:
        """Return the IDs of the agents whose workers run a trial."""
        return self._trial_by_agent.keys()

    def available_workers(self, shards: OwnedShards) -> list[Worker]:
        """Return the workers on which any task may start now."""
        return [
            worker
            for worker in shards.startable_on(self._fleet.schedulable_workers())
            if worker.agent_id not in self._trial_by_agent
        ]

    def needs_trial(self, record: JobRecord, task_name: TaskName) -> bool:
        """Return whether a task is a suspect that may wait for a trial.

        The first call after a crash starts the time that it may wait.
        """
        if record.crashes.is_empty:
            return False
        budget_key = record.budget_key(task_name)
        crashes = record.crashes.crashes_of(budget_key)
        if not _is_suspicious(crashes):
            return False
        now_ms = self._clock.now()
        since_ms = record.trial_wanted_since.setdefault(budget_key, now_ms)
        is_keeper = record.job.steps[task_name.step].is_keeper
        return now_ms - since_ms < _WAIT_MS * (1 if is_keeper else len(crashes))

    def partition(
        self,
        record: JobRecord,
        task_names: Iterable[TaskName],
    ) -> tuple[Iterable[TaskName], list[TaskName]]:
        """Return the tasks that need no trial, and those that need one."""
        if record.crashes.is_empty:
            return task_names, []
        unsuspected: list[TaskName] = []
        suspects: list[TaskName] = []
        for task_name in task_names:
            needs_trial = self.needs_trial(record, task_name)
            (suspects if needs_trial else unsuspected).append(task_name)
        return unsuspected, suspects

    def agents_with_isolated_crashes(
        self, record: JobRecord, task_name: TaskName
    ) -> set[str]:
        """Return the IDs of the agents of a suspect's isolated crashes."""
        crashes = record.crashes.crashes_of(record.budget_key(task_name))
        return {crash.agent_id for crash in crashes if _is_isolated(crash)}

    def can_begin_trial(self, record: JobRecord, task_name: TaskName) -> bool:
        """Return whether the limit of simultaneous trials allows one more.

        A suspect of several crashes may exceed the limit by one, so that it
        does not wait behind suspects of a single crash.
        """
        crashes = record.crashes.crashes_of(record.budget_key(task_name))
        trial_count = sum(
            self._is_answering(agent_id) for agent_id in self._trial_by_agent
        )
        worker_count = len(self._fleet.schedulable_workers())
        limit = max(1, worker_count // _WORKERS_PER_TRIAL)
        return trial_count < limit + (len(crashes) > 1)

    def begin_trial(
        self,
        record: JobRecord,
        task_name: TaskName,
        attempt: int,
        agent_id: str,
    ) -> None:
        """Record that an attempt was started as a trial."""
        record.trial_wanted_since.pop(record.budget_key(task_name), None)
        trial = _Trial(record, task_name, attempt, agent_id)
        self._trial_by_agent[agent_id] = trial

    def record_survival(self, record: JobRecord, task_name: TaskName) -> None:
        """Clear a task whose attempt has outlasted its start.

        Otherwise a task that was merely running during a crash would wait for
        a trial each time that it starts again.
        """
        budget_key = record.budget_key(task_name)
        is_gang = record.job.steps[task_name.step].is_gang
        if not is_gang and record.crashes.crashes_of(budget_key):
            record.crashes.clear(budget_key)
            record.trial_wanted_since.pop(budget_key, None)

    def check(self) -> None:
        """End the trials that are decided; call before each planning round."""
        for trials in self._trials_by_suspect().values():
            placed_attempts = [self._placed(trial) for trial in trials]
            if all(
                placed and placed.observed_ms >= TRIAL_MS
                for placed in placed_attempts
            ):
                self._pass(trials)
            elif not all(placed_attempts):
                self._release(trials)

    def record_crash(
        self,
        record: JobRecord,
        task_name: TaskName,
        end: EndReport,
        worker: Worker,
    ) -> bool:
        """Record a crash under a starting attempt; True if its job fails."""
        budget_key = record.budget_key(task_name)
        crash = Crash(worker.agent_id, end.attempt, self._cause(end, worker))
        if not record.crashes.add(budget_key, crash):
            return False
        record.trial_wanted_since.pop(budget_key, None)
        crashes = record.crashes.crashes_of(budget_key)
        log_event(
            Event.TASK_SUSPECTED,
            task=str(task_name),
            attempt=end.attempt,
            agent=worker.agent_id,
            cause=crash.cause.value,
            crashes=len(crashes),
        )
        if record.final_state is not None or not self._is_proven(crashes):
            return False
        log_event(
            Event.TASK_GIVEN_UP,
            task=str(task_name),
            crashes=len(crashes),
            agents=' '.join(sorted({known.agent_id for known in crashes})),
        )
        return True

    def _cause(self, end: EndReport, worker: Worker) -> CrashCause:
        is_trial = end.how == AttemptEnd.CRASHED_IN_TRIAL.value
        if is_trial:
            self.worker_crashes.attribute_to_trial(worker.agent_id)
        if self.worker_crashes.has_common_cause(
            worker.agent_id, self.trial_agents
        ):
            return CrashCause.COMMON
        if is_trial:
            return CrashCause.ISOLATED
        return CrashCause.SHARED

    def _is_proven(self, crashes: tuple[Crash, ...]) -> bool:
        isolated_by_agent = Counter(
            crash.agent_id for crash in crashes if _is_isolated(crash)
        )
        if len(isolated_by_agent) >= _PROVING_WORKERS:
            has_enough = len(crashes) >= _PROVING_CRASHES
            return has_enough or not self.worker_crashes.are_frequent
        if len(crashes) >= _MAX_CRASHES and isolated_by_agent:
            return True
        return isolated_by_agent.total() >= _PROVING_ISOLATED

    def _trials_by_suspect(self) -> dict[tuple[str, str], list[_Trial]]:
        """Group the running trials; members of a gang are tried together."""
        trials_by_suspect: dict[tuple[str, str], list[_Trial]] = {}
        for trial in self._trial_by_agent.values():
            trials_by_suspect.setdefault(trial.suspect_key, []).append(trial)
        return trials_by_suspect

    def _placed(self, trial: _Trial) -> PlacedAttempt | None:
        """Return the trial's attempt, None if it has ended."""
        worker = self._fleet.by_agent.get(trial.agent_id)
        if worker is None:
            return None
        placed = worker.placed_by_task.get(str(trial.task_name))
        if placed is None or placed.attempt != trial.attempt:
            return None
        return placed

    def _pass(self, trials: list[_Trial]) -> None:
        first = trials[0]
        first.record.crashes.clear(first.suspect_key[1])
        log_event(
            Event.SUSPECT_CLEARED,
            task=str(first.task_name),
            attempt=first.attempt,
        )
        self._release(trials)

    def _release(self, trials: list[_Trial]) -> None:
        for trial in trials:
            self._trial_by_agent.pop(trial.agent_id)

    def _is_answering(self, agent_id: str) -> bool:
        worker = self._fleet.by_agent.get(agent_id)
        report = worker.report if worker else None
        return report is not None and report.silent_ms < _SILENT_MS


def _is_isolated(crash: Crash) -> bool:
    return crash.cause is CrashCause.ISOLATED


def _is_suspicious(crashes: tuple[Crash, ...]) -> bool:
    """Return whether crashes call for a trial; a single common one does not."""
    return len(crashes) > 1 or any(
        crash.cause is not CrashCause.COMMON for crash in crashes
    )
