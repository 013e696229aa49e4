"""Attempts on the worker: how they go on, and how it is known that they ended.

An attempt counts as ended only when the worker says so, or when the last
deadline that the worker may have heard of has passed.
"""

from functools import partial
from typing import Callable

from hyssopring.agent.attempts import Attempt
from hyssopring.agent.ledger import Ledger
from hyssopring.agent.worker import (
    StopAnswer,
    Worker,
    WorkerListing,
    WorkerTask,
)
from hyssopring.clock import Clock
from hyssopring.leases import ShardLeases
from hyssopring.logs import Event, log_event
from hyssopring.protocol.messages import Message, StartTask, TaskReport
from hyssopring.tasks import StopMode, TaskPhase

__all__ = ('CHECKPOINT_LEAD_MS', 'Runs')

# A task is told to checkpoint this long before its deadline.
CHECKPOINT_LEAD_MS = 1500.0
# Listings in a row without an answer after which the worker is silent.
_MISSED_LISTINGS = 3
_TELL_TICKS = 32


class Runs:
    """Follows attempts through the worker's answers, listings and time."""

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
        """Tell ``on_adopted`` of what an earlier run of the agent started."""
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
        """The worker's boot; empty while the worker does not answer.

        Until a restarted agent has heard what the worker runs, and while the
        worker is silent, it takes no start and planners grant it no lease.
        """
        is_silent = self._missed_listings >= _MISSED_LISTINGS
        return '' if is_silent else self._boot

    def start(self, attempt: Attempt) -> None:
        """Give an admitted attempt to the worker."""
        command = attempt.command
        attempt.until = self._leases.until(command.shard, attempt.kind)
        log_event(
            Event.TASK_STARTED,
            task=command.task_id,
            attempt=command.attempt,
            epoch=command.epoch,
        )
        self._worker.start(
            command,
            attempt.until,
            partial(self._started, attempt),
        )

    def stop(self, attempt: Attempt, mode: StopMode, why: str) -> None:
        """Stop a running attempt; one still starting stops after that."""
        if attempt.is_final:
            return
        attempt.stop_mode = mode
        attempt.stop_why = why
        if not attempt.is_sent:
            self.end(attempt, TaskPhase.STOPPED, why)
        # Another boot of the worker knows nothing of it: only its deadline
        # ends it then.
        if attempt.phase is not TaskPhase.RUNNING or not self.is_here(attempt):
            return
        attempt.phase = TaskPhase.STOPPING
        self._worker.stop(
            attempt.command,
            mode,
            lambda answer: self._stopped(attempt, answer),
        )

    def end(self, attempt: Attempt, phase: TaskPhase, why: str) -> None:
        """Take it that an attempt has ended for certain."""
        attempt.phase = phase
        attempt.detail = why
        self._ledger.release(attempt.command.task_id)
        log_event(
            Event.TASK_FINISHED
            if phase is TaskPhase.COMPLETED
            else Event.TASK_STOPPED,
            task=attempt.command.task_id,
            attempt=attempt.command.attempt,
            phase=phase.value,
            why=why,
        )
        self.tell(attempt)
        self._on_end(attempt)

    def drop(self, command: StartTask) -> None:
        """Let the worker forget an attempt that has ended."""
        self._worker.stop(
            command,
            StopMode.CANCEL,
            lambda _answer: None,
        )

    def tell(self, attempt: Attempt) -> None:
        """Tell the planners where an attempt stands."""
        self._report(TaskReport((attempt.status(),)))

    def is_here(self, attempt: Attempt) -> bool:
        """Whether it was started for the worker's present boot."""
        return attempt.command.worker_boot == self._boot

    def on_listing(
        self,
        listing: WorkerListing | None,
        asked_at: float,
    ) -> None:
        """Compare with what the worker says; None if it did not answer."""
        if listing is None:
            self._missed_listings += 1
            if self._missed_listings == _MISSED_LISTINGS:
                log_event(Event.WORKER_SILENT, boot=self._boot)
            return
        self._missed_listings = 0
        if asked_at < self._listed_at:
            return
        self._listed_at = asked_at
        is_first = not self._boot
        if listing.boot != self._boot:
            log_event(Event.WORKER_REPLACED, was=self._boot, boot=listing.boot)
            self._boot = listing.boot
        listed_by_id = {task.task_id: task for task in listing.tasks}
        for task in listing.tasks:
            self._meet(task, is_first)
        for task_id, attempt in list(self.attempt_by_task.items()):
            if self.is_here(attempt) and not attempt.is_final:
                self._compare(attempt, listed_by_id.get(task_id), asked_at)
        self._ledger.observe(
            {
                task_id: attempt.used
                for task_id, attempt in self.attempt_by_task.items()
            }
        )

    def tick(self) -> None:
        """Renew deadlines, stop what is about to lapse, report the ended."""
        until_by_task: dict[str, float] = {}
        for attempt in list(self.attempt_by_task.values()):
            if attempt.is_final:
                self._tell_again(attempt)
            elif self._has_lapsed(attempt):
                self.end(attempt, TaskPhase.STOPPED, 'its deadline passed')
            elif self._is_kept(attempt):
                self._keep(attempt, until_by_task)
        if until_by_task:
            self._worker.renew(until_by_task)

    def report_progress(self) -> None:
        """Tell planners of checkpoints made since; call each 10 s."""
        for attempt in self.attempt_by_task.values():
            if attempt.is_final or not attempt.checkpoint:
                continue
            if attempt.checkpoint != attempt.reported_checkpoint:
                attempt.reported_checkpoint = attempt.checkpoint
                self.tell(attempt)

    def _tell_again(self, attempt: Attempt) -> None:
        """Repeat an end that no planner has recorded, ever less often.

        In a long outage nobody records; a new planner or connection gets a
        complete report anyway.
        """
        attempt.ticks_told += 1
        is_power_of_two = attempt.ticks_told & (attempt.ticks_told - 1) == 0
        if is_power_of_two or attempt.ticks_told % _TELL_TICKS == 0:
            self.tell(attempt)

    def _keep(self, attempt: Attempt, until_by_task: dict[str, float]) -> None:
        command = attempt.command
        until = self._leases.until(command.shard, attempt.kind)
        attempt.until = max(attempt.until, until)
        if attempt.until - self._clock.now() <= CHECKPOINT_LEAD_MS:
            log_event(Event.TASK_LAPSED, task=command.task_id)
            self.stop(attempt, StopMode.CHECKPOINT, 'lease lapsed')
        elif until == attempt.until:
            until_by_task[command.task_id] = until
        if attempt.stop_mode is not None:
            self.stop(attempt, attempt.stop_mode, attempt.stop_why)

    def _has_lapsed(self, attempt: Attempt) -> bool:
        """Whether an attempt ended although the worker cannot say so.

        Its worker is gone or silent. An answering worker is asked instead:
        the task may have completed before its deadline.
        """
        is_mute = not self.worker_boot or not self.is_here(attempt)
        has_passed = self._clock.now() > attempt.until
        return attempt.is_sent and is_mute and has_passed

    def _is_kept(self, attempt: Attempt) -> bool:
        """Whether its deadline is to be extended.

        A start in doubt keeps the deadline that it was sent with, so that
        there is an end to the doubt.
        """
        is_sure = attempt.is_sent and not attempt.is_in_doubt
        return is_sure and self.is_here(attempt)

    def _meet(self, listed: WorkerTask, is_first: bool) -> None:
        """Adopt a task after a restart; later, end what is not ours."""
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
        self.drop(command)

    def _started(self, attempt: Attempt, is_started: bool | None) -> None:
        if attempt.is_final:
            return
        attempt.since = self._clock.now()
        if is_started is None:
            # It may run, or run later from a buffer until its deadline: a
            # stop could overtake it. The listings and the deadline tell.
            attempt.is_in_doubt = True
            return
        if not is_started:
            self.end(attempt, TaskPhase.REFUSED, 'refused by the worker')
            return
        self._runs(attempt)

    def _runs(self, attempt: Attempt) -> None:
        attempt.phase = TaskPhase.RUNNING
        attempt.is_in_doubt = False
        self.tell(attempt)
        if attempt.stop_mode is not None:
            self.stop(attempt, attempt.stop_mode, attempt.stop_why)

    def _compare(
        self,
        attempt: Attempt,
        listed: WorkerTask | None,
        asked_at: float,
    ) -> None:
        is_unanswered = attempt.phase is TaskPhase.STARTING
        if is_unanswered and not attempt.is_in_doubt:
            return
        if listed is not None and listed.attempt == attempt.command.attempt:
            self._observe(attempt, listed)
            return
        # A listing that was asked for before the start was answered, or
        # while a start in doubt may still arrive, proves no absence.
        known_at = attempt.until if attempt.is_in_doubt else attempt.since
        if asked_at > known_at:
            self.end(attempt, TaskPhase.STOPPED, 'gone from the worker')

    def _observe(self, attempt: Attempt, listed: WorkerTask) -> None:
        attempt.observe(listed)
        if listed.share != attempt.share:
            self._worker.throttle(listed.task_id, attempt.share)
        if listed.phase != TaskPhase.RUNNING.value:
            self.end(attempt, TaskPhase(listed.phase), 'ended')
        elif attempt.is_in_doubt:
            self._runs(attempt)

    def _stopped(self, attempt: Attempt, answer: StopAnswer | None) -> None:
        if attempt.is_final:
            return
        if answer is None:
            # In doubt: the next tick asks again.
            attempt.phase = TaskPhase.RUNNING
            return
        attempt.checkpoint = answer.checkpoint or attempt.checkpoint
        self.end(attempt, answer.phase, attempt.stop_why)
