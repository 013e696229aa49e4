"""Reconciles agents' reports with the attempts that the owner has ordered."""

from typing import Final, Protocol, TypeVar

from hyssopring.clock import Clock
from hyssopring.jobs.crash_suspects import TRIAL_MS, CrashSuspects
from hyssopring.jobs.departures import Departures
from hyssopring.jobs.end_observers import EndObservers
from hyssopring.jobs.fleet import AgentDeparture, Fleet, PlacedAttempt, Worker
from hyssopring.jobs.found_tasks import FoundTasks
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.messages import (
    AttemptReport,
    EndReport,
    TaskRequirements,
    WorkerReport,
)
from hyssopring.jobs.model import AttemptEnd, JobState, TaskName
from hyssopring.jobs.owned_shard import Ack, OwnedShard
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.seen_ends import SeenEnds
from hyssopring.jobs.shards import shard_of, shard_of_task
from hyssopring.jobs.stop_marks import mark_stopping
from hyssopring.jobs.task_requirements import facts_of
from hyssopring.jobs.times import HOLD_EXPIRY_MS
from hyssopring.jobs.unconfirmed_ends import UnconfirmedEnds
from hyssopring.jobs.unknown_jobs import UnknownJobs
from hyssopring.logs import Event, log_event

__all__ = ('ReportReconciler', 'ReportSink')

_CRASHES: Final = frozenset(
    (AttemptEnd.CRASHED.value, AttemptEnd.CRASHED_IN_TRIAL.value)
)

# A copied task has its first attempt and one copy.
_MAX_ATTEMPTS: Final = 2

_TaskReport = TypeVar('_TaskReport', AttemptReport, EndReport)


class ReportSink(Protocol):
    """Receives the actions that follow from a report."""

    def stop(
        self, owned: OwnedShard, worker: Worker, task: str, attempt: int
    ) -> None:
        """Order an agent to stop an attempt."""

    def stop_job(self, record: JobRecord) -> None:
        """Order the stop of all attempts of a job."""

    def send_task_facts(self, worker: Worker, facts: TaskRequirements) -> None:
        """Send an agent the size and limits of an attempt."""

    def acknowledge_ends(self, acks: list[Ack]) -> None:
        """Allow agents to drop ends that are durable."""


class ReportReconciler:
    """Applies agents' reports to the jobs of the owned shards.

    Attributes:
        departures: The departures of agents that are to be applied.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        shards: OwnedShards,
        sink: ReportSink,
        suspects: CrashSuspects,
        observers: EndObservers,
        keeps_copies: bool = False,
    ) -> None:
        """Create a reconciler that passes its actions to ``sink``.

        Args:
            observers: Told of attempts and tasks that are done.
            keeps_copies: Whether a second attempt of a task may go on if its
                step allows copies.
        """
        self._keeps_copies = keeps_copies
        self._unconfirmed_ends = UnconfirmedEnds()
        self._observers = observers
        self._suspects = suspects
        self._clock = clock
        self._fleet = fleet
        self._shards = shards
        self._sink = sink
        self._seen_ends = SeenEnds(clock)
        self._unknown_jobs = UnknownJobs(clock)
        self._found_tasks = FoundTasks()
        self.departures = Departures(fleet, shards, self._apply_departure)

    def forget(self, shard: int) -> None:
        """Discard the state of a shard that is no longer owned."""
        self._seen_ends.forget(shard)
        self._unconfirmed_ends.forget(shard)
        self._unknown_jobs.forget(shard)

    def replay_reports(self, record: JobRecord) -> None:
        """Apply the last reports again to a job that was unknown until now.

        The former owner may have started the job after this owner read the
        shard. Without its attempts, this owner would start the tasks twice.
        """
        job_id = record.job.job_id
        if not self._unknown_jobs.resolve(job_id):
            return
        owned = self._shards.by_shard[shard_of(job_id)]
        for worker in self._fleet.by_agent.values():
            report = worker.report
            if report is not None and not owned.is_dropped:
                self._apply_report_to_job(worker, report, owned, job_id)

    def mark_durable(self, acks: list[Ack]) -> bool:
        """Record that ends are durable and are being acknowledged.

        Returns:
            Whether steps may start that waited for this.
        """
        self._seen_ends.mark_durable(acks)
        return self._unconfirmed_ends.mark_durable(acks)

    def reconcile(
        self,
        worker: Worker,
        report: WorkerReport,
        owned: OwnedShard,
    ) -> None:
        """Apply a report on the attempts of a shard on a worker."""
        if not report.boot and report.silent_ms < HOLD_EXPIRY_MS:
            # A new agent that has not reached its worker yet. Tasks may still
            # run there until the hold expires.
            return
        for end in _select_shard(report.ends, owned.shard):
            self._record_end(worker, report.boot, end, owned)
        for attempt in _select_shard(report.attempts, owned.shard):
            self._record_attempt(worker, report.boot, attempt, owned)
        if report.is_partial:
            # An attempt that is not listed may have ended as done.
            return
        self._drop_unlisted(worker, report, owned)
        if (
            worker.agent_id in owned.unreported
            and self._is_process_known(worker, owned)
            and not self._unknown_jobs.has_unread(report, owned)
        ):
            owned.unreported.discard(worker.agent_id)

    def _apply_departure(
        self, departed: AgentDeparture, owned: OwnedShard
    ) -> None:
        """Apply the last message of an agent whose worker runs nothing.

        If the agent left before the former owner released the shard, it stays
        unreported: its next process may have received starts since.
        """
        worker, message = departed.worker, departed.message
        for end in _select_shard(message.ends, owned.shard):
            self._record_end(worker, message.boot, end, owned)
        for placed in list(worker.placed_by_task.values()):
            if shard_of(placed.name.job_id) == owned.shard:
                self.record_attempt_lost(worker, placed, 'agent left')
        if owned.former.had_ended(departed.at):
            owned.unreported.discard(worker.agent_id)

    def _apply_report_to_job(
        self,
        worker: Worker,
        report: WorkerReport,
        owned: OwnedShard,
        job_id: str,
    ) -> None:
        for end in report.ends:
            if TaskName.from_text(end.task).job_id == job_id:
                self._record_end(worker, report.boot, end, owned)
        for attempt in report.attempts:
            if TaskName.from_text(attempt.task).job_id == job_id:
                self._record_attempt(worker, report.boot, attempt, owned)

    def _is_proof(
        self, worker: Worker, placed: PlacedAttempt | None, owned: OwnedShard
    ) -> bool:
        """Return whether a report proves how an attempt ended.

        An agent that received the start on its present connection has obeyed
        this owner then.

        Args:
            placed: The attempt, None if it is unknown.
        """
        if placed is not None and placed.start_index:
            return True
        return self._is_process_known(worker, owned)

    def _is_process_known(self, worker: Worker, owned: OwnedShard) -> bool:
        """Return whether no successor can have heard the agent before.

        A process that the agent had before this connection may have obeyed a
        successor, which knows more of the agent's tasks.
        """
        is_known = owned.ownership.check_since(worker.connected_at)
        worker.awaits_check = worker.awaits_check or not is_known
        return is_known

    def _drop_unlisted(
        self,
        worker: Worker,
        report: WorkerReport,
        owned: OwnedShard,
    ) -> None:
        listed = {attempt.task for attempt in report.attempts}
        ordered = [
            (task, placed)
            for task, placed in worker.placed_by_task.items()
            if shard_of(placed.name.job_id) == owned.shard
            and (task not in listed or placed.boot != report.boot)
            and self._is_proof(worker, placed, owned)
        ]
        for task, placed in ordered:
            if placed.boot != report.boot:
                self.record_attempt_lost(worker, placed, 'worker replaced')
            elif worker.has_received(placed, report):
                # The worker may not have responded to the start; avoid it as
                # after a refusal.
                worker.refused_at = self._clock.now()
                self.record_attempt_lost(worker, placed, 'not listed')

    def _record_attempt(
        self,
        worker: Worker,
        boot: str,
        attempt_report: AttemptReport,
        owned: OwnedShard,
    ) -> None:
        name = TaskName.from_text(attempt_report.task)
        record = owned.by_job.get(name.job_id)
        if record is None and not self._unknown_jobs.is_absent(
            name.job_id, owned
        ):
            return
        placed = worker.placed_by_task.get(attempt_report.task)
        if placed is None or placed.attempt < attempt_report.attempt:
            if not self._is_process_known(worker, owned):
                # A successor may have started it; it must not be stopped.
                return
            placed = self._adopt(worker, boot, attempt_report, record)
        elif placed.attempt == attempt_report.attempt:
            # The start may have been sent to the worker's previous
            # incarnation while this one runs the attempt. Starting it
            # elsewhere would run the task twice.
            placed.boot = boot
        if placed is None or record is None:
            self._found_tasks.record_unknown(worker, attempt_report, record)
            self._sink.stop(
                owned, worker, attempt_report.task, attempt_report.attempt
            )
            return
        assert worker.report is not None, 'the report lists the attempt'
        placed.update(
            attempt_report, self._clock.now(), worker.report.silent_ms
        )
        if placed.observed_ms >= TRIAL_MS and not record.crashes.is_empty:
            self._suspects.record_survival(record, name)
        record.record_checkpoint(attempt_report.task, attempt_report.checkpoint)
        self._record_observed(record, placed, attempt_report)
        self._send_missing_state(worker, attempt_report, placed, owned)

    def _record_observed(
        self,
        record: JobRecord,
        placed: PlacedAttempt,
        attempt_report: AttemptReport,
    ) -> None:
        """Record that a task runs nowhere else, if its worker has listed it.

        A former owner may have counted an attempt as lapsed that was listed
        before this epoch, and started its task on an agent that has not
        reported. One of two attempts that the step allows shows nothing.
        """
        run = record.step_run_of(placed.name)
        if run is None or placed.is_stopping or not attempt_report.is_relisted:
            return
        if not (self._keeps_copies and run.step.is_copyable):
            run.observed.add(placed.name.index)

    def _send_missing_state(
        self,
        worker: Worker,
        attempt_report: AttemptReport,
        placed: PlacedAttempt,
        owned: OwnedShard,
    ) -> None:
        """Send the facts or the stop that the agent lacks for an attempt."""
        if not attempt_report.is_sized:
            facts = facts_of(
                attempt_report.task, attempt_report.attempt, placed.step
            )
            self._sink.send_task_facts(worker, facts)
        if placed.is_stopping:
            self._sink.stop(
                owned, worker, attempt_report.task, attempt_report.attempt
            )

    def _adopt(
        self,
        worker: Worker,
        boot: str,
        attempt_report: AttemptReport,
        record: JobRecord | None,
    ) -> PlacedAttempt | None:
        """Adopt an attempt that a former owner has started."""
        if record is None:
            return None
        name = TaskName.from_text(attempt_report.task)
        run = record.step_run_of(name)
        record.observe_attempt(attempt_report.task, attempt_report.attempt)
        if run is None:
            return None
        # An older attempt on the same worker is replaced by this one.
        others = [
            other
            for other, _placed in self.attempts_of(name)
            if other is not worker
        ]
        may_copy = self._keeps_copies and run.step.is_copyable
        is_wanted = (
            record.final_state is None
            and not run.is_done_task(name.index)
            and len(others) < (_MAX_ATTEMPTS if may_copy else 1)
        )
        placed = PlacedAttempt(
            name,
            attempt_report.attempt,
            run.step,
            boot,
            0,
            self._clock.now(),
        )
        worker.placed_by_task[attempt_report.task] = placed
        self._fleet.record_placement(worker, attempt_report.task)
        if record.final_state is not None:
            mark_stopping(placed, worker, 'its job has ended')
            self._found_tasks.record(worker, attempt_report, record)
        elif not is_wanted:
            reason = 'another attempt runs, or the task has ended'
            mark_stopping(placed, worker, reason)
        if is_wanted:
            run.mark_running(name.index)
            # Until it is relisted, it may have ended under a former epoch.
            run.observed.discard(name.index)
            if record.state is JobState.QUEUED:
                record.state = JobState.ACTIVE
        return placed

    def _record_end(
        self,
        worker: Worker,
        boot: str,
        end: EndReport,
        owned: OwnedShard,
    ) -> None:
        ack = Ack(worker.agent_id, boot, end.number)
        if ack in self._seen_ends:
            if self._seen_ends.must_confirm_again(ack):
                self._sink.acknowledge_ends([ack])
            return
        name = TaskName.from_text(end.task)
        record = owned.by_job.get(name.job_id)
        if record is None and not self._unknown_jobs.is_absent(
            name.job_id, owned
        ):
            return
        placed = worker.placed_by_task.get(end.task)
        if not self._is_proof(worker, placed, owned):
            return
        self._seen_ends.add(ack, owned.shard)
        run = record.step_run_of(name) if record else None
        if record is None or run is None:
            self._sink.acknowledge_ends([ack])
            return
        if placed is not None and placed.attempt <= end.attempt:
            worker.placed_by_task.pop(end.task)
            self._observers.attempt_ended(record.job, end, worker, placed)
        done_before = run.done.bit_count()
        self._apply_end(record, name, end, worker, owned)
        done_count = run.done.bit_count() - done_before
        self._observers.tasks_done(record, run, done_count, placed, end)
        self._hold_successors(record, name, owned, ack)
        owned.save(record, ack)

    def _hold_successors(
        self, record: JobRecord, name: TaskName, owned: OwnedShard, ack: Ack
    ) -> None:
        """Hold back the next steps while a done task's other attempt runs."""
        run = record.step_run_of(name)
        if not self._keeps_copies or run is None or not run.step.is_copyable:
            return
        if not run.is_done_task(name.index):
            return
        if not self.attempts_of(name):
            run.unconfirmed.discard(name.index)
        elif name.index not in run.unconfirmed:
            self._unconfirmed_ends.hold(owned.shard, ack, run, name.index)

    def _apply_end(
        self,
        record: JobRecord,
        name: TaskName,
        end: EndReport,
        worker: Worker,
        owned: OwnedShard,
    ) -> None:
        run = record.step_run_of(name)
        assert run is not None, 'checked by the caller'
        record.record_checkpoint(end.task, end.checkpoint)
        if end.how == AttemptEnd.DONE.value and not run.step.is_keeper:
            self._record_done(record, run, name, owned)
        elif self._fails_job(record, run, name, end, worker):
            self._sink.stop_job(record)
        if not run.is_done_task(name.index):
            self._requeue(run, name)
            self._break_gang(run, name)

    def _fails_job(
        self,
        record: JobRecord,
        run: StepRun,
        name: TaskName,
        end: EndReport,
        worker: Worker,
    ) -> bool:
        """Count a failure or crash; return True if its budget is exhausted."""
        if end.how == AttemptEnd.FAILED.value:
            return record.record_failure(name, end.attempt)
        if end.how not in _CRASHES or run.is_done_task(name.index):
            return False
        if not self._suspects.record_crash(record, name, end, worker):
            return False
        record.final_state = JobState.FAILED
        return True

    def _record_done(
        self,
        record: JobRecord,
        run: StepRun,
        name: TaskName,
        owned: OwnedShard,
    ) -> None:
        if run.step.is_gang:
            # A gang is done as soon as one member is done.
            for member in record.job.tasks(run.occurrence, run.step_index):
                record.record_done(member)
            return
        record.record_done(name)
        for worker, placed in self.attempts_of(name):
            self._stop_placed(worker, placed, owned)

    def _break_gang(self, run: StepRun, name: TaskName) -> None:
        """Stop the remaining members of a gang that has lost one."""
        if not run.step.is_gang:
            return
        owned = self._shards.by_shard[shard_of(name.job_id)]
        for index in list(run.running):
            member = TaskName(name.job_id, name.occurrence, name.step, index)
            for worker, placed in self.attempts_of(member):
                self._stop_placed(worker, placed, owned)

    def _stop_placed(
        self,
        worker: Worker,
        placed: PlacedAttempt,
        owned: OwnedShard,
    ) -> None:
        mark_stopping(placed, worker, 'done elsewhere, or its gang is broken')
        self._sink.stop(owned, worker, str(placed.name), placed.attempt)

    def record_attempt_lost(
        self, worker: Worker, placed: PlacedAttempt, reason: str
    ) -> None:
        """Record that an attempt does not run and will not start later."""
        task = str(placed.name)
        worker.placed_by_task.pop(task, None)
        record = self._shards.record_of(placed.name.job_id)
        run = record.step_run_of(placed.name) if record else None
        owned = self._shards.by_shard[shard_of(placed.name.job_id)]
        now_ms = self._clock.now()
        log_event(
            Event.TASK_LAPSED,
            task=task,
            attempt=placed.attempt,
            agent=worker.agent_id,
            reason=reason,
            reign=owned.epoch,
            confirmed_age_ms=int(owned.ownership.age_ms),
            boot=placed.boot,
            present=worker.boot,
            order=placed.start_index,
            grant_age_ms=int(now_ms - worker.granted_at),
            report_age_ms=int(now_ms - worker.reported_at),
        )
        if run is not None:
            self._requeue(run, placed.name)
            self._break_gang(run, placed.name)

    def _requeue(self, run: StepRun, name: TaskName) -> None:
        """Mark a task as waiting unless another attempt may run."""
        if not self.attempts_of(name):
            run.mark_waiting(name.index)
            run.unconfirmed.discard(name.index)

    def attempts_of(self, name: TaskName) -> list[tuple[Worker, PlacedAttempt]]:
        """Return the attempts of a task that may run, with their workers."""
        task = str(name)
        return [
            (worker, worker.placed_by_task[task])
            for worker in self._fleet.workers_with(task)
        ]


def _select_shard(reports: list[_TaskReport], shard: int) -> list[_TaskReport]:
    return [report for report in reports if shard_of_task(report.task) == shard]
