"""Log lines about queues whose tasks find no worker."""

from collections import Counter, defaultdict
from typing import Final, Iterable, Sequence

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.pending_step import PendingStep
from hyssopring.jobs.placement_obstacles import PlacementObstacle
from hyssopring.jobs.placement_round import PlacementRound
from hyssopring.logs import Event, log_event

__all__ = ('QueueWaitLog',)

_LOG_INTERVAL_MS: Final = 5 * MILLIS_PER_SECOND
_MAX_LINES: Final = 20


class QueueWaitLog:
    """Log for each queue what keeps its most urgent task off the workers."""

    def __init__(self, clock: Clock) -> None:
        """Log nothing yet."""
        self._clock = clock
        self._next_log_ms = clock.now()

    def record_round(
        self,
        placement: PlacementRound,
        pending_steps: Iterable[PendingStep],
        live_jobs: Iterable[JobRecord],
    ) -> None:
        """Log the queues that wait after a round, once in a while.

        Args:
            pending_steps: The steps of the round, the most urgent one first.
        """
        now_ms = self._clock.now()
        if not placement.has_rejected or now_ms < self._next_log_ms:
            return
        self._next_log_ms = now_ms + _LOG_INTERVAL_MS
        steps_by_queue = _waiting_steps(pending_steps)
        running_by_queue = _running_tasks(live_jobs)
        for queue, steps in list(steps_by_queue.items())[:_MAX_LINES]:
            log_event(
                Event.QUEUE_WAITS,
                queue=queue,
                jobs=len({step.record.job.job_id for step in steps}),
                tasks=sum(len(step.indices) for step in steps),
                running=running_by_queue[queue],
                throttled=placement.count_throttled(),
                idle_cores=placement.idle_cores(),
                obstacles=_obstacle_text(placement, steps),
            )


def _waiting_steps(
    pending_steps: Iterable[PendingStep],
) -> dict[str, list[PendingStep]]:
    """Return the steps that wait for a worker, by queue."""
    steps_by_queue: dict[str, list[PendingStep]] = defaultdict(list)
    for pending in pending_steps:
        has_tickets = pending.ticket_by_boot is None or pending.ticket_by_boot
        is_single = not pending.run.step.is_gang
        if pending.indices and has_tickets and is_single:
            steps_by_queue[pending.record.job.queue.name].append(pending)
    return steps_by_queue


def _running_tasks(live_jobs: Iterable[JobRecord]) -> Counter[str]:
    running_by_queue: Counter[str] = Counter()
    for record in live_jobs:
        running_by_queue[record.job.queue.name] += sum(
            len(run.running) for run in record.step_runs.values()
        )
    return running_by_queue


def _obstacle_text(
    placement: PlacementRound, steps: Sequence[PendingStep]
) -> str:
    """Return the obstacles of the most urgent step as 'name=workers'."""
    first = steps[0]
    count_by_obstacle: Counter[PlacementObstacle] = placement.obstacles(
        first.record.job.queue.service,
        first.run.step,
        next(first.task_names()),
        first.ticket_by_boot,
    )
    return ' '.join(
        f'{obstacle.value}={count}'
        for obstacle, count in count_by_obstacle.most_common()
    )
