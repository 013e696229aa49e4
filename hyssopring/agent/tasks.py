"""Supervise the tasks that run on this VM's worker under leases.

Rules:
* A start is accepted only with the newest epoch seen for its shard, a valid
  lease, an attempt number higher than any seen for its task, for the worker's
  current boot, and only if the ledger has capacity for it.
* The worker itself ends a task at its deadline, so no task outlives its lease
  while the agent is paused or after it has crashed.
* An attempt counts as ended only when the worker reports its end, or when the
  latest deadline that the worker may have received has passed.
* A finished attempt is reported until a planner acknowledges the report.
"""

from functools import partial
from typing import Callable, Sequence

from hyssopring.agent.admission import Admission
from hyssopring.agent.attempt_tracker import AttemptTracker
from hyssopring.agent.attempts import Attempt
from hyssopring.agent.ledger import Ledger
from hyssopring.agent.preemption import PreemptionQueue, RunningTask
from hyssopring.agent.usage import sum_usage
from hyssopring.agent.worker import Worker, WorkerListing
from hyssopring.clock import Clock
from hyssopring.leases import ShardLeases
from hyssopring.logs import Event, log_event
from hyssopring.protocol.messages import (
    LeaseGrant,
    Message,
    StartTask,
    StopTask,
    TaskReport,
    TaskStatus,
    TaskUsage,
    ThrottleTask,
)
from hyssopring.tasks import StopMode, TaskKind, TaskPhase

__all__ = ('TaskSupervisor',)

# The reason for refusing a start for lack of free capacity, as reported.
_NO_CAPACITY = 'no room'


class TaskSupervisor:
    """Executes planners' commands and reports the state of tasks to them."""

    def __init__(
        self,
        clock: Clock,
        ledger: Ledger,
        leases: ShardLeases,
        worker: Worker,
        report: Callable[[Message], None],
    ) -> None:
        """Connect to the ledger, leases and worker.

        Args:
            clock: The VM's clock, in milliseconds.
            ledger: Reserves capacity for tasks.
            leases: The shard leases that planners granted.
            worker: Runs the tasks.
            report: Sends a message to all connected entries.
        """
        self._ledger = ledger
        self._leases = leases
        self._worker = worker
        self._admission = Admission(clock, leases)
        self._preemptions = PreemptionQueue(clock, ledger)
        self._closed_reason = ''
        self._tracker = AttemptTracker(
            clock,
            ledger,
            leases,
            worker,
            report,
            self._admission.record_attempt,
            self._on_attempt_ended,
        )

    @property
    def worker_boot(self) -> str:
        """The worker's boot id; empty while the worker does not respond."""
        return self._tracker.worker_boot

    @property
    def running(self) -> int:
        """The number of tasks that may be running."""
        return sum(
            not attempt.is_final
            for attempt in self._tracker.attempt_by_task.values()
        )

    def statuses(self) -> tuple[TaskStatus, ...]:
        """Return the status of every known task."""
        return tuple(
            attempt.status()
            for attempt in self._tracker.attempt_by_task.values()
        )

    def usage(self) -> tuple[TaskUsage, ...]:
        """Return the resource usage of tasks, by template and team."""
        return sum_usage(
            (attempt.command, attempt.used, attempt.share)
            for attempt in self._tracker.attempt_by_task.values()
            if not attempt.is_final
        )

    def on_grant(self, grant: LeaseGrant, requested_at: float) -> None:
        """Accept or extend a lease.

        Args:
            grant: The lease, with its times to live.
            requested_at: When the heartbeat that it acknowledges was sent;
                the lease counts from then.
        """
        self._leases.grant(grant, requested_at)

    def full_report(self, shard: int, epoch: int) -> TaskReport | None:
        """Return the complete list of a shard's tasks.

        Returns:
            None while the worker does not respond or the epoch is outdated.
        """
        if not self._tracker.worker_boot or not self._leases.accepts(
            shard, epoch
        ):
            return None
        statuses = tuple(
            status for status in self.statuses() if status.shard == shard
        )
        return TaskReport(
            statuses, True, shard, epoch, self._tracker.worker_boot
        )

    def on_start(self, command: StartTask) -> None:
        """Start a task, or report why it is refused."""
        known = self._tracker.attempt_by_task.get(command.task_id)
        if known is not None and _is_redundant_start(known, command):
            self._tracker.send_status(known)
            return
        reason = self._reserve_or_refuse(command, known)
        self._admission.record_attempt(command)
        if reason == _NO_CAPACITY and self._preempt_for(command):
            return
        if reason:
            log_event(Event.TASK_REFUSED, task=command.task_id, why=reason)
            self._tracker.send_status(
                Attempt(command, TaskPhase.REFUSED, detail=reason)
            )
            return
        attempt = Attempt(command, TaskPhase.STARTING)
        self._tracker.attempt_by_task[command.task_id] = attempt
        self._start(attempt)

    def on_stop(self, command: StopTask) -> None:
        """Stop a task for its current planner."""
        attempt = self._tracker.attempt_by_task.get(command.task_id)
        is_current = self._leases.accepts(command.shard, command.epoch)
        if attempt is None or not is_current:
            return
        if attempt.command.attempt == command.attempt:
            self._tracker.stop(attempt, StopMode(command.mode), 'asked')

    def on_throttle(self, command: ThrottleTask) -> None:
        """Set a task's share of processor time for its current planner."""
        attempt = self._tracker.attempt_by_task.get(command.task_id)
        is_current = self._leases.accepts(command.shard, command.epoch)
        if attempt is None or not is_current:
            return
        if attempt.command.attempt == command.attempt:
            attempt.share = command.share
            self._worker.throttle(command.task_id, command.share)

    def on_report_ack(self, statuses: Sequence[TaskStatus]) -> None:
        """Remove finished attempts that a planner has recorded."""
        for status in statuses:
            attempt = self._tracker.attempt_by_task.get(status.task_id)
            if attempt is None or attempt.command.attempt != status.attempt:
                continue
            if attempt.is_final:
                self._tracker.attempt_by_task.pop(status.task_id)
                self._tracker.cancel_on_worker(attempt.command)

    def on_listing(
        self,
        listing: WorkerListing | None,
        requested_at: float,
    ) -> None:
        """Reconcile attempts with a listing; None if the worker was silent."""
        self._tracker.on_listing(listing, requested_at)

    def set_closed(self, reason: str, *, keepers: bool = True) -> None:
        """Refuse starts and checkpoint running tasks, or accept starts again.

        Args:
            reason: Sent in reports; an empty one accepts starts again.
            keepers: Whether to checkpoint keepers as well as batch tasks.
        """
        self._closed_reason = reason
        if not reason:
            return
        for attempt in list(self._tracker.attempt_by_task.values()):
            if keepers or attempt.kind is TaskKind.BATCH:
                self._tracker.stop(attempt, StopMode.CHECKPOINT, reason)

    def tick(self) -> None:
        """Start queued tasks that fit, and renew or end the others."""
        self._preemptions.start_ready()
        self._tracker.tick()

    def report_progress(self) -> None:
        """Report checkpoints made since the last call; call each 10 s."""
        self._tracker.report_progress()

    def _reserve_or_refuse(
        self, command: StartTask, known: Attempt | None
    ) -> str:
        """Reserve capacity for a start, or return why it is refused."""
        if self._closed_reason or not self._tracker.worker_boot:
            return self._closed_reason or 'the worker has not answered'
        reason = self._admission.refusal_reason(
            command, known, self._tracker.worker_boot
        )
        if reason:
            return reason
        is_reserved = self._ledger.reserve(command.task_id, command.size)
        return '' if is_reserved else _NO_CAPACITY

    def _start(self, attempt: Attempt) -> None:
        """Start an attempt that has a reservation.

        It is refused if its lease or the worker's boot has ended meanwhile.
        """
        if attempt.is_final:
            return
        reason = self._admission.lease_refusal_reason(attempt.command)
        if reason or not self._tracker.is_current_boot(attempt):
            reason = reason or 'the worker was replaced'
            self._tracker.end(attempt, TaskPhase.REFUSED, reason)
            return
        self._tracker.start(attempt)

    def _preempt_for(self, command: StartTask) -> bool:
        """Checkpoint less urgent batch tasks for an urgent one.

        Returns:
            False if that would not free enough capacity.
        """
        victims = self._preemptions.select_victims(
            command,
            [
                RunningTask(attempt.command, attempt.phase)
                for attempt in self._tracker.attempt_by_task.values()
            ],
        )
        if victims is None:
            return False
        attempt = Attempt(command, TaskPhase.STARTING)
        self._tracker.attempt_by_task[command.task_id] = attempt
        self._preemptions.add(
            command,
            partial(self._start, attempt),
            partial(
                self._tracker.end, attempt, TaskPhase.REFUSED, _NO_CAPACITY
            ),
        )
        reason = f'makes room for {command.task_id}'
        for task_id in victims:
            self._tracker.stop(
                self._tracker.attempt_by_task[task_id],
                StopMode.CHECKPOINT,
                reason,
            )
        return True

    def _on_attempt_ended(self, attempt: Attempt) -> None:
        """Start queued tasks that fit into the capacity freed by an attempt."""
        self._preemptions.discard(attempt.command.task_id)
        self._preemptions.start_ready()


def _is_redundant_start(known: Attempt, command: StartTask) -> bool:
    """Whether a start is a copy, or its task has completed already."""
    is_known_attempt = known.command.attempt >= command.attempt
    return is_known_attempt or known.phase is TaskPhase.COMPLETED
