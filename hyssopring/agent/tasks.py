"""Runs tasks on this VM's worker under leases.

Guards:
* A start is taken only with the newest epoch seen for its shard and a lease
  that is good now, and only if the ledger can hold it.
* The worker itself ends a task when its lease is not renewed, so a paused or
  dead agent leaves nothing running.
* A finished attempt is reported until a planner says that it is recorded.
"""

from dataclasses import dataclass
from typing import Callable, Protocol, Sequence

from hyssopring.agent.ledger import Ledger
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
)
from hyssopring.tasks import FINAL_PHASES, StopMode, TaskKind, TaskPhase

__all__ = ('TaskSupervisor', 'Worker', 'WorkerTask')


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """What the worker says of one task.

    Attributes:
        command: The start that it was given, kept by the worker.
    """

    task_id: str
    attempt: int
    phase: str
    checkpoint: str
    command: StartTask | None = None


class Worker(Protocol):
    """The platform's worker on this VM."""

    def start(
        self,
        command: StartTask,
        lease_ms: float,
        done: Callable[[bool], None],
    ) -> None:
        """Start a task; it ends by itself when its lease is not renewed."""

    def stop(
        self,
        task_id: str,
        mode: StopMode,
        done: Callable[[str | None], None],
    ) -> None:
        """Stop a task; ``done`` gets its checkpoint, None if in doubt."""

    def renew(self, lease_ms_by_task: dict[str, float]) -> None:
        """Extend the leases of running tasks."""


@dataclass(slots=True)
class _Attempt:
    command: StartTask
    phase: TaskPhase
    checkpoint: str = ''
    detail: str = ''

    @property
    def kind(self) -> TaskKind:
        return TaskKind(self.command.kind)

    def status(self) -> TaskStatus:
        command = self.command
        return TaskStatus(
            command.task_id,
            command.shard,
            command.epoch,
            command.attempt,
            self.phase.value,
            self.checkpoint,
            self.detail,
        )


class TaskSupervisor:
    """Starts, leases, stops and reports tasks."""

    def __init__(
        self,
        clock: Clock,
        ledger: Ledger,
        leases: ShardLeases,
        worker: Worker,
        report: Callable[[Message], None],
    ) -> None:
        """Send reports through ``report``, which reaches all entries."""
        self._clock = clock
        self._ledger = ledger
        self._leases = leases
        self._worker = worker
        self._report = report
        self._attempt_by_task: dict[str, _Attempt] = {}
        self._is_stopping = False
        self._has_listed = False

    @property
    def has_listed(self) -> bool:
        """Whether the worker has said what it runs.

        Until then an agent that was restarted does not know what an earlier
        run of it left on the worker, and takes no start.
        """
        return self._has_listed

    @property
    def running(self) -> int:
        """Tasks that may be running."""
        return sum(
            attempt.phase not in FINAL_PHASES
            for attempt in self._attempt_by_task.values()
        )

    def statuses(self) -> tuple[TaskStatus, ...]:
        """Return the state of every task known here."""
        return tuple(
            attempt.status() for attempt in self._attempt_by_task.values()
        )

    def on_grant(self, grant: LeaseGrant, asked_at: float) -> None:
        """Take or extend a lease."""
        self._leases.grant(grant, asked_at)

    def full_report(self, shard: int, epoch: int) -> TaskReport | None:
        """Name all tasks of a shard, None while that cannot be known."""
        if not self._has_listed or not self._leases.accepts(shard, epoch):
            return None
        statuses = tuple(
            status for status in self.statuses() if status.shard == shard
        )
        return TaskReport(statuses, complete=True, shard=shard, epoch=epoch)

    def on_start(self, command: StartTask) -> None:
        """Start a task, or say why not."""
        known = self._attempt_by_task.get(command.task_id)
        if known is not None and known.command.attempt >= command.attempt:
            self._report(TaskReport((known.status(),)))
            return
        why = self._refusal(command, known)
        if why:
            log_event(Event.TASK_REFUSED, task=command.task_id, why=why)
            refused = _Attempt(command, TaskPhase.REFUSED, detail=why)
            self._report(TaskReport((refused.status(),)))
            return
        attempt = _Attempt(command, TaskPhase.STARTING)
        self._attempt_by_task[command.task_id] = attempt
        log_event(
            Event.TASK_STARTED,
            task=command.task_id,
            attempt=command.attempt,
            epoch=command.epoch,
        )
        self._worker.start(
            command,
            self._leases.remaining(command.shard, attempt.kind),
            lambda is_started: self._started(attempt, is_started),
        )

    def on_stop(self, command: StopTask) -> None:
        """Stop a task for its current planner."""
        attempt = self._attempt_by_task.get(command.task_id)
        is_current = self._leases.accepts(command.shard, command.epoch)
        if attempt is None or not is_current:
            return
        if attempt.command.attempt == command.attempt:
            self._stop(attempt, StopMode(command.mode), 'asked')

    def on_recorded(self, statuses: Sequence[TaskStatus]) -> None:
        """Forget finished attempts that a planner has recorded."""
        for status in statuses:
            attempt = self._attempt_by_task.get(status.task_id)
            if attempt is None or attempt.command.attempt != status.attempt:
                continue
            if attempt.phase in FINAL_PHASES:
                self._attempt_by_task.pop(status.task_id)

    def on_listing(self, listing: Sequence[WorkerTask]) -> None:
        """Compare with what the worker says is there."""
        listed_by_id = {task.task_id: task for task in listing}
        if not self._has_listed:
            self._adopt(listing)
            self._has_listed = True
        for task_id, attempt in list(self._attempt_by_task.items()):
            listed = listed_by_id.get(task_id)
            if attempt.phase is TaskPhase.RUNNING:
                self._compare(attempt, listed)

    def stop(self) -> None:
        """Checkpoint everything at a planned stop."""
        self._is_stopping = True
        for attempt in list(self._attempt_by_task.values()):
            self._stop(attempt, StopMode.CHECKPOINT, 'agent is stopping')

    def tick(self) -> None:
        """Renew the worker's leases, stop what has lapsed, report the ended."""
        lease_ms_by_task: dict[str, float] = {}
        for attempt in list(self._attempt_by_task.values()):
            remaining = self._leases.remaining(
                attempt.command.shard,
                attempt.kind,
            )
            if attempt.phase in FINAL_PHASES:
                self._report(TaskReport((attempt.status(),)))
            elif remaining > 0:
                lease_ms_by_task[attempt.command.task_id] = remaining
            else:
                log_event(Event.TASK_LAPSED, task=attempt.command.task_id)
                self._stop(attempt, StopMode.CHECKPOINT, 'lease lapsed')
        if lease_ms_by_task:
            self._worker.renew(lease_ms_by_task)

    def _adopt(self, listing: Sequence[WorkerTask]) -> None:
        for listed in listing:
            if listed.command is None:
                continue
            attempt = _Attempt(
                listed.command,
                TaskPhase.RUNNING,
                listed.checkpoint,
            )
            self._attempt_by_task[listed.task_id] = attempt
            self._ledger.reserve(listed.task_id, listed.command.size)

    def _refusal(self, command: StartTask, known: _Attempt | None) -> str:
        if self._is_stopping or not self._has_listed:
            return 'agent is starting or stopping'
        if not self._leases.accepts(command.shard, command.epoch):
            return f'epoch {command.epoch} is not current'
        kind = TaskKind(command.kind)
        if self._leases.remaining(command.shard, kind) <= 0:
            return 'no lease'
        if known is not None and known.phase not in FINAL_PHASES:
            return 'an earlier attempt is still here'
        if not self._ledger.reserve(command.task_id, command.size):
            return 'no room'
        return ''

    def _started(self, attempt: _Attempt, is_started: bool) -> None:
        if attempt.phase is not TaskPhase.STARTING:
            return
        if is_started:
            attempt.phase = TaskPhase.RUNNING
            self._report(TaskReport((attempt.status(),)))
            return
        # The start may have taken effect although its answer says otherwise.
        self._stop(attempt, StopMode.CANCEL, 'start failed')

    def _compare(self, attempt: _Attempt, listed: WorkerTask | None) -> None:
        if listed is None or listed.attempt != attempt.command.attempt:
            self._end(attempt, TaskPhase.STOPPED, 'gone from the worker')
            return
        attempt.checkpoint = listed.checkpoint
        if listed.phase != TaskPhase.RUNNING.value:
            self._end(attempt, TaskPhase(listed.phase), 'ended')

    def _stop(self, attempt: _Attempt, mode: StopMode, why: str) -> None:
        if attempt.phase in FINAL_PHASES | {TaskPhase.STOPPING}:
            return
        attempt.phase = TaskPhase.STOPPING
        self._worker.stop(
            attempt.command.task_id,
            mode,
            lambda checkpoint: self._stopped(attempt, checkpoint, why),
        )

    def _stopped(
        self,
        attempt: _Attempt,
        checkpoint: str | None,
        why: str,
    ) -> None:
        if checkpoint is None:
            # In doubt: the next tick asks again, and the worker ends the
            # task by itself when its lease runs out.
            attempt.phase = TaskPhase.RUNNING
            return
        attempt.checkpoint = checkpoint or attempt.checkpoint
        self._end(attempt, TaskPhase.STOPPED, why)

    def _end(self, attempt: _Attempt, phase: TaskPhase, why: str) -> None:
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
        self._report(TaskReport((attempt.status(),)))
