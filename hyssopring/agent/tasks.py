"""Runs tasks on this VM's worker under leases.

Guards:
* A start is taken only with the newest epoch seen for its shard and a lease
  that is good now, and only if the ledger can hold it.
* The worker itself ends a task when its lease is not renewed, so a paused or
  dead agent leaves nothing running.
* A finished attempt is reported until a planner says that it is recorded.
"""

from functools import partial
from typing import Callable, Sequence

from hyssopring.agent.ledger import Ledger
from hyssopring.agent.making_room import RoomMaker, RunningTask
from hyssopring.agent.usage import sum_usage
from hyssopring.agent.worker import Attempt, Worker, WorkerTask
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
from hyssopring.tasks import FINAL_PHASES, StopMode, TaskKind, TaskPhase

__all__ = ('TaskSupervisor', 'Worker', 'WorkerTask')

_NO_ROOM = 'no room'


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
        self._attempt_by_task: dict[str, Attempt] = {}
        self._closed_why = ''
        self._has_listed = False
        self._room = RoomMaker(clock, ledger)

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

    def usage(self) -> tuple[TaskUsage, ...]:
        """Return what tasks take here, by template and team."""
        return sum_usage(
            (attempt.command, attempt.used, attempt.share)
            for attempt in self._attempt_by_task.values()
            if attempt.phase not in FINAL_PHASES
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
        if why == _NO_ROOM and self._make_room(command):
            return
        if why:
            log_event(Event.TASK_REFUSED, task=command.task_id, why=why)
            refused = Attempt(command, TaskPhase.REFUSED, detail=why)
            self._report(TaskReport((refused.status(),)))
            return
        attempt = Attempt(command, TaskPhase.STARTING)
        self._attempt_by_task[command.task_id] = attempt
        self._start(attempt)

    def on_stop(self, command: StopTask) -> None:
        """Stop a task for its current planner."""
        attempt = self._attempt_by_task.get(command.task_id)
        is_current = self._leases.accepts(command.shard, command.epoch)
        if attempt is None or not is_current:
            return
        if attempt.command.attempt == command.attempt:
            self._stop(attempt, StopMode(command.mode), 'asked')

    def on_throttle(self, command: ThrottleTask) -> None:
        """Change a task's share of processor time for its planner."""
        attempt = self._attempt_by_task.get(command.task_id)
        is_current = self._leases.accepts(command.shard, command.epoch)
        if attempt is None or not is_current:
            return
        if attempt.command.attempt == command.attempt:
            attempt.share = command.share
            self._worker.throttle(command.task_id, command.share)

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
        self._ledger.observe(
            {
                task_id: attempt.used
                for task_id, attempt in self._attempt_by_task.items()
            }
        )

    def close(self, why: str, *, keepers: bool = True) -> None:
        """Take no start and checkpoint what runs, so that planners move it.

        Args:
            why: Ends up in reports; an empty one opens the VM again.
            keepers: Whether keepers are to move too, not batch tasks alone.
        """
        self._closed_why = why
        if not why:
            return
        for attempt in list(self._attempt_by_task.values()):
            if keepers or attempt.kind is TaskKind.BATCH:
                self._stop(attempt, StopMode.CHECKPOINT, why)

    def tick(self) -> None:
        """Renew the worker's leases, stop what has lapsed, report the ended."""
        self._room.settle()
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
            attempt = Attempt(
                listed.command,
                TaskPhase.RUNNING,
                listed.checkpoint,
                share=listed.share,
            )
            self._attempt_by_task[listed.task_id] = attempt
            self._ledger.reserve(listed.task_id, listed.command.size)

    def _refusal(self, command: StartTask, known: Attempt | None) -> str:
        if self._closed_why or not self._has_listed:
            return self._closed_why or 'agent is starting'
        if not self._leases.accepts(command.shard, command.epoch):
            return f'epoch {command.epoch} is not current'
        kind = TaskKind(command.kind)
        if self._leases.remaining(command.shard, kind) <= 0:
            return 'no lease'
        if known is not None and known.phase not in FINAL_PHASES:
            return 'an earlier attempt is still here'
        if not self._ledger.reserve(command.task_id, command.size):
            return _NO_ROOM
        return ''

    def _start(self, attempt: Attempt) -> None:
        """Start what the ledger holds, unless it was stopped meanwhile."""
        if attempt.phase is not TaskPhase.STARTING:
            return
        command = attempt.command
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

    def _make_room(self, command: StartTask) -> bool:
        """Checkpoint less urgent batch tasks for an urgent one."""
        victims = self._room.victims(
            command,
            [
                RunningTask(attempt.command, attempt.phase)
                for attempt in self._attempt_by_task.values()
            ],
        )
        if victims is None:
            return False
        attempt = Attempt(command, TaskPhase.STARTING)
        self._attempt_by_task[command.task_id] = attempt
        self._room.add(
            command,
            partial(self._start, attempt),
            partial(self._end, attempt, TaskPhase.REFUSED, _NO_ROOM),
        )
        why = f'makes room for {command.task_id}'
        for task_id in victims:
            self._stop(
                self._attempt_by_task[task_id],
                StopMode.CHECKPOINT,
                why,
            )
        return True

    def _started(self, attempt: Attempt, is_started: bool) -> None:
        if attempt.phase is not TaskPhase.STARTING:
            return
        if is_started:
            attempt.phase = TaskPhase.RUNNING
            self._report(TaskReport((attempt.status(),)))
            return
        # The start may have taken effect although its answer says otherwise.
        self._stop(attempt, StopMode.CANCEL, 'start failed')

    def _compare(self, attempt: Attempt, listed: WorkerTask | None) -> None:
        if listed is None or listed.attempt != attempt.command.attempt:
            self._end(attempt, TaskPhase.STOPPED, 'gone from the worker')
            return
        attempt.observe(listed)
        if listed.share != attempt.share:
            self._worker.throttle(listed.task_id, attempt.share)
        if listed.phase != TaskPhase.RUNNING.value:
            self._end(attempt, TaskPhase(listed.phase), 'ended')

    def _stop(self, attempt: Attempt, mode: StopMode, why: str) -> None:
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
        attempt: Attempt,
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

    def _end(self, attempt: Attempt, phase: TaskPhase, why: str) -> None:
        attempt.phase = phase
        attempt.detail = why
        self._ledger.release(attempt.command.task_id)
        self._room.forget(attempt.command.task_id)
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
        self._room.settle()
