"""Runs tasks on this VM's worker under leases.

Guards:
* A start is taken only with the newest epoch seen for its shard, a lease that
  is good now, an attempt newer than any seen of its task, for the worker's
  present boot, and only if the ledger can hold it.
* The worker itself ends a task at its deadline, so a paused or dead agent
  leaves nothing running.
* An attempt counts as ended only when the worker says so, or when the last
  deadline that the worker may have heard of has passed.
* A finished attempt is reported until a planner says that it is recorded.
"""

from functools import partial
from typing import Callable, Sequence

from hyssopring.agent.admission import Admission
from hyssopring.agent.attempts import Attempt
from hyssopring.agent.ledger import Ledger
from hyssopring.agent.making_room import RoomMaker, RunningTask
from hyssopring.agent.runs import Runs
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

_NO_ROOM = 'no room'


class TaskSupervisor:
    """Takes planners' commands and reports to them."""

    def __init__(
        self,
        clock: Clock,
        ledger: Ledger,
        leases: ShardLeases,
        worker: Worker,
        report: Callable[[Message], None],
    ) -> None:
        """Send reports through ``report``, which reaches all entries."""
        self._ledger = ledger
        self._leases = leases
        self._worker = worker
        self._admission = Admission(clock, leases)
        self._room = RoomMaker(clock, ledger)
        self._closed_why = ''
        self._runs = Runs(
            clock,
            ledger,
            leases,
            worker,
            report,
            self._admission.note,
            self._ended,
        )

    @property
    def worker_boot(self) -> str:
        """The worker's boot; empty while the worker does not answer."""
        return self._runs.worker_boot

    @property
    def running(self) -> int:
        """Tasks that may be running."""
        return sum(
            not attempt.is_final
            for attempt in self._runs.attempt_by_task.values()
        )

    def statuses(self) -> tuple[TaskStatus, ...]:
        """Return the state of every task known here."""
        return tuple(
            attempt.status() for attempt in self._runs.attempt_by_task.values()
        )

    def usage(self) -> tuple[TaskUsage, ...]:
        """Return what tasks take here, by template and team."""
        return sum_usage(
            (attempt.command, attempt.used, attempt.share)
            for attempt in self._runs.attempt_by_task.values()
            if not attempt.is_final
        )

    def on_grant(self, grant: LeaseGrant, asked_at: float) -> None:
        """Take or extend a lease."""
        self._leases.grant(grant, asked_at)

    def full_report(self, shard: int, epoch: int) -> TaskReport | None:
        """Name all tasks of a shard, None while that cannot be known."""
        if not self._runs.worker_boot or not self._leases.accepts(shard, epoch):
            return None
        statuses = tuple(
            status for status in self.statuses() if status.shard == shard
        )
        return TaskReport(statuses, True, shard, epoch, self._runs.worker_boot)

    def on_start(self, command: StartTask) -> None:
        """Start a task, or say why not."""
        known = self._runs.attempt_by_task.get(command.task_id)
        if known is not None and _settles(known, command):
            self._runs.tell(known)
            return
        why = self._refusal(command, known)
        self._admission.note(command)
        if why == _NO_ROOM and self._make_room(command):
            return
        if why:
            log_event(Event.TASK_REFUSED, task=command.task_id, why=why)
            self._runs.tell(Attempt(command, TaskPhase.REFUSED, detail=why))
            return
        attempt = Attempt(command, TaskPhase.STARTING)
        self._runs.attempt_by_task[command.task_id] = attempt
        self._start(attempt)

    def on_stop(self, command: StopTask) -> None:
        """Stop a task for its current planner."""
        attempt = self._runs.attempt_by_task.get(command.task_id)
        is_current = self._leases.accepts(command.shard, command.epoch)
        if attempt is None or not is_current:
            return
        if attempt.command.attempt == command.attempt:
            self._runs.stop(attempt, StopMode(command.mode), 'asked')

    def on_throttle(self, command: ThrottleTask) -> None:
        """Change a task's share of processor time for its planner."""
        attempt = self._runs.attempt_by_task.get(command.task_id)
        is_current = self._leases.accepts(command.shard, command.epoch)
        if attempt is None or not is_current:
            return
        if attempt.command.attempt == command.attempt:
            attempt.share = command.share
            self._worker.throttle(command.task_id, command.share)

    def on_recorded(self, statuses: Sequence[TaskStatus]) -> None:
        """Forget finished attempts that a planner has recorded."""
        for status in statuses:
            attempt = self._runs.attempt_by_task.get(status.task_id)
            if attempt is None or attempt.command.attempt != status.attempt:
                continue
            if attempt.is_final:
                self._runs.attempt_by_task.pop(status.task_id)
                self._runs.drop(attempt.command)

    def on_listing(
        self,
        listing: WorkerListing | None,
        asked_at: float,
    ) -> None:
        """Compare with what the worker says; None if it did not answer."""
        self._runs.on_listing(listing, asked_at)

    def close(self, why: str, *, keepers: bool = True) -> None:
        """Take no start and checkpoint what runs, so that planners move it.

        Args:
            why: Ends up in reports; an empty one opens the VM again.
            keepers: Whether keepers are to move too, not batch tasks alone.
        """
        self._closed_why = why
        if not why:
            return
        for attempt in list(self._runs.attempt_by_task.values()):
            if keepers or attempt.kind is TaskKind.BATCH:
                self._runs.stop(attempt, StopMode.CHECKPOINT, why)

    def tick(self) -> None:
        """Renew deadlines, stop what is about to lapse, report the ended."""
        self._room.settle()
        self._runs.tick()

    def report_progress(self) -> None:
        """Tell planners of checkpoints made since; call each 10 s."""
        self._runs.report_progress()

    def _refusal(self, command: StartTask, known: Attempt | None) -> str:
        if self._closed_why or not self._runs.worker_boot:
            return self._closed_why or 'the worker has not answered'
        why = self._admission.refusal(command, known, self._runs.worker_boot)
        if why:
            return why
        has_room = self._ledger.reserve(command.task_id, command.size)
        return '' if has_room else _NO_ROOM

    def _start(self, attempt: Attempt) -> None:
        """Start what the ledger holds; its lease may have ended meanwhile."""
        if attempt.is_final:
            return
        why = self._admission.lapse(attempt.command)
        if why or not self._runs.is_here(attempt):
            why = why or 'the worker was replaced'
            self._runs.end(attempt, TaskPhase.REFUSED, why)
            return
        self._runs.start(attempt)

    def _make_room(self, command: StartTask) -> bool:
        """Checkpoint less urgent batch tasks for an urgent one."""
        victims = self._room.victims(
            command,
            [
                RunningTask(attempt.command, attempt.phase)
                for attempt in self._runs.attempt_by_task.values()
            ],
        )
        if victims is None:
            return False
        attempt = Attempt(command, TaskPhase.STARTING)
        self._runs.attempt_by_task[command.task_id] = attempt
        self._room.add(
            command,
            partial(self._start, attempt),
            partial(self._runs.end, attempt, TaskPhase.REFUSED, _NO_ROOM),
        )
        why = f'makes room for {command.task_id}'
        for task_id in victims:
            self._runs.stop(
                self._runs.attempt_by_task[task_id],
                StopMode.CHECKPOINT,
                why,
            )
        return True

    def _ended(self, attempt: Attempt) -> None:
        """Its room is free: what waits for room may start."""
        self._room.forget(attempt.command.task_id)
        self._room.settle()


def _settles(known: Attempt, command: StartTask) -> bool:
    """Whether what is known answers a start: a copy, or it is done."""
    is_old = known.command.attempt >= command.attempt
    return is_old or known.phase is TaskPhase.COMPLETED
