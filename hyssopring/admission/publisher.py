"""Publishes the owner's outlook to all entries."""

from typing import Callable, Final

from hyssopring.admission.backlog import Backlog, waits_for_capacity
from hyssopring.admission.ended_work import EndedWork
from hyssopring.admission.messages import QueueOutlookNotice
from hyssopring.admission.demand import ExpectedMs, core_ms, estimate_of
from hyssopring.clock import Clock
from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.owner import JobOwner

__all__ = ('OutlookPublisher',)

# Two notices may be lost before an outlook becomes stale after 2 s.
_INTERVAL_MS: Final = 250.0


class OutlookPublisher:
    """Computes the outlook of an owner while tasks wait for capacity.

    Attributes:
        expected_ms: Returns the expected run time of a task.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        owner: JobOwner,
        may_act: Callable[[], bool],
        send: Callable[[QueueOutlookNotice], None],
    ) -> None:
        """Observe the owner's tasks.

        Args:
            may_act: Returns whether this entry may act as an owner.
            send: Called with each notice.
        """
        self._clock = clock
        self._fleet = fleet
        self._owner = owner
        self._may_act = may_act
        self._send = send
        self.expected_ms: ExpectedMs = estimate_of
        self._ended = EndedWork()
        self._epoch = 0
        self._sequence = 0
        self._published_at = clock.now()
        self._was_waiting = False
        owner.done_observers.append(self._on_tasks_done)

    def tick(self) -> None:
        """Publish if that is due; call a few times a second."""
        epoch = self._known_epoch()
        if not epoch or not self._may_act():
            return
        is_waiting = any(
            waits_for_capacity(record, run)
            for record, run in self._owner.unplaced
        )
        now_ms = self._clock.now()
        is_due = is_waiting and now_ms - self._published_at >= _INTERVAL_MS
        if is_due or is_waiting != self._was_waiting or epoch != self._epoch:
            self._publish(epoch, now_ms)
            self._was_waiting = is_waiting

    def _known_epoch(self) -> int:
        """Return the epoch of the owned shards, 0 if too little is known.

        Before all agents have reported, a new owner knows only a part of what
        runs, and would predict ends far too late.
        """
        shards = self._owner.shards.by_shard.values()
        if any(owned.unreported or not owned.is_loaded for owned in shards):
            return 0
        return max((owned.epoch for owned in shards), default=0)

    def _publish(self, epoch: int, now_ms: float) -> None:
        self._sequence = self._sequence + 1 if epoch == self._epoch else 1
        self._epoch = epoch
        self._published_at = now_ms
        self._ended.prune(now_ms)
        backlog = Backlog(
            self._owner.shards.live_jobs(),
            self._owner.unplaced,
            self.expected_ms,
        )
        workers = self._fleet.schedulable_workers()
        self._send(
            QueueOutlookNotice(
                epoch,
                self._sequence,
                backlog.services(self._ended, workers, now_ms),
                backlog.queues(self._ended, now_ms),
            )
        )

    def _on_tasks_done(
        self,
        record: JobRecord,
        run: StepRun,
        count: int,
        run_ms: float | None,
    ) -> None:
        expected_ms = self.expected_ms(record.job, run.step_index)
        run_ratio = None
        if run_ms is not None and expected_ms > 0:
            run_ratio = run_ms / expected_ms
        self._ended.record(
            record.job.queue.name,
            count * core_ms(expected_ms, run.step.size.cpu_millis),
            self._clock.now(),
            run_ratio,
        )
