"""Tasks that are stopped where they run, to start again elsewhere."""

from typing import Callable, Final, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.ticket_manager import TicketManager
from hyssopring.jobs.placement_round import PlacementRound
from hyssopring.jobs.fleet import Fleet, PlacedAttempt, Worker
from hyssopring.jobs.interference import InterferenceModel
from hyssopring.jobs.messages import WorkerReport
from hyssopring.jobs.owned_shard import OwnedShard
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.shards import shard_of, shard_of_task
from hyssopring.jobs.stop_marks import mark_stopping

__all__ = ('TaskMoves',)

# A leaving worker's tasks are stopped this long before it goes: a stop takes
# up to 0.9 s, and its end is noticed and told within 0.1 s.
_EVACUATE_MS: Final = 1200.0

# A filler that is slowed for this long is moved, if its work is saved or it
# has done less than this percentage of it.
_SLOW_MS: Final = 2000.0
_LITTLE_PERCENT: Final = 15

Stop = Callable[[OwnedShard, Worker, str, int], None]


class TaskMoves:
    """Stops tasks that are better off on another worker."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        shards: OwnedShards,
        stop: Stop,
        advice: TicketManager,
        harms: InterferenceModel,
    ) -> None:
        """Order stops by ``stop``."""
        self._clock = clock
        self._fleet = fleet
        self._shards = shards
        self._stop = stop
        self._advice = advice
        self._harms = harms

    def evacuate(self) -> None:
        """Stop what leaving workers would only take down with them.

        A stop saves a checkpoint and frees the task for another worker at
        once; a worker that is gone is known to be only when its hold is over.
        """
        for worker in self._fleet.by_agent.values():
            report = worker.report
            if report is not None and report.is_leaving:
                self._evacuate(worker, report)

    def _evacuate(self, worker: Worker, report: WorkerReport) -> None:
        age_ms = self._clock.now() - worker.reported_at
        is_urgent = report.remaining_ms - age_ms < _EVACUATE_MS
        for task, placed in worker.placed_by_task.items():
            owned = self._shards.by_shard.get(shard_of_task(task))
            is_due = is_urgent or placed.step.is_keeper
            if owned is not None and is_due and not placed.is_stopping:
                mark_stopping(placed, worker, 'the worker leaves')
                self._stop(owned, worker, task, placed.number)

    def relieve(self, takers: Iterable[Worker]) -> None:
        """Move fillers that are held still beside keepers to quiet workers.

        A job ends with its slowest task: one filler held at nothing for
        twenty seconds made a job late whose other tasks took ten.
        """
        now = self._clock.now()
        held = [
            (worker, placed)
            for worker in self._fleet.by_agent.values()
            for placed in worker.best_effort_tasks()
            if _is_movable(placed, now)
        ]
        if not held:
            return
        placement = PlacementRound(takers, self._harms)
        for worker, placed in held:
            boots = self._advice.permitted_for(placed.name)
            if placement.take_quiet_room(worker.service, placed.step, boots):
                owned = self._shards.by_shard[shard_of(placed.name.job_id)]
                mark_stopping(placed, worker, 'held still beside keepers')
                self._stop(owned, worker, str(placed.name), placed.number)


def _is_movable(placed: PlacedAttempt, now: float) -> bool:
    if placed.is_stopping or placed.slow_ms(now) < _SLOW_MS:
        return False
    return placed.step.saves or placed.percent < _LITTLE_PERCENT
