"""Planning rounds that start pending tasks of the owned shards on workers."""

from typing import Any, Callable, Collection, Final, Mapping

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.fairness import FairShares
from hyssopring.jobs.crash_suspects import CrashSuspects
from hyssopring.jobs.fleet import Fleet, PlacedAttempt, Worker
from hyssopring.jobs.image_tolerance import ImageTolerance
from hyssopring.jobs.interference import InterferenceModel
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.job_times import CallerEstimates, JobTimeSource
from hyssopring.jobs.messages import JobsMessage, StartOrder
from hyssopring.jobs.model import JobState, TaskName
from hyssopring.jobs.move_targets import MoveTargets
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.pending_step import (
    PendingStep,
    list_pending_steps,
    pending_step_of,
)
from hyssopring.jobs.placement_round import PlacementRound
from hyssopring.jobs.shards import shard_of
from hyssopring.jobs.queue_waits import QueueWaitLog
from hyssopring.jobs.task_requirements import facts_of
from hyssopring.jobs.ticket_manager import TicketManager
from hyssopring.jobs.worker_use import WorkerUses
from hyssopring.logs import Event, log_event

__all__ = ('Send', 'StepPlanner')

# A job that has had no running task for this long gets one task started
# wherever there is capacity, even if the task interferes with others, so that
# no job starves. Users expect a start within 3 s; with a shorter limit, every
# queued job adds a task that interferes.
_STARVED_MS: Final = 2000.0

# The pause after a planning round, as a multiple of the round's duration. It
# leaves two thirds of the owner's time for reports, grants and callers,
# however long the queue. Without it, an owner with 0.5 cores and 340 jobs sent
# nothing to its 61 agents after a power failure.
_PLANNING_BACKOFF_FACTOR: Final = 2

# How long one state of the estimates decides where latency-critical tasks go.
_TOLERANCE_INTERVAL_MS: Final = 1000.0

Send = Callable[[str, JobsMessage], bool]


class StepPlanner:
    """Start the pending tasks of the owned shards.

    Attributes:
        interference: What the reports of all workers show of interference.
        job_times: Tells how long steps take.
        unplaced: Steps of which a task found no worker in the last planning
            round, with their jobs.
        fair_shares: The shares of groups of jobs; None if the deployment has
            none.
        slow_speed_by_boot: The relative speeds of workers that are chosen
            last because they are slow.
        move_targets: Room that is kept for tasks that are being moved.
        has_unplaced_tasks: Whether a task found no worker in the last round.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        fleet: Fleet,
        shards: OwnedShards,
        send: Send,
        may_act: Callable[[], bool],
        wall_ms: Callable[[], float],
        ticket_manager: TicketManager,
        suspects: CrashSuspects,
    ) -> None:
        """Start without a scheduled planning round.

        Args:
            send: Sends a message to an agent; False if it cannot be sent.
            may_act: Returns whether this owner may start tasks now.
            wall_ms: Returns the milliseconds since 1970.
        """
        self._reactor = reactor
        self._clock = clock
        self._fleet = fleet
        self._shards = shards
        self._send = send
        self._may_act = may_act
        self._wall_ms = wall_ms
        self._ticket_manager = ticket_manager
        self._suspects = suspects
        self.interference = InterferenceModel()
        self.fair_shares: FairShares | None = None
        self._tolerance = ImageTolerance(self.interference, ())
        self._tolerance_at_ms = -_TOLERANCE_INTERVAL_MS
        self._uses = WorkerUses()
        self._queue_waits = QueueWaitLog(clock)
        self.job_times: JobTimeSource = CallerEstimates()
        self.unplaced: list[tuple[JobRecord, StepRun]] = []
        self.slow_speed_by_boot: Mapping[str, float] = {}
        self.move_targets = MoveTargets()
        self.has_unplaced_tasks = False
        self._is_round_scheduled = False
        self._has_observed = False
        self._next_plan_at_ms = clock.now()

    def schedule_planning(self) -> None:
        """Schedule one planning round, as soon as the backoff allows.

        Each round visits all workers, so an entry that owns no shard plans
        only once more, to discard what it has observed.
        """
        is_needed = self._has_observed or self._shards.by_shard
        if is_needed and not self._is_round_scheduled:
            self._is_round_scheduled = True
            wait_ms = max(0, self._next_plan_at_ms - self._clock.now())
            self._reactor.callLater(
                wait_ms / MILLIS_PER_SECOND,
                self._plan_and_back_off,
            )

    def _plan_and_back_off(self) -> None:
        """Run a planning round and set the earliest time of the next one."""
        self._is_round_scheduled = False
        if not self._may_act():
            return
        started_at_ms = self._clock.now()
        self._plan()
        ended_at_ms = self._clock.now()
        self._next_plan_at_ms = ended_at_ms + _PLANNING_BACKOFF_FACTOR * (
            ended_at_ms - started_at_ms
        )

    def _plan(self) -> None:
        self._has_observed = bool(self._shards.by_shard)
        self.interference.observe_workers(
            self._fleet.by_agent.values(), self._clock.now()
        )
        self._suspects.check()
        self.unplaced.clear()
        self.has_unplaced_tasks = False
        live_jobs = self._shards.live_jobs()
        if self.fair_shares is not None:
            self.fair_shares.observe(live_jobs)
        pending_steps = list_pending_steps(
            live_jobs,
            self._shards,
            self._ticket_manager,
            self._wall_ms(),
            self.job_times,
            self.fair_shares,
        )
        if not pending_steps:
            self._record_scarcity(is_scarce=False)
            return
        placement = self.new_round()
        is_scarce = False
        for pending in pending_steps:
            if not self._place(placement, pending) and not is_scarce:
                is_scarce = self._is_short_of_room(placement, pending)
        self.has_unplaced_tasks = placement.has_rejected
        self._queue_waits.record_round(placement, pending_steps, live_jobs)
        self._record_scarcity(is_scarce=is_scarce)

    def _is_short_of_room(
        self, placement: PlacementRound, pending: PendingStep
    ) -> bool:
        """Return whether a batch or best-effort step waits for capacity."""
        if self.fair_shares is None or pending.run.step.is_keeper:
            return False
        return placement.is_short_of_room(
            pending.record.job.queue.service,
            pending.run.step,
            pending.ticket_by_boot,
        )

    def _record_scarcity(self, *, is_scarce: bool) -> None:
        if self.fair_shares is not None:
            self.fair_shares.is_scarce = is_scarce

    def available_workers(self) -> list[Worker]:
        """Return the workers on which any task may start now."""
        return self._suspects.available_workers(self._shards)

    def tolerance(self) -> ImageTolerance:
        """Return what latency-critical images tolerate, by recent estimates."""
        now_ms = self._clock.now()
        if now_ms - self._tolerance_at_ms >= _TOLERANCE_INTERVAL_MS:
            self._tolerance_at_ms = now_ms
            self._tolerance = ImageTolerance(
                self.interference, self.interference.best_effort_images()
            )
        return self._tolerance

    def new_round(self) -> PlacementRound:
        """Return a round of placement on the workers as they are now."""
        workers = self.available_workers()
        self._uses.retain(workers)
        placement = PlacementRound(
            workers,
            self.interference,
            self._fleet.recently_refusing(),
            self._uses,
            self.slow_speed_by_boot,
            self.tolerance(),
        )
        self.move_targets.reserve(placement)
        return placement

    def start_copy(
        self,
        placement: PlacementRound,
        record: JobRecord,
        run: StepRun,
        task_name: TaskName,
        boots: Collection[str],
    ) -> Worker | None:
        """Start a second attempt of a running task, if one has room.

        The caller has checked that exactly one attempt may run.

        Args:
            boots: Incarnations of workers to choose from.
        """
        pending = pending_step_of(
            record,
            run,
            set(),
            self._wall_ms(),
            self.job_times,
            self._ticket_manager,
        )
        if pending.ticket_by_boot is not None:
            boots = pending.ticket_by_boot.keys() & boots
        worker = placement.choose(
            record.job.queue.service,
            run.step,
            task_name,
            is_starved=False,
            allowed_boots=boots,
        )
        if worker is None:
            return None
        task_id = str(task_name)
        attempt = record.next_attempt(task_id)
        checkpoint = record.checkpoint_by_task.get(task_id, '')
        is_sent = self.start(pending, task_name, worker, attempt, checkpoint)
        return worker if is_sent else None

    def _place(self, placement: PlacementRound, pending: PendingStep) -> bool:
        """Start the tasks of a step as far as possible.

        Returns:
            False if a task found no worker.
        """
        record, run = pending.record, pending.run
        if pending.ticket_by_boot is not None:
            self._ticket_manager.schedule_check()
            if not pending.ticket_by_boot:
                return True
        if run.step.is_gang:
            self._place_gang(placement, pending)
            return True
        unsuspected, suspects = self._suspects.partition(
            record, pending.task_names()
        )
        is_starved = record.idle_ms(self._clock.now()) > _STARVED_MS
        is_placed = True
        for task_name in self.move_targets.reserved_first(
            placement, unsuspected
        ):
            is_placed = self._place_task(
                placement, pending, task_name, is_starved
            )
            if not is_placed:
                # No worker qualifies for the step's other tasks either.
                self.unplaced.append((record, run))
                break
            is_starved = False
        # Trials come last: each one excludes its worker from the round.
        for suspect in suspects:
            self._place_in_trial(placement, pending, suspect)
        return is_placed

    def _place_task(
        self,
        placement: PlacementRound,
        pending: PendingStep,
        task_name: TaskName,
        is_starved: bool,
    ) -> bool:
        """Start a task if possible.

        Returns:
            False if no worker qualifies, which holds for the step's other
            tasks as well. True also if the task was not started because its
            location cannot be recorded now.
        """
        record, task_id = pending.record, str(task_name)
        worker = self.move_targets.take(
            placement, task_name, pending.run.step, pending.ticket_by_boot
        ) or placement.choose(
            record.job.queue.service,
            pending.run.step,
            task_name,
            is_starved,
            pending.ticket_by_boot,
            pending.is_urgent,
        )
        if worker is None:
            return False
        if not self._is_location_recorded(pending, [task_name], [worker]):
            worker = self._recorded_worker(placement, pending, task_name)
        if worker is not None:
            attempt = record.next_attempt(task_id)
            checkpoint = record.checkpoint_by_task.get(task_id, '')
            self.start(pending, task_name, worker, attempt, checkpoint)
        return True

    def _recorded_worker(
        self,
        placement: PlacementRound,
        pending: PendingStep,
        task_name: TaskName,
    ) -> Worker | None:
        """Return a worker whose agent's row already lists a keeper's task.

        No row can be written while the roster backs off, so an ended task of a
        keeper can only restart where it ran.
        """
        owned = self._shards.by_shard[shard_of(task_name.job_id)]
        if not owned.roster.is_backing_off:
            return None
        boots = owned.locations.located_on(
            str(task_name), self._fleet.schedulable_workers()
        )
        if pending.ticket_by_boot is not None:
            boots &= pending.ticket_by_boot.keys()
        service = pending.record.job.queue.service
        return placement.choose(
            service,
            pending.run.step,
            task_name,
            is_starved=False,
            allowed_boots=boots,
        )

    def _place_in_trial(
        self,
        placement: PlacementRound,
        pending: PendingStep,
        task_name: TaskName,
    ) -> None:
        """Start a suspect in isolation, where a crash loses least."""
        record, task_id = pending.record, str(task_name)
        if not self._suspects.can_begin_trial(record, task_name):
            return
        worker = placement.choose_for_trial(
            record.job.queue.service,
            pending.run.step,
            task_name,
            self._suspects.agents_with_isolated_crashes(record, task_name),
            pending.ticket_by_boot,
        )
        if worker is None or not self._is_location_recorded(
            pending, [task_name], [worker]
        ):
            return
        attempt = record.next_attempt(task_id)
        checkpoint = record.checkpoint_by_task.get(task_id, '')
        self.start(
            pending, task_name, worker, attempt, checkpoint, is_trial=True
        )
        self._suspects.begin_trial(record, task_name, attempt, worker.agent_id)

    def _place_gang(
        self,
        placement: PlacementRound,
        pending: PendingStep,
    ) -> None:
        """Start all members of a gang or none: they only work together."""
        record, run = pending.record, pending.run
        if not run.is_gang_ready or len(pending.indices) < run.step.count:
            return
        task_names = list(record.job.tasks(run.occurrence, run.step_index))
        is_trial = self._suspects.needs_trial(record, task_names[0])
        if is_trial and not self._suspects.can_begin_trial(
            record, task_names[0]
        ):
            return
        workers = placement.choose_for_gang(
            record.job.queue.service,
            run.step,
            task_names,
            pending.ticket_by_boot,
        )
        if not workers or not self._is_location_recorded(
            pending, task_names, workers
        ):
            return
        attempt = record.next_gang_attempt(task_names)
        checkpoint = record.gang_checkpoint(task_names)
        for task_name, worker in zip(task_names, workers, strict=True):
            self.start(
                pending, task_name, worker, attempt, checkpoint, is_trial
            )
            if is_trial:
                placement.exclude(worker)
                self._suspects.begin_trial(
                    record, task_name, attempt, worker.agent_id
                )

    def _is_location_recorded(
        self,
        pending: PendingStep,
        task_names: list[TaskName],
        workers: list[Worker],
    ) -> bool:
        """Return whether the agents' rows list the tasks of a keeper.

        Otherwise write the rows, so that a later round can start the tasks.
        Without a row, the next owner could start a task a second time while
        it still runs beside an agent that this owner cannot reach.
        """
        if not pending.run.step.is_keeper:
            return True
        owned = self._shards.by_shard[shard_of(task_names[0].job_id)]
        located = [
            owned.locations.ensure_listed(worker.agent_id, [str(task_name)])
            for task_name, worker in zip(task_names, workers, strict=True)
        ]
        return all(located)

    def start(
        self,
        pending: PendingStep,
        task_name: TaskName,
        worker: Worker,
        attempt: int,
        checkpoint: str,
        is_trial: bool = False,
    ) -> bool:
        """Send a start to a worker's agent and record the attempt.

        Returns:
            False if it cannot be sent.
        """
        record, run = pending.record, pending.run
        task_id = str(task_name)
        owned = self._shards.by_shard[shard_of(task_name.job_id)]
        order = StartOrder(
            owned.shard,
            owned.epoch,
            worker.boot,
            record.job.payload,
            checkpoint,
            facts_of(task_id, attempt, run.step),
            worker.connection,
            pending.ticket_for(worker),
            is_trial,
        )
        if not self._send(worker.agent_id, order):
            return False
        worker.starts_sent += 1
        worker.placed_by_task[task_id] = PlacedAttempt(
            task_name,
            attempt,
            run.step,
            worker.boot,
            worker.starts_sent,
            self._clock.now(),
            checkpoint,
        )
        self._fleet.record_placement(worker, task_id)
        self.move_targets.forget(task_id)
        run.mark_running(task_name.index)
        if record.state is JobState.QUEUED:
            record.state = JobState.ACTIVE
        log_event(
            Event.TASK_PLACED,
            task=task_id,
            image=run.step.image,
            attempt=attempt,
            agent=worker.agent_id,
            resumed=bool(checkpoint),
            trial=is_trial,
            reign=owned.epoch,
            report_age_ms=int(self._clock.now() - worker.reported_at),
            grant_age_ms=int(self._clock.now() - worker.granted_at),
        )
        return True
