"""Sends waiting steps to workers, in rounds."""

from dataclasses import dataclass
from typing import Any, Callable, Final, Mapping

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.ticket_manager import TicketManager
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.placement_round import PlacementRound
from hyssopring.jobs.fleet import Fleet, PlacedAttempt, Worker
from hyssopring.jobs.interference import InterferenceModel
from hyssopring.jobs.messages import JobsMessage, StartOrder
from hyssopring.jobs.model import JobState, TaskName
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.shards import shard_of
from hyssopring.jobs.crash_suspects import CrashSuspects
from hyssopring.jobs.task_facts import facts_of
from hyssopring.jobs.urgency import Urgency, urgency
from hyssopring.logs import Event, log_event

__all__ = ('Send', 'StepPlanner')

# A job none of whose tasks has run for this long gets one started wherever
# there is room, also where it slows others down: nothing waits for ever. Users
# ask for a start within 3 s; sooner, each job in a queue adds one that harms.
_STARVED_MS: Final = 2000.0

# After a round the owner plans nothing for this many times as long as the round
# took: however long the queue, two thirds of its time are left for reports,
# grants and callers. Without it an owner of 0.5 cores with 340 jobs after a
# loss of power was silent to all 61 agents.
_PLAN_REST: Final = 2

Send = Callable[[str, JobsMessage], bool]


@dataclass(frozen=True, slots=True)
class _Waiting:
    """The tasks of a step that may start now.

    Attributes:
        tickets: By the lives of workers that may run them; None where any
            worker will do.
    """

    urgency: Urgency
    record: JobRecord
    run: StepRun
    indices: set[int]
    tickets: Mapping[str, str] | None

    def ticket(self, worker: Worker) -> str:
        """Return the worker's ticket, empty where none is needed."""
        return self.tickets[worker.boot] if self.tickets else ''


class StepPlanner:
    """Orders the starts of the owned shards' tasks."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        fleet: Fleet,
        shards: OwnedShards,
        send: Send,
        may_act: Callable[[], bool],
        wall_ms: Callable[[], float],
        advice: TicketManager,
        suspects: CrashSuspects,
    ) -> None:
        """Order agents by ``send`` while ``may_act`` says that it may."""
        self._reactor = reactor
        self._clock = clock
        self._fleet = fleet
        self._shards = shards
        self._send = send
        self._may_act = may_act
        self._wall_ms = wall_ms
        self._advice = advice
        self._suspects = suspects
        self.interference = InterferenceModel()
        self._is_plan_due = False
        self._plan_at = clock.now()

    def schedule_planning(self) -> None:
        """Plan once for all that happens in this turn of the reactor."""
        if not self._is_plan_due:
            self._is_plan_due = True
            wait_ms = max(0, self._plan_at - self._clock.now())
            self._reactor.callLater(
                wait_ms / MILLIS_PER_SECOND,
                self._plan_within_share,
            )

    def _plan_within_share(self) -> None:
        """Plan, and note when the next round may begin."""
        self._is_plan_due = False
        if not self._may_act():
            return
        begun_at = self._clock.now()
        self._plan()
        ended_at = self._clock.now()
        self._plan_at = ended_at + _PLAN_REST * (ended_at - begun_at)

    def _plan(self) -> None:
        self.interference.observe_workers(
            self._fleet.by_agent.values(), self._clock.now()
        )
        self._suspects.check()
        wall_ms = self._wall_ms()
        waiting = [
            _Waiting(
                urgency(record, run, wall_ms),
                record,
                run,
                indices,
                self._advice.permitted(record, run),
            )
            for record in self._shards.live_jobs()
            for run in record.open_runs()
            if (indices := self._shards.startable(record, run))
        ]
        if not waiting:
            return
        waiting.sort(key=lambda each: each.urgency)
        takers = self._suspects.spared(self._shards)
        placement = PlacementRound(
            takers, self.interference, self._fleet.refusing()
        )
        for each in waiting:
            self._place(placement, each)

    def _place(self, placement: PlacementRound, waiting: '_Waiting') -> None:
        record, run = waiting.record, waiting.run
        if waiting.tickets is not None:
            self._advice.look_soon()
            if not waiting.tickets:
                return
        if run.step.is_gang:
            self._place_gang(placement, waiting)
            return
        names = [
            run.task(record.job.job_id, index)
            for index in sorted(waiting.indices)
        ]
        innocent, suspects = self._suspects.sorted_out(record, names)
        is_starved = record.idle_ms(self._clock.now()) > _STARVED_MS
        for name in innocent:
            if not self._place_task(placement, waiting, name, is_starved):
                # Nor does any worker take another task of the step.
                break
            is_starved = False
        # A trial takes a worker out of the round, which others could use.
        for suspect in suspects:
            self._place_in_trial(placement, waiting, suspect)

    def _place_task(
        self,
        placement: PlacementRound,
        waiting: '_Waiting',
        name: TaskName,
        is_starved: bool,
    ) -> bool:
        """Start a task; False if no worker takes one of the step now."""
        record, task = waiting.record, str(name)
        worker = placement.choose(
            record.job.queue.service,
            waiting.run.step,
            name,
            is_starved,
            waiting.tickets,
        )
        if worker is None:
            return False
        if not self._is_located(waiting, [name], [worker]):
            worker = self._located_worker(placement, waiting, name)
        if worker is not None:
            number = record.next_attempt(task)
            checkpoint = record.checkpoint_by_task.get(task, '')
            self._start(waiting, name, worker, number, checkpoint)
        return True

    def _located_worker(
        self,
        placement: PlacementRound,
        waiting: '_Waiting',
        name: TaskName,
    ) -> Worker | None:
        """Return a worker whose agent's row lists the task already.

        While the store fails no row can be written: a lasting task that has
        ended starts again where it was.
        """
        owned = self._shards.by_shard[shard_of(name.job_id)]
        if not owned.roster.is_failing:
            return None
        boots = owned.locations.located_on(
            str(name), self._fleet.schedulable_workers()
        )
        if waiting.tickets is not None:
            boots &= waiting.tickets.keys()
        service = waiting.record.job.queue.service
        return placement.choose(
            service, waiting.run.step, name, is_starved=False, boots=boots
        )

    def _place_in_trial(
        self,
        placement: PlacementRound,
        waiting: '_Waiting',
        name: TaskName,
    ) -> None:
        """Start a suspect where it can take the least along, and alone."""
        record, task = waiting.record, str(name)
        if not self._suspects.may_begin(record, name):
            return
        worker = placement.choose_for_trial(
            record.job.queue.service,
            waiting.run.step,
            name,
            self._suspects.isolated_agents(record, name),
            waiting.tickets,
        )
        if worker is None or not self._is_located(waiting, [name], [worker]):
            return
        number = record.next_attempt(task)
        checkpoint = record.checkpoint_by_task.get(task, '')
        self._start(waiting, name, worker, number, checkpoint, is_trial=True)
        self._suspects.begin(record, name, number, worker.agent_id)

    def _place_gang(
        self,
        placement: PlacementRound,
        waiting: '_Waiting',
    ) -> None:
        """Start all members or none: alone they would only hold room."""
        record, run = waiting.record, waiting.run
        if not run.is_gang_ready or len(waiting.indices) < run.step.count:
            return
        names = list(record.job.tasks(run.occurrence, run.step_index))
        is_trial = self._suspects.needs_trial(record, names[0])
        if is_trial and not self._suspects.may_begin(record, names[0]):
            return
        workers = placement.choose_all(
            record.job.queue.service,
            run.step,
            names,
            waiting.tickets,
        )
        if not workers or not self._is_located(waiting, names, workers):
            return
        number = record.next_gang_attempt(names)
        checkpoint = record.gang_checkpoint(names)
        for name, worker in zip(names, workers, strict=True):
            self._start(waiting, name, worker, number, checkpoint, is_trial)
            if is_trial:
                placement.withdraw(worker)
                self._suspects.begin(record, name, number, worker.agent_id)

    def _is_located(
        self,
        waiting: '_Waiting',
        names: list[TaskName],
        workers: list[Worker],
    ) -> bool:
        """Whether the rows of the workers' agents list the tasks, if lasting.

        Else the next round starts them: a next owner would start a task again
        that may run on an agent which it cannot reach.
        """
        if not waiting.run.step.is_keeper:
            return True
        owned = self._shards.by_shard[shard_of(names[0].job_id)]
        located = [
            owned.locations.ensure_located(worker.agent_id, [str(name)])
            for name, worker in zip(names, workers, strict=True)
        ]
        return all(located)

    def _start(
        self,
        waiting: '_Waiting',
        name: TaskName,
        worker: Worker,
        number: int,
        checkpoint: str,
        is_trial: bool = False,
    ) -> None:
        record, run = waiting.record, waiting.run
        task = str(name)
        owned = self._shards.by_shard[shard_of(name.job_id)]
        order = StartOrder(
            owned.shard,
            owned.epoch,
            worker.boot,
            record.job.payload,
            checkpoint,
            facts_of(task, number, run.step),
            worker.connection,
            waiting.ticket(worker),
            is_trial,
        )
        if not self._send(worker.agent_id, order):
            return
        worker.starts_sent += 1
        worker.placed_by_task[task] = PlacedAttempt(
            name,
            number,
            run.step,
            worker.boot,
            worker.starts_sent,
            self._clock.now(),
            checkpoint,
        )
        run.mark_running(name.index)
        if record.state is JobState.QUEUED:
            record.state = JobState.ACTIVE
        log_event(
            Event.TASK_PLACED,
            task=task,
            attempt=number,
            agent=worker.agent_id,
            resumed=bool(checkpoint),
            trial=is_trial,
            reign=owned.epoch,
            report_age_ms=int(self._clock.now() - worker.reported_at),
            grant_age_ms=int(self._clock.now() - worker.granted_at),
        )
