"""Stops of running tasks that can continue on another worker."""

from typing import Callable, Final, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.fleet import Fleet, PlacedAttempt, Worker
from hyssopring.jobs.interference import InterferenceModel
from hyssopring.jobs.messages import WorkerReport
from hyssopring.jobs.owned_shard import OwnedShard
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.placement_round import PlacementRound
from hyssopring.jobs.shards import shard_of, shard_of_task
from hyssopring.jobs.stop_marks import mark_stopping
from hyssopring.jobs.ticket_manager import TicketManager

__all__ = ('TaskMover',)

# A leaving worker's tasks are stopped this long before it ends: a stop takes up
# to 0.9 s, and its end is detected and reported within 0.1 s.
_EVACUATION_MS: Final = 1200.0

# A best-effort task that has been throttled for this long is moved if it saves
# checkpoints, or has done less than this percentage of its work.
_MIN_THROTTLED_MS: Final = 2000.0
_MAX_LOST_PERCENT: Final = 15

Stop = Callable[[OwnedShard, Worker, str, int], None]


class TaskMover:
    """Stop tasks that make better progress on another worker."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        shards: OwnedShards,
        stop: Stop,
        ticket_manager: TicketManager,
        interference: InterferenceModel,
    ) -> None:
        """Stop nothing yet.

        Args:
            stop: Sends the stop of an attempt of a task to its worker's agent.
        """
        self._clock = clock
        self._fleet = fleet
        self._shards = shards
        self._stop = stop
        self._ticket_manager = ticket_manager
        self._interference = interference

    def check(self, may_act: bool) -> None:
        """Stop the tasks that have to run, or run better, elsewhere.

        Args:
            may_act: Whether the owner may start and stop tasks now.
        """
        self.evacuate()
        if may_act:
            self.move_throttled_tasks(
                self._shards.startable_on(self._fleet.schedulable_workers())
            )

    def evacuate(self) -> None:
        """Stop the tasks of leaving workers before the workers end.

        A stop saves a checkpoint, and the task can start elsewhere at once.
        A lost worker is detected only when its hold has expired.
        """
        for worker in self._fleet.by_agent.values():
            report = worker.report
            if report is not None and report.is_leaving:
                self._evacuate(worker, report)

    def _evacuate(self, worker: Worker, report: WorkerReport) -> None:
        report_age_ms = self._clock.now() - worker.reported_at
        is_urgent = report.remaining_ms - report_age_ms < _EVACUATION_MS
        for task, placed in worker.placed_by_task.items():
            owned = self._shards.by_shard.get(shard_of_task(task))
            is_due = is_urgent or placed.step.is_keeper
            if owned is not None and is_due and not placed.is_stopping:
                mark_stopping(placed, worker, 'the worker leaves')
                self._stop(owned, worker, task, placed.attempt)

    def move_throttled_tasks(self, workers: Iterable[Worker]) -> None:
        """Move throttled best-effort tasks to workers without interference.

        A job ends with its slowest task: a single task that was stopped for
        twenty seconds delayed a job whose other tasks took ten.

        Args:
            workers: The workers on which tasks may start now.
        """
        now_ms = self._clock.now()
        throttled = [
            (worker, placed)
            for worker in self._fleet.by_agent.values()
            for placed in worker.best_effort_tasks()
            if _is_movable(placed, now_ms)
        ]
        if not throttled:
            return
        placement = PlacementRound(workers, self._interference)
        for worker, placed in throttled:
            boots = self._ticket_manager.valid_tickets_for(placed.name)
            if placement.reserve_without_interference(
                worker.service, placed.step, boots
            ):
                owned = self._shards.by_shard[shard_of(placed.name.job_id)]
                mark_stopping(
                    placed, worker, 'throttled beside latency-critical tasks'
                )
                self._stop(owned, worker, str(placed.name), placed.attempt)


def _is_movable(placed: PlacedAttempt, now_ms: float) -> bool:
    if placed.is_stopping or placed.slow_ms(now_ms) < _MIN_THROTTLED_MS:
        return False
    return placed.step.saves or placed.percent < _MAX_LOST_PERCENT
