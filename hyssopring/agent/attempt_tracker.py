"""Tracking of attempts on the worker, from their start to their end.

An attempt counts as ended only when the worker reports its end, or when the
latest deadline that the worker may have received has passed.
"""

from functools import partial
from typing import Callable

from hyssopring.agent.attempts import Attempt
from hyssopring.agent.ledger import Ledger
from hyssopring.agent.worker import (
    StopResponse,
    Worker,
    WorkerListing,
    WorkerTask,
)
from hyssopring.clock import Clock
from hyssopring.leases import ShardLeases
from hyssopring.logs import Event, log_event
from hyssopring.protocol.messages import Message, StartTask, TaskReport
from hyssopring.tasks import StopMode, TaskPhase

__all__ = ('CHECKPOINT_LEAD_MS', 'AttemptTracker')

# A task is asked to checkpoint this long before its deadline.
CHECKPOINT_LEAD_MS = 1500.0
# Consecutive listings without a response after which the worker is silent.
_MISSED_LISTINGS = 3
# The longest interval between repeats of an unacknowledged final status.
_REPEAT_INTERVAL_TICKS = 32


class AttemptTracker:
    """Tracks attempts by the worker's responses, its listings and deadlines.

    Attributes:
        attempt_by_task: The latest attempt of each known task, also ended
            ones that no planner has acknowledged yet.
    """

    def __init__(
        self,
        clock: Clock,
        ledger: Ledger,
        leases: ShardLeases,
        worker: Worker,
        report: Callable[[Message], None],
        on_adopted: Callable[[StartTask], None],
        on_end: Callable[[Attempt], None],
    ) -> None:
        """Track no attempt so far.

        Args:
            clock: The VM's clock, in milliseconds.
            ledger: Holds the reservations of tasks.
            leases: The shard leases that planners granted.
            worker: Runs the tasks.
            report: Sends a message to all connected entries.
            on_adopted: Called with the start of each listed task that an
                earlier run of the agent started.
            on_end: Called with each attempt that has ended.
        """
        self._clock = clock
        self._ledger = ledger
        self._leases = leases
        self._worker = worker
        self._report = report
        self._on_adopted = on_adopted
        self._on_end = on_end
        self._boot = ''
        self._listed_at: float = 0
        self._missed_listings = 0
        self.attempt_by_task: dict[str, Attempt] = {}

    @property
    def worker_boot(self) -> str:
        """The worker's boot id; empty while the worker does not respond.

        Without a boot id, thus until a restarted agent has its first listing
        and while the worker is silent, the agent accepts no start and
        planners grant it no lease.
        """
        is_silent = self._missed_listings >= _MISSED_LISTINGS
        return '' if is_silent else self._boot

    def start(self, attempt: Attempt) -> None:
        """Start an admitted attempt on the worker."""
        command = attempt.command
        attempt.deadline = self._leases.expiry_of(command.shard, attempt.kind)
        log_event(
            Event.TASK_STARTED,
            task=command.task_id,
            attempt=command.attempt,
            epoch=command.epoch,
        )
        self._worker.start(
            command,
            attempt.deadline,
            partial(self._on_start_result, attempt),
        )

    def stop(self, attempt: Attempt, mode: StopMode, reason: str) -> None:
        """Stop a running attempt; one that is starting stops once it runs."""
        if attempt.is_final:
            return
        attempt.stop_mode = mode
        attempt.stop_reason = reason
        if not attempt.is_sent:
            self.end(attempt, TaskPhase.STOPPED, reason)
        # A worker that has restarted does not know the attempt: only the
        # deadline ends it then.
        if attempt.phase is not TaskPhase.RUNNING or not self.is_current_boot(
            attempt
        ):
            return
        attempt.phase = TaskPhase.STOPPING
        self._worker.stop(
            attempt.command,
            mode,
            lambda response: self._on_stop_result(attempt, response),
        )

    def end(self, attempt: Attempt, phase: TaskPhase, reason: str) -> None:
        """Record that an attempt has certainly ended, and report it."""
        attempt.phase = phase
        attempt.detail = reason
        self._ledger.release(attempt.command.task_id)
        log_event(
            Event.TASK_FINISHED
            if phase is TaskPhase.COMPLETED
            else Event.TASK_STOPPED,
            task=attempt.command.task_id,
            attempt=attempt.command.attempt,
            phase=phase.value,
            why=reason,
        )
        self.send_status(attempt)
        self._on_end(attempt)

    def cancel_on_worker(self, command: StartTask) -> None:
        """Cancel an attempt on the worker, which then no longer lists it."""
        self._worker.stop(
            command,
            StopMode.CANCEL,
            lambda _response: None,
        )

    def send_status(self, attempt: Attempt) -> None:
        """Report the status of one attempt to all planners."""
        self._report(TaskReport((attempt.status(),)))

    def is_current_boot(self, attempt: Attempt) -> bool:
        """Whether an attempt was started for the worker's current boot."""
        return attempt.command.worker_boot == self._boot

    def on_listing(
        self,
        listing: WorkerListing | None,
        requested_at: float,
    ) -> None:
        """Reconcile attempts with the worker's listing.

        Args:
            listing: None if the worker did not respond.
            requested_at: When the listing was requested.
        """
        if listing is None:
            self._missed_listings += 1
            if self._missed_listings == _MISSED_LISTINGS:
                log_event(Event.WORKER_SILENT, boot=self._boot)
            return
        self._missed_listings = 0
        if requested_at < self._listed_at:
            return
        self._listed_at = requested_at
        is_first = not self._boot
        if listing.boot != self._boot:
            # Logged for the first listing as well, with an empty former boot.
            log_event(Event.WORKER_REPLACED, was=self._boot, boot=listing.boot)
            self._boot = listing.boot
        listed_by_id = {task.task_id: task for task in listing.tasks}
        for task in listing.tasks:
            self._reconcile_listed(task, is_first)
        for task_id, attempt in list(self.attempt_by_task.items()):
            if self.is_current_boot(attempt) and not attempt.is_final:
                self._reconcile_attempt(
                    attempt, listed_by_id.get(task_id), requested_at
                )
        self._ledger.observe(
            {
                task_id: attempt.used
                for task_id, attempt in self.attempt_by_task.items()
            }
        )

    def tick(self) -> None:
        """Renew deadlines, stop expiring attempts, repeat final reports."""
        deadline_by_task: dict[str, float] = {}
        for attempt in list(self.attempt_by_task.values()):
            if attempt.is_final:
                self._repeat_final_status(attempt)
            elif self._has_expired(attempt):
                self.end(attempt, TaskPhase.STOPPED, 'its deadline passed')
            elif self._is_renewable(attempt):
                self._extend_deadline(attempt, deadline_by_task)
        if deadline_by_task:
            self._worker.renew(deadline_by_task)

    def report_progress(self) -> None:
        """Report checkpoints made since the last call; call each 10 s."""
        for attempt in self.attempt_by_task.values():
            if attempt.is_final or not attempt.checkpoint:
                continue
            if attempt.checkpoint != attempt.reported_checkpoint:
                attempt.reported_checkpoint = attempt.checkpoint
                self.send_status(attempt)

    def _repeat_final_status(self, attempt: Attempt) -> None:
        """Repeat an unacknowledged final status with a bounded backoff.

        In a long outage no planner acknowledges it; a new planner or
        connection gets a complete report anyway.
        """
        attempt.ticks_since_end += 1
        is_power_of_two = (
            attempt.ticks_since_end & (attempt.ticks_since_end - 1) == 0
        )
        if (
            is_power_of_two
            or attempt.ticks_since_end % _REPEAT_INTERVAL_TICKS == 0
        ):
            self.send_status(attempt)

    def _extend_deadline(
        self, attempt: Attempt, deadline_by_task: dict[str, float]
    ) -> None:
        command = attempt.command
        lease_expires_at = self._leases.expiry_of(command.shard, attempt.kind)
        attempt.deadline = max(attempt.deadline, lease_expires_at)
        # Lapsed here means that the lease expires soon: the task makes its
        # checkpoint in the time that is left.
        if attempt.deadline - self._clock.now() <= CHECKPOINT_LEAD_MS:
            log_event(Event.TASK_LAPSED, task=command.task_id)
            self.stop(attempt, StopMode.CHECKPOINT, 'lease lapsed')
        elif lease_expires_at == attempt.deadline:
            deadline_by_task[command.task_id] = lease_expires_at
        if attempt.stop_mode is not None:
            self.stop(attempt, attempt.stop_mode, attempt.stop_reason)

    def _has_expired(self, attempt: Attempt) -> bool:
        """Whether an attempt has ended by its deadline alone.

        This holds only if its worker was replaced or is silent. Otherwise the
        listing decides: the task may have completed before its deadline.
        """
        is_unreachable = not self.worker_boot or not self.is_current_boot(
            attempt
        )
        is_past_deadline = self._clock.now() > attempt.deadline
        return attempt.is_sent and is_unreachable and is_past_deadline

    def _is_renewable(self, attempt: Attempt) -> bool:
        """Whether an attempt's deadline may be extended.

        An unconfirmed start keeps the deadline that it was sent with, so that
        its outcome is known by then at the latest.
        """
        is_confirmed = attempt.is_sent and not attempt.is_unconfirmed
        return is_confirmed and self.is_current_boot(attempt)

    def _reconcile_listed(self, listed: WorkerTask, is_first: bool) -> None:
        """Adopt a listed task after a restart of the agent.

        Later listings end tasks that the agent does not know.
        """
        known = self.attempt_by_task.get(listed.task_id)
        if known is not None and known.command.attempt >= listed.attempt:
            return
        command = listed.command
        if is_first:
            attempt = Attempt.from_listed(listed)
            self.attempt_by_task[listed.task_id] = attempt
            self._ledger.adopt(listed.task_id, command.size)
            self._on_adopted(command)
            return
        log_event(Event.TASK_UNKNOWN, task=listed.task_id)
        self.cancel_on_worker(command)

    def _on_start_result(
        self, attempt: Attempt, is_started: bool | None
    ) -> None:
        if attempt.is_final:
            return
        attempt.start_returned_at = self._clock.now()
        if is_started is None:
            # The start may still be buffered and arrive until the deadline,
            # even after a stop; a listing or the deadline decides.
            attempt.is_unconfirmed = True
            return
        if not is_started:
            self.end(attempt, TaskPhase.REFUSED, 'refused by the worker')
            return
        self._mark_running(attempt)

    def _mark_running(self, attempt: Attempt) -> None:
        attempt.phase = TaskPhase.RUNNING
        attempt.is_unconfirmed = False
        self.send_status(attempt)
        if attempt.stop_mode is not None:
            self.stop(attempt, attempt.stop_mode, attempt.stop_reason)

    def _reconcile_attempt(
        self,
        attempt: Attempt,
        listed: WorkerTask | None,
        requested_at: float,
    ) -> None:
        is_starting = attempt.phase is TaskPhase.STARTING
        if is_starting and not attempt.is_unconfirmed:
            return
        if listed is not None and listed.attempt == attempt.command.attempt:
            self._update_from_listing(attempt, listed)
            return
        # The attempt may be missing from a listing that was requested before
        # the start returned, or while an unconfirmed start may still arrive.
        absent_after = (
            attempt.deadline
            if attempt.is_unconfirmed
            else attempt.start_returned_at
        )
        if requested_at > absent_after:
            self.end(attempt, TaskPhase.STOPPED, 'gone from the worker')

    def _update_from_listing(
        self, attempt: Attempt, listed: WorkerTask
    ) -> None:
        attempt.observe(listed)
        if listed.share != attempt.share:
            self._worker.throttle(listed.task_id, attempt.share)
        if listed.phase != TaskPhase.RUNNING.value:
            self.end(attempt, TaskPhase(listed.phase), 'ended')
        elif attempt.is_unconfirmed:
            self._mark_running(attempt)

    def _on_stop_result(
        self, attempt: Attempt, response: StopResponse | None
    ) -> None:
        if attempt.is_final:
            return
        if response is None:
            # The outcome is unknown: the next tick repeats the stop.
            attempt.phase = TaskPhase.RUNNING
            return
        attempt.checkpoint = response.checkpoint or attempt.checkpoint
        self.end(attempt, response.phase, attempt.stop_reason)
