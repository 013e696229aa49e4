"""What agents' reports mean for the jobs of the owned shards."""

from typing import Final, Protocol, TypeVar

from hyssopring.clock import Clock
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.fleet import Departed, Fleet, PlacedAttempt, Worker
from hyssopring.jobs.messages import (
    AttemptReport,
    EndReport,
    TaskFacts,
    WorkerReport,
)
from hyssopring.jobs.model import AttemptEnd, JobState, TaskName
from hyssopring.jobs.owned_shard import Ack, OwnedShard
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.seen_ends import SeenEnds
from hyssopring.jobs.shards import shard_of, shard_of_task
from hyssopring.jobs.stop_marks import mark_stopping
from hyssopring.jobs.crash_suspects import TRIAL_MS, CrashSuspects
from hyssopring.jobs.task_facts import facts_of
from hyssopring.jobs.times import HOLD_EXPIRY_MS
from hyssopring.jobs.unknown_jobs import UnknownJobs
from hyssopring.logs import Event, log_event

__all__ = ('ReportReader', 'ReportSink')

_CRASHES: Final = frozenset(
    (AttemptEnd.CRASHED.value, AttemptEnd.CRASHED_IN_TRIAL.value)
)

_Told = TypeVar('_Told', AttemptReport, EndReport)


class ReportSink(Protocol):
    """What a report asks the owner to do."""

    def stop(
        self, owned: OwnedShard, worker: Worker, task: str, attempt: int
    ) -> None:
        """Order an attempt's stop."""

    def stop_job(self, record: JobRecord) -> None:
        """Order the stop of all that runs of a job."""

    def tell_facts(self, worker: Worker, facts: TaskFacts) -> None:
        """Tell an agent what an attempt takes."""

    def recorded(self, acks: list[Ack]) -> None:
        """Tell agents that ends need no keeping any more."""


class ReportReader:
    """Compares what agents tell with what was ordered."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        shards: OwnedShards,
        sink: ReportSink,
        suspects: CrashSuspects,
    ) -> None:
        """Hand what follows from a report to ``sink``."""
        self._suspects = suspects
        self._clock = clock
        self._fleet = fleet
        self._shards = shards
        self._sink = sink
        self._seen_ends = SeenEnds(clock)
        self._unknown = UnknownJobs(clock)

    def forget(self, shard: int) -> None:
        """A shard is lost."""
        self._seen_ends.forget(shard)
        self._unknown.forget(shard)

    def job_known(self, record: JobRecord) -> None:
        """Read again what agents have told of a job that was not known.

        The former owner may have started it after this one read the shard:
        started again here, its tasks would run twice.
        """
        job_id = record.job.job_id
        if not self._unknown.found(job_id):
            return
        owned = self._shards.by_shard[shard_of(job_id)]
        for worker in self._fleet.by_agent.values():
            report = worker.report
            if report is not None and not owned.is_dropped:
                self._take_job(worker, report, owned, job_id)

    def recorded(self, acks: list[Ack]) -> None:
        """Ends are durable, and their agents are told so now."""
        self._seen_ends.mark_durable(acks)

    def reconcile(
        self,
        worker: Worker,
        report: WorkerReport,
        owned: OwnedShard,
    ) -> None:
        """Take a report that names all attempts of a shard on a worker."""
        if not report.boot and report.silent_ms < HOLD_EXPIRY_MS:
            # A new agent has not met its worker yet, where tasks may run on;
            # without an agent they end with the hold.
            return
        for end in _of_shard(report.ends, owned.shard):
            self._take_end(worker, report.boot, end, owned)
        for attempt in _of_shard(report.attempts, owned.shard):
            self._take_attempt(worker, report.boot, attempt, owned)
        self._drop_unlisted(worker, report, owned)
        owned.unreported.discard(worker.agent_id)

    def take_left(self, departed: Departed, owned: OwnedShard) -> None:
        """Take the last word of an agent on whose worker nothing runs.

        Unless the former owner had given the shard up by then, the agent is
        waited for like any other: its next process may have taken orders.
        """
        worker, message = departed.worker, departed.message
        for end in _of_shard(message.ends, owned.shard):
            self._take_end(worker, message.boot, end, owned)
        for placed in list(worker.placed_by_task.values()):
            if shard_of(placed.name.job_id) == owned.shard:
                self.record_worker_lost(worker, placed, 'agent left')
        if owned.former.had_given_up(departed.at):
            owned.unreported.discard(worker.agent_id)

    def _take_job(
        self,
        worker: Worker,
        report: WorkerReport,
        owned: OwnedShard,
        job_id: str,
    ) -> None:
        for end in report.ends:
            if TaskName.from_text(end.task).job_id == job_id:
                self._take_end(worker, report.boot, end, owned)
        for attempt in report.attempts:
            if TaskName.from_text(attempt.task).job_id == job_id:
                self._take_attempt(worker, report.boot, attempt, owned)

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
        ]
        for task, placed in ordered:
            if placed.boot != report.boot:
                self.record_worker_lost(worker, placed, 'worker replaced')
            elif task not in listed and worker.has_received(placed, report):
                # Its worker may have left the start without an answer.
                worker.refused_at = self._clock.now()
                self.record_worker_lost(worker, placed, 'not listed')

    def _take_attempt(
        self,
        worker: Worker,
        boot: str,
        told: AttemptReport,
        owned: OwnedShard,
    ) -> None:
        name = TaskName.from_text(told.task)
        record = owned.by_job.get(name.job_id)
        if record is None and not self._unknown.is_forgotten(name.job_id):
            return
        placed = worker.placed_by_task.get(told.task)
        if placed is None or placed.number < told.attempt:
            placed = self._adopt(worker, boot, told, record)
        elif placed.number == told.attempt:
            # The incarnation before may have got the order, and this one runs
            # it: started elsewhere the task would run twice.
            placed.boot = boot
        if placed is None or record is None:
            log_event(
                Event.TASK_STOPPED,
                task=told.task,
                attempt=told.attempt,
                agent=worker.agent_id,
                why='its job is not known',
            )
            self._sink.stop(owned, worker, told.task, told.attempt)
            return
        assert worker.report is not None, 'it has told of the attempt'
        placed.update(told, self._clock.now(), worker.report.silent_ms)
        if placed.observed_ms >= TRIAL_MS and not record.crashes.is_empty:
            self._suspects.record_survival(record, name)
        record.keep_checkpoint(told.task, told.checkpoint)
        self._answer(worker, told, placed, owned)

    def _answer(
        self,
        worker: Worker,
        told: AttemptReport,
        placed: PlacedAttempt,
        owned: OwnedShard,
    ) -> None:
        """Tell the agent what it lacks about an attempt."""
        if not told.is_sized:
            facts = facts_of(told.task, told.attempt, placed.step)
            self._sink.tell_facts(worker, facts)
        if placed.is_stopping:
            self._sink.stop(owned, worker, told.task, told.attempt)

    def _adopt(
        self,
        worker: Worker,
        boot: str,
        told: AttemptReport,
        record: JobRecord | None,
    ) -> PlacedAttempt | None:
        """Take over an attempt that a former owner has started."""
        if record is None:
            return None
        name = TaskName.from_text(told.task)
        run = record.run_of(name)
        record.saw_number(told.task, told.attempt)
        if run is None:
            return None
        # An attempt ordered here that this one has replaced is no other one.
        runs_elsewhere = any(
            other is not worker for other, _placed in self.places(name)
        )
        is_wanted = (
            record.final_state is None
            and not run.is_done_task(name.index)
            and not runs_elsewhere
        )
        placed = PlacedAttempt(
            name,
            told.attempt,
            run.step,
            boot,
            0,
            self._clock.now(),
        )
        worker.placed_by_task[told.task] = placed
        if not is_wanted:
            why = 'another attempt runs, or the task has ended'
            mark_stopping(placed, worker, why)
        if is_wanted:
            run.mark_running(name.index)
            if record.state is JobState.QUEUED:
                record.state = JobState.ACTIVE
        return placed

    def _take_end(
        self,
        worker: Worker,
        boot: str,
        end: EndReport,
        owned: OwnedShard,
    ) -> None:
        ack = Ack(worker.agent_id, boot, end.number)
        if ack in self._seen_ends:
            if self._seen_ends.must_confirm_again(ack):
                self._sink.recorded([ack])
            return
        name = TaskName.from_text(end.task)
        record = owned.by_job.get(name.job_id)
        if record is None and not self._unknown.is_forgotten(name.job_id):
            return
        self._seen_ends.add(ack, owned.shard)
        if record is None or record.run_of(name) is None:
            self._sink.recorded([ack])
            return
        placed = worker.placed_by_task.get(end.task)
        if placed is not None and placed.number <= end.attempt:
            worker.placed_by_task.pop(end.task)
        self._apply_end(record, name, end, worker, owned)
        owned.save(record, ack)

    def _apply_end(
        self,
        record: JobRecord,
        name: TaskName,
        end: EndReport,
        worker: Worker,
        owned: OwnedShard,
    ) -> None:
        run = record.run_of(name)
        assert run is not None, 'the caller has looked it up'
        record.keep_checkpoint(end.task, end.checkpoint)
        if end.how == AttemptEnd.DONE.value and not run.step.is_keeper:
            self._take_done(record, run, name, owned)
        elif self._fails_job(record, run, name, end, worker):
            self._sink.stop_job(record)
        if not run.is_done_task(name.index):
            self._return(run, name)
            self._break_gang(run, name)

    def _fails_job(
        self,
        record: JobRecord,
        run: StepRun,
        name: TaskName,
        end: EndReport,
        worker: Worker,
    ) -> bool:
        """Count an end against its budget; True if that is used up."""
        if end.how == AttemptEnd.FAILED.value:
            return record.take_failed(name, end.attempt)
        if end.how not in _CRASHES or run.is_done_task(name.index):
            return False
        if not self._suspects.record_crash(record, name, end, worker):
            return False
        record.final_state = JobState.FAILED
        return True

    def _take_done(
        self,
        record: JobRecord,
        run: StepRun,
        name: TaskName,
        owned: OwnedShard,
    ) -> None:
        if run.step.is_gang:
            # The end of one member stands for all.
            for member in record.job.tasks(run.occurrence, run.step_index):
                record.take_done(member)
            return
        record.take_done(name)
        for worker, placed in self.places(name):
            self._stop_placed(worker, placed, owned)

    def _break_gang(self, run: StepRun, name: TaskName) -> None:
        """Stop a gang that has lost a member, before it ends as alone."""
        if not run.step.is_gang:
            return
        owned = self._shards.by_shard[shard_of(name.job_id)]
        for index in list(run.running):
            member = TaskName(name.job_id, name.occurrence, name.step, index)
            for worker, placed in self.places(member):
                self._stop_placed(worker, placed, owned)

    def _stop_placed(
        self,
        worker: Worker,
        placed: PlacedAttempt,
        owned: OwnedShard,
    ) -> None:
        mark_stopping(placed, worker, 'done elsewhere, or its gang is broken')
        self._sink.stop(owned, worker, str(placed.name), placed.number)

    def record_worker_lost(
        self, worker: Worker, placed: PlacedAttempt, reason: str
    ) -> None:
        """An attempt does not run and never will."""
        task = str(placed.name)
        worker.placed_by_task.pop(task, None)
        record = self._shards.record_of(placed.name.job_id)
        run = record.run_of(placed.name) if record else None
        now = self._clock.now()
        log_event(
            Event.TASK_LAPSED,
            task=task,
            attempt=placed.number,
            agent=worker.agent_id,
            reason=reason,
            boot=placed.boot,
            present=worker.boot,
            order=placed.start_index,
            grant_age_ms=int(now - worker.granted_at),
            report_age_ms=int(now - worker.reported_at),
        )
        if run is not None:
            self._return(run, placed.name)
            self._break_gang(run, placed.name)

    def _return(self, run: StepRun, name: TaskName) -> None:
        """Let a task wait again, unless it runs elsewhere."""
        if not self.places(name):
            run.returned(name.index)

    def places(self, name: TaskName) -> list[tuple[Worker, PlacedAttempt]]:
        """Return where attempts of a task may run."""
        task = str(name)
        return [
            (worker, worker.placed_by_task[task])
            for worker in self._fleet.by_agent.values()
            if task in worker.placed_by_task
        ]


def _of_shard(told: list[_Told], shard: int) -> list[_Told]:
    return [each for each in told if shard_of_task(each.task) == shard]
