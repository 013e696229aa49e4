"""Starts of a second attempt of tasks whose run is an outlier."""

from collections import Counter
from dataclasses import dataclass
from typing import Container, Final, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.placement_round import PlacementRound
from hyssopring.jobs.planning import StepPlanner
from hyssopring.jobs.shards import shard_of
from hyssopring.logs import Event, log_event
from hyssopring.stragglers.copy_budget import CopyBudget
from hyssopring.stragglers.outliers import (
    RunEvidence,
    copy_gain_ms,
    is_outlier,
)
from hyssopring.stragglers.progress_table import ProgressTable, TrackedAttempt

__all__ = ('Copier',)

# After a copy, the task gets no other one for this long. A copy that is
# refused would otherwise be ordered again in each round.
_COPY_PAUSE_MS: Final = 1000.0
_FULL_PACE: Final = 100


@dataclass(frozen=True, slots=True)
class _Candidate:
    tracked: TrackedAttempt
    evidence: RunEvidence
    gain_ms: float


class Copier:
    """Start copies within the budget.

    Attributes:
        running_count: The number of copies that ran at the last check.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        shards: OwnedShards,
        planner: StepPlanner,
        max_share: float,
    ) -> None:
        """Start without copies.

        Args:
            max_share: See ``StragglerOptions.max_copies_share``.
        """
        self._clock = clock
        self._fleet = fleet
        self._shards = shards
        self._planner = planner
        self._max_share = max_share
        self._copied_at_by_task: dict[str, float] = {}
        self.running_count = 0

    def copy(self, table: ProgressTable, slow_boots: Container[str]) -> None:
        """Start copies of the outliers that gain most."""
        now_ms = self._clock.now()
        self._copied_at_by_task = {
            task: copied_at_ms
            for task, copied_at_ms in self._copied_at_by_task.items()
            if now_ms - copied_at_ms < _COPY_PAUSE_MS
        }
        attempt_count_by_task = self._count_attempts()
        budget = self._budget(attempt_count_by_task)
        if self._planner.has_unplaced_tasks:
            return
        candidates = [
            candidate
            for tracked in table
            if attempt_count_by_task[tracked.task] == 1
            and self._is_eligible(tracked)
            and (candidate := _candidate(tracked, table)) is not None
            and self._is_only_attempt_known(tracked)
        ]
        if not candidates:
            return
        candidates.sort(key=lambda each: each.gain_ms, reverse=True)
        self._start_all(candidates, budget, slow_boots)

    def _start_all(
        self,
        candidates: Iterable[_Candidate],
        budget: CopyBudget,
        slow_boots: Container[str],
    ) -> None:
        placement = self._planner.new_round()
        boots = {
            worker.boot
            for worker in self._planner.available_workers()
            if worker.boot not in slow_boots
        }
        for candidate in candidates:
            cpu_millis = candidate.tracked.run.step.size.cpu_millis
            if budget.allows(cpu_millis) and self._start(
                candidate, placement, boots
            ):
                budget.add_copy(cpu_millis)

    def _count_attempts(self) -> Counter[str]:
        """Count the attempts of each task that may run anywhere.

        Attempts that are stopping, unconfirmed or on agents that are away
        count as well.
        """
        return Counter(
            task
            for worker in self._fleet.by_agent.values()
            for task in worker.placed_by_task
        )

    def _budget(self, attempt_count_by_task: Counter[str]) -> CopyBudget:
        """Return the budget after the copies that run now."""
        budget = CopyBudget(self._max_share)
        copied_by_task: dict[str, int] = {}
        for worker in self._fleet.by_agent.values():
            for task, placed in worker.placed_by_task.items():
                cpu_millis = placed.step.size.cpu_millis
                if not placed.step.is_keeper:
                    budget.running_millis += cpu_millis
                if attempt_count_by_task[task] > 1:
                    copied_by_task[task] = cpu_millis
        budget.copies_millis = sum(copied_by_task.values())
        self.running_count = len(copied_by_task)
        return budget

    def _is_eligible(self, tracked: TrackedAttempt) -> bool:
        """Return whether a copy of a task with one attempt is allowed."""
        if not tracked.placed.step.is_copyable or not _is_wanted(tracked):
            return False
        if tracked.task in self._copied_at_by_task:
            return False
        record = tracked.record
        return record.crashes.is_empty or not record.crashes.crashes_of(
            record.budget_key(tracked.placed.name)
        )

    def _is_only_attempt_known(self, tracked: TrackedAttempt) -> bool:
        """Return whether no attempt can run that this owner does not know of.

        While agents of an inherited job have not reported, one may.
        """
        if not tracked.record.is_inherited:
            return True
        owned = self._shards.by_shard[shard_of(tracked.placed.name.job_id)]
        return not owned.unreported

    def _start(
        self,
        candidate: _Candidate,
        placement: PlacementRound,
        boots: set[str],
    ) -> bool:
        """Start a copy on another worker; return False if none has room."""
        tracked, evidence = candidate.tracked, candidate.evidence
        placed = tracked.placed
        worker = self._planner.start_copy(
            placement,
            tracked.record,
            tracked.run,
            placed.name,
            boots - {placed.boot, tracked.worker.boot},
        )
        if worker is None:
            return False
        task = tracked.task
        self._copied_at_by_task[task] = self._clock.now()
        log_event(
            Event.TASK_COPIED,
            task=task,
            attempt=worker.placed_by_task[task].attempt,
            agent=worker.agent_id,
            first=placed.attempt,
            first_agent=tracked.worker.agent_id,
            run_ms=int(evidence.run_ms),
            usual_ms=int(evidence.siblings_ms or evidence.expected_ms),
            high_ms=int(evidence.high_quantile_ms or 0),
            gain_ms=int(candidate.gain_ms),
        )
        return True


def _is_wanted(tracked: TrackedAttempt) -> bool:
    """Return whether an attempt goes on, at full pace."""
    placed = tracked.placed
    is_throttled = placed.step.fills and placed.pace < _FULL_PACE
    is_over = tracked.record.final_state is not None or placed.is_stopping
    is_done = tracked.run.is_done_task(placed.name.index)
    return not (is_throttled or is_over or is_done)


def _candidate(
    tracked: TrackedAttempt, table: ProgressTable
) -> _Candidate | None:
    evidence = table.evidence_of(tracked)
    if not is_outlier(evidence):
        return None
    gain_ms = copy_gain_ms(evidence)
    return _Candidate(tracked, evidence, gain_ms) if gain_ms > 0 else None
