"""Detection of keepers' tasks that do not run, and of what prevents them."""

import enum
from collections import defaultdict
from dataclasses import dataclass
from typing import Callable, Final, Iterable, Iterator, Mapping

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.crash_suspects import CrashSuspects
from hyssopring.jobs.fleet import Fleet, PlacedAttempt, Worker
from hyssopring.jobs.interference import InterferenceModel
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.model import Step, TaskName
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.placement_option import PlacementOption
from hyssopring.jobs.shards import shard_of
from hyssopring.jobs.step_impact import RoundEstimates
from hyssopring.jobs.ticket_manager import TicketManager
from hyssopring.logs import Event, log_event

__all__ = ('KeeperWaitMonitor', 'WaitReason')

_CHECK_INTERVAL_MS: Final = MILLIS_PER_SECOND
# A task that has not run for this long is logged; an ordinary restart takes a
# few planning rounds.
_LONG_WAIT_MS: Final = 3 * MILLIS_PER_SECOND
_LOG_INTERVAL_MS: Final = 5 * MILLIS_PER_SECOND
# After a loss of many workers, all tasks wait for the same few reasons.
_MAX_LINES: Final = 20
_MAX_AGENTS: Final = 5


class WaitReason(enum.Enum):
    """What prevents a keeper's task from running.

    NO_AUTHORITY: This owner may not start tasks: the store does not answer.
    NOT_DURABLE: The task's location cannot be written yet: writes of the shard
        are paused after a failed one.
    UNHEARD: An unreachable agent may still run the task.
    TRIAL: The task is a crash suspect and waits for a worker for its trial.
    NO_TICKET: The advice service has approved no worker yet.
    NO_WORKER: No worker of the service accepts tasks.
    NO_LABEL: No such worker has the required label.
    NO_ROOM: No such worker has enough free capacity.
    WORKER_LIMIT: All such workers have reached the step's limit per worker.
    EVACUATED: The workers on which the task could start are in evacuated
        availability zones, or the evacuated zones are not known yet.
    UNCONFIRMED: The start was sent, and no report has listed the task.
    STOPPING: An attempt is being stopped.
    NEXT_ROUND: Nothing: the next planning round places the task.
    UNACCOUNTED: The task is neither pending nor placed, which is a fault.
    """

    NO_AUTHORITY = 'no-authority'
    NOT_DURABLE = 'not-durable'
    UNHEARD = 'unheard'
    TRIAL = 'trial'
    NO_TICKET = 'no-ticket'
    NO_WORKER = 'no-worker'
    NO_LABEL = 'no-label'
    NO_ROOM = 'no-room'
    WORKER_LIMIT = 'worker-limit'
    EVACUATED = 'evacuated'
    UNCONFIRMED = 'unconfirmed'
    STOPPING = 'stopping'
    NEXT_ROUND = 'next-round'
    UNACCOUNTED = 'unaccounted'


@dataclass(frozen=True, slots=True)
class _Obstacle:
    """What prevents a task from running.

    Attributes:
        agents: IDs of the agents involved.
        remaining_ms: How much longer it lasts at most, 0 if unknown.
    """

    reason: WaitReason
    agents: tuple[str, ...] = ()
    remaining_ms: float = 0


@dataclass(slots=True)
class _Wait:
    """Since when a task does not run, and when that was last logged."""

    since_ms: float
    logged_at_ms: float | None = None


@dataclass(frozen=True, slots=True)
class _RunKey:
    """A job, and a step of one of its occurrences."""

    job_id: str
    run_name: str

    @classmethod
    def from_task_name(cls, task_name: TaskName) -> '_RunKey':
        return cls(task_name.job_id, f'{task_name.occurrence}.{task_name.step}')


@dataclass(frozen=True, slots=True)
class _Placement:
    """An attempt of a keeper's task, and its worker."""

    worker: Worker
    placed: PlacedAttempt

    @property
    def is_running(self) -> bool:
        """Return whether a report lists the attempt, and it is not stopping."""
        return self.placed.report_count > 0 and not self.placed.is_stopping


@dataclass(frozen=True, slots=True)
class _MissingTask:
    """A keeper's task that is not known to run."""

    record: JobRecord
    run: StepRun
    task_name: TaskName
    placement: _Placement | None


class KeeperWaitMonitor:
    """Check the tasks of all keepers of the owned shards every second.

    Attributes:
        waiting_count: How many tasks have not run for a long time.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        shards: OwnedShards,
        may_act: Callable[[], bool],
        ticket_manager: TicketManager,
        suspects: CrashSuspects,
    ) -> None:
        """Start with no missing task.

        Args:
            may_act: Returns whether this owner may start tasks now.
        """
        self._clock = clock
        self._fleet = fleet
        self._shards = shards
        self._may_act = may_act
        self._ticket_manager = ticket_manager
        self._suspects = suspects
        self._checked_at_ms = clock.now()
        self._wait_by_task: dict[str, _Wait] = {}
        self.waiting_count = 0

    def check(self) -> None:
        """Check all keepers' tasks if the check is due; call regularly."""
        now_ms = self._clock.now()
        if now_ms - self._checked_at_ms < _CHECK_INTERVAL_MS:
            return
        self._checked_at_ms = now_ms
        missing_by_task = {
            str(missing.task_name): missing for missing in self._missing()
        }
        for task in self._wait_by_task.keys() - missing_by_task.keys():
            self._wait_by_task.pop(task)
        for task in missing_by_task:
            self._wait_by_task.setdefault(task, _Wait(now_ms))
        long_wait_by_task = {
            task: wait
            for task, wait in self._wait_by_task.items()
            if now_ms - wait.since_ms >= _LONG_WAIT_MS
        }
        self.waiting_count = len(long_wait_by_task)
        due_tasks = [
            task
            for task, wait in long_wait_by_task.items()
            if wait.logged_at_ms is None
            or now_ms - wait.logged_at_ms >= _LOG_INTERVAL_MS
        ]
        for due_task in due_tasks[:_MAX_LINES]:
            self._log(
                missing_by_task[due_task], long_wait_by_task[due_task], now_ms
            )

    def _log(self, missing: _MissingTask, wait: _Wait, now_ms: float) -> None:
        wait.logged_at_ms = now_ms
        obstacle = self._obstacle(missing)
        log_event(
            Event.TASK_WAITING,
            task=str(missing.task_name),
            waited_ms=int(now_ms - wait.since_ms),
            reason=obstacle.reason.value,
            agents=' '.join(obstacle.agents[:_MAX_AGENTS]),
            count=len(obstacle.agents),
            left_ms=int(obstacle.remaining_ms),
            waiting=self.waiting_count,
        )

    def _missing(self) -> Iterator[_MissingTask]:
        """Yield the keepers' tasks that no report lists as running."""
        placements_by_run = self._placements_by_run()
        for record in self._shards.live_jobs():
            if not record.job.is_keeper:
                continue
            for run in record.ready_runs():
                if run.step.is_keeper:
                    run_key = _RunKey(record.job.job_id, run.name)
                    yield from _missing_of(
                        record, run, placements_by_run[run_key]
                    )

    def _placements_by_run(self) -> dict[_RunKey, dict[int, _Placement]]:
        """Return the placements of keepers' tasks, by their index."""
        by_run: dict[_RunKey, dict[int, _Placement]] = defaultdict(dict)
        for worker in self._fleet.by_agent.values():
            for placed in worker.placed_by_task.values():
                if placed.step.is_keeper:
                    run_key = _RunKey.from_task_name(placed.name)
                    by_run[run_key][placed.name.index] = _Placement(
                        worker, placed
                    )
        return by_run

    def _obstacle(self, missing: _MissingTask) -> _Obstacle:
        """Return the first obstacle, in the order in which tasks start."""
        placement = missing.placement
        if placement is not None:
            reason = WaitReason.UNCONFIRMED
            if placement.placed.is_stopping:
                reason = WaitReason.STOPPING
            return _Obstacle(reason, (placement.worker.agent_id,))
        if missing.task_name.index not in missing.run.waiting:
            return _Obstacle(WaitReason.UNACCOUNTED)
        if not self._may_act():
            return _Obstacle(WaitReason.NO_AUTHORITY)
        return self._start_obstacle(missing) or _Obstacle(
            self._placement_obstacle(missing)
        )

    def _start_obstacle(self, missing: _MissingTask) -> _Obstacle | None:
        """Return why the task may not start on any worker, None if it may."""
        record, task_name = missing.record, missing.task_name
        owned = self._shards.by_shard[shard_of(task_name.job_id)]
        if task_name.index not in owned.startable(record, missing.run):
            agents = tuple(sorted(owned.possible_agents(task_name)))
            waits_ms = map(owned.wait_ms, agents)
            return _Obstacle(
                WaitReason.UNHEARD, agents, max(waits_ms, default=0)
            )
        if owned.roster.is_backing_off:
            return _Obstacle(WaitReason.NOT_DURABLE)
        if self._suspects.needs_trial(record, task_name):
            trial_agents = tuple(sorted(self._suspects.trial_agents))
            return _Obstacle(WaitReason.TRIAL, trial_agents)
        tickets = self._ticket_manager.valid_tickets(record, missing.run)
        if tickets is not None and not tickets:
            return _Obstacle(WaitReason.NO_TICKET)
        return None

    def _placement_obstacle(self, missing: _MissingTask) -> WaitReason:
        """Return why no worker is chosen for a task that may start."""
        workers = self._suspects.available_workers(self._shards)
        reason = self._unmet_condition(missing, workers)
        if reason is WaitReason.NEXT_ROUND:
            return reason
        evacuated_workers = self._fleet.evacuated_workers()
        with_evacuated = self._unmet_condition(missing, evacuated_workers)
        if with_evacuated is WaitReason.NEXT_ROUND:
            return WaitReason.EVACUATED
        return reason

    def _unmet_condition(
        self, missing: _MissingTask, workers: Iterable[Worker]
    ) -> WaitReason:
        """Return the first condition that none of the workers meets."""
        service = missing.record.job.queue.service
        tickets = self._ticket_manager.valid_tickets(
            missing.record, missing.run
        )
        estimates = RoundEstimates(InterferenceModel())
        options = [
            PlacementOption.from_worker(worker, estimates)
            for worker in workers
            if worker.service == service
            and (tickets is None or worker.boot in tickets)
        ]
        return _unmet_condition(options, missing.run.step, missing.task_name)


def _missing_of(
    record: JobRecord,
    run: StepRun,
    placement_by_index: Mapping[int, _Placement],
) -> Iterator[_MissingTask]:
    for index in range(run.step.count):
        placement = placement_by_index.get(index)
        if placement is None or not placement.is_running:
            task_name = run.task(record.job.job_id, index)
            yield _MissingTask(record, run, task_name, placement)


def _unmet_condition(
    options: list[PlacementOption],
    step: Step,
    task_name: TaskName,
) -> WaitReason:
    """Return the first condition that no worker meets."""
    if not options:
        return WaitReason.NO_WORKER
    labelled = [option for option in options if option.has_label(step)]
    if not labelled:
        return WaitReason.NO_LABEL
    with_capacity = [
        option
        for option in labelled
        if option.has_capacity(step, is_starved=True)
    ]
    if not with_capacity:
        return WaitReason.NO_ROOM
    if any(
        option.is_below_worker_limit(step, task_name)
        for option in with_capacity
    ):
        return WaitReason.NEXT_ROUND
    return WaitReason.WORKER_LIMIT
