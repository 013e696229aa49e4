"""Finds the tasks that crash the workers that start them.

A worker that crashes takes all along that ran on it. Each attempt that was
started shortly before is a suspect, and is started again on a worker that gets
no other start meanwhile. A task under which workers crash there as well is
given up with its job; one that outlives its start is no suspect any more.
"""

from collections import Counter
from dataclasses import dataclass
from typing import Collection, Final, Iterable

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.crash_history import Crash, CrashCause
from hyssopring.jobs.fleet import Fleet, PlacedAttempt, Worker
from hyssopring.jobs.messages import EndReport
from hyssopring.jobs.model import AttemptEnd, TaskName
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.worker_crashes import WorkerCrashes
from hyssopring.logs import Event, log_event

__all__ = ('TRIAL_MS', 'CrashSuspects')

# An attempt that has run for this long has not crashed its worker by starting.
TRIAL_MS: Final = MILLIS_PER_SECOND
# Isolated crashes on so many workers show that the task is the cause.
_ENOUGH_WORKERS: Final = 2
# Where workers often die of other causes, it takes so many crashes in all.
_ENOUGH_CRASHES: Final = 4
# So many isolated crashes show it too, where there is no other worker to try.
_ENOUGH_ISOLATED: Final = 4
# An innocent task is hardly ever starting at so many crashes in a row, of which
# one was isolated.
_MOST_CRASHES: Final = 5
# One in so many workers is on trial at most.
_WORKERS_PER_TRIAL: Final = 4
# A suspect waits so long for a trial for each of its crashes, a lasting one so
# long in all; then it starts like any other task.
_WAIT_MS: Final = 2 * MILLIS_PER_SECOND
# A worker on trial that has been silent for this long has crashed.
_SILENT_MS: Final = 500.0


@dataclass(frozen=True, slots=True)
class _Trial:
    """One attempt of a suspect, and the agent that has no other start."""

    record: JobRecord
    name: TaskName
    attempt: int
    agent_id: str

    @property
    def suspect(self) -> tuple[str, str]:
        """The job and its task or gang."""
        return self.record.job.job_id, self.record.budget_key(self.name)


class CrashSuspects:
    """Keeps the trials under way, and judges crashes.

    Attributes:
        worker_crashes: Those of all workers, to tell a common cause.
    """

    def __init__(self, clock: Clock, fleet: Fleet) -> None:
        """Begin without a trial."""
        self._clock = clock
        self._fleet = fleet
        self._trial_by_agent: dict[str, _Trial] = {}
        self.worker_crashes = WorkerCrashes(clock, fleet)

    @property
    def agents(self) -> Collection[str]:
        """The agents whose workers are to get no other start now."""
        return self._trial_by_agent.keys()

    def spared(self, shards: OwnedShards) -> list[Worker]:
        """Return the workers that any task may be started on now."""
        return [
            worker
            for worker in shards.startable_on(self._fleet.schedulable_workers())
            if worker.agent_id not in self._trial_by_agent
        ]

    def needs_trial(self, record: JobRecord, name: TaskName) -> bool:
        """Whether a task is a suspect that can wait for a trial."""
        if record.crashes.is_empty:
            return False
        suspect = record.budget_key(name)
        crashes = record.crashes.of(suspect)
        if not _is_suspicious(crashes):
            return False
        now = self._clock.now()
        since = record.trial_wanted_since.setdefault(suspect, now)
        is_lasting = record.job.steps[name.step].is_keeper
        return now - since < _WAIT_MS * (1 if is_lasting else len(crashes))

    def sorted_out(
        self,
        record: JobRecord,
        names: Iterable[TaskName],
    ) -> tuple[list[TaskName], list[TaskName]]:
        """Return the tasks that need no trial, and those that do."""
        innocent: list[TaskName] = []
        suspects: list[TaskName] = []
        for name in names:
            needs_trial = self.needs_trial(record, name)
            (suspects if needs_trial else innocent).append(name)
        return innocent, suspects

    def isolated_agents(self, record: JobRecord, name: TaskName) -> set[str]:
        """Return the agents of a suspect's isolated crashes."""
        crashes = record.crashes.of(record.budget_key(name))
        return {each.agent_id for each in crashes if _is_isolated(each)}

    def may_begin(self, record: JobRecord, name: TaskName) -> bool:
        """Whether there is a worker to spare for a suspect's trial.

        One of several crashes does not wait behind those of one.
        """
        crashes = record.crashes.of(record.budget_key(name))
        under_way = sum(
            self._is_answering(agent_id) for agent_id in self._trial_by_agent
        )
        takers = len(self._fleet.schedulable_workers())
        most = max(1, takers // _WORKERS_PER_TRIAL)
        return under_way < most + (len(crashes) > 1)

    def begin(
        self,
        record: JobRecord,
        name: TaskName,
        attempt: int,
        agent_id: str,
    ) -> None:
        """An attempt was ordered as a trial."""
        record.trial_wanted_since.pop(record.budget_key(name), None)
        trial = _Trial(record, name, attempt, agent_id)
        self._trial_by_agent[agent_id] = trial

    def record_survival(self, record: JobRecord, name: TaskName) -> None:
        """Clear a task an attempt of which has outlived its start.

        Crashes that an innocent task was caught in would make it wait for a
        trial after each of its later ends.
        """
        suspect = record.budget_key(name)
        is_gang = record.job.steps[name.step].is_gang
        if not is_gang and record.crashes.of(suspect):
            record.crashes.clear(suspect)
            record.trial_wanted_since.pop(suspect, None)

    def check(self) -> None:
        """End the trials that are decided; call before each planning round."""
        for trials in self._by_suspect().values():
            placed = [self._placed(trial) for trial in trials]
            if all(each and each.observed_ms >= TRIAL_MS for each in placed):
                self._passed(trials)
            elif not all(placed):
                self._release(trials)

    def record_crash(
        self,
        record: JobRecord,
        name: TaskName,
        end: EndReport,
        worker: Worker,
    ) -> bool:
        """Count a crash under a starting attempt; True if its job fails."""
        suspect = record.budget_key(name)
        crash = Crash(worker.agent_id, end.attempt, self._cause(end, worker))
        if not record.crashes.add(suspect, crash):
            return False
        record.trial_wanted_since.pop(suspect, None)
        crashes = record.crashes.of(suspect)
        log_event(
            Event.TASK_SUSPECTED,
            task=str(name),
            attempt=end.attempt,
            agent=worker.agent_id,
            cause=crash.cause.value,
            crashes=len(crashes),
        )
        if record.final_state is not None or not self._is_proven(crashes):
            return False
        log_event(
            Event.TASK_GIVEN_UP,
            task=str(name),
            crashes=len(crashes),
            agents=' '.join(sorted({each.agent_id for each in crashes})),
        )
        return True

    def _cause(self, end: EndReport, worker: Worker) -> CrashCause:
        is_trial = end.how == AttemptEnd.CRASHED_IN_TRIAL.value
        if is_trial:
            self.worker_crashes.explain(worker.agent_id)
        if self.worker_crashes.is_common(worker.agent_id, self.agents):
            return CrashCause.COMMON
        if is_trial:
            return CrashCause.ISOLATED
        return CrashCause.SHARED

    def _is_proven(self, crashes: tuple[Crash, ...]) -> bool:
        by_agent = Counter(
            crash.agent_id for crash in crashes if _is_isolated(crash)
        )
        if len(by_agent) >= _ENOUGH_WORKERS:
            is_enough = len(crashes) >= _ENOUGH_CRASHES
            return is_enough or not self.worker_crashes.are_frequent
        if len(crashes) >= _MOST_CRASHES and by_agent:
            return True
        return by_agent.total() >= _ENOUGH_ISOLATED

    def _by_suspect(self) -> dict[tuple[str, str], list[_Trial]]:
        """Trials under way; the members of a gang are tried together."""
        by_suspect: dict[tuple[str, str], list[_Trial]] = {}
        for trial in self._trial_by_agent.values():
            by_suspect.setdefault(trial.suspect, []).append(trial)
        return by_suspect

    def _placed(self, trial: _Trial) -> PlacedAttempt | None:
        worker = self._fleet.by_agent.get(trial.agent_id)
        if worker is None:
            return None
        placed = worker.placed_by_task.get(str(trial.name))
        if placed is None or placed.number != trial.attempt:
            return None
        return placed

    def _passed(self, trials: list[_Trial]) -> None:
        first = trials[0]
        first.record.crashes.clear(first.suspect[1])
        log_event(
            Event.SUSPECT_CLEARED,
            task=str(first.name),
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
    """Whether crashes call for a trial: one alone that was common does not."""
    return len(crashes) > 1 or any(
        crash.cause is not CrashCause.COMMON for crash in crashes
    )
