"""Notices lasting tasks that do not run, and says what keeps them from it."""

import enum
from collections import defaultdict
from dataclasses import dataclass
from typing import Callable, Final, Iterator, Mapping

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.ticket_manager import TicketManager
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.fleet import Fleet, PlacedAttempt, Worker
from hyssopring.jobs.interference import InterferenceModel
from hyssopring.jobs.model import Step, TaskName
from hyssopring.jobs.placement_option import PlacementOption
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.shards import shard_of
from hyssopring.jobs.crash_suspects import CrashSuspects
from hyssopring.logs import Event, log_event

__all__ = ('KeeperWaitMonitor', 'WaitReason')

_LOOK_MS: Final = MILLIS_PER_SECOND
# A lasting task that runs nowhere for this long is worth a line: the ordinary
# restart takes a few planning rounds.
_LONG_MS: Final = 3 * MILLIS_PER_SECOND
_REPEAT_MS: Final = 5 * MILLIS_PER_SECOND
# After a loss of many workers all lasting tasks wait for the same few reasons.
_MOST_LINES: Final = 20
_MOST_AGENTS: Final = 5


class WaitReason(enum.Enum):
    """What keeps a lasting task from running.

    NO_AUTHORITY: This owner may not order: the store does not answer it.
    NOT_DURABLE: Where it is to run cannot be written: the store fails.
    UNHEARD: An agent that is away may still run the task.
    TRIAL: A suspect waits for a worker that may be spared.
    NO_TICKET: The advice service has allowed no worker yet.
    NO_WORKER: No worker of its service takes tasks.
    NO_LABEL: None of them has the label that it needs.
    NO_ROOM: None of those has room.
    WORKER_LIMIT: Each of those has as many tasks of the step as it may.
    UNCONFIRMED: It was ordered, and no report has named it.
    STOPPING: An attempt is to stop, and has not ended.
    NEXT_ROUND: Nothing: the next planning round places it.
    UNACCOUNTED: It neither waits nor is placed, which must not be.
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
    UNCONFIRMED = 'unconfirmed'
    STOPPING = 'stopping'
    NEXT_ROUND = 'next-round'
    UNACCOUNTED = 'unaccounted'


@dataclass(frozen=True, slots=True)
class _Obstacle:
    """A reason, the agents that it is about, and how long it may last."""

    reason: WaitReason
    agents: tuple[str, ...] = ()
    left_ms: float = 0


@dataclass(slots=True)
class _Wait:
    """Since when a task does not run, and when that was last logged."""

    since: float
    logged_at: float | None = None


@dataclass(frozen=True, slots=True)
class _RunKey:
    """A job and a step of one of its occurrences."""

    job_id: str
    run: str

    @classmethod
    def of_task(cls, name: TaskName) -> '_RunKey':
        return cls(name.job_id, f'{name.occurrence}.{name.step}')


@dataclass(frozen=True, slots=True)
class _Order:
    """An attempt of a lasting task, and the worker that it was sent to."""

    worker: Worker
    placed: PlacedAttempt

    @property
    def is_running(self) -> bool:
        """Whether a report has named it, and it is not to stop."""
        return self.placed.reports > 0 and not self.placed.is_stopping


@dataclass(frozen=True, slots=True)
class _Absent:
    """A lasting task that is not known to run, and its order if any."""

    record: JobRecord
    run: StepRun
    name: TaskName
    order: _Order | None


class KeeperWaitMonitor:
    """Looks each second at the lasting tasks of all owned shards.

    Attributes:
        waiting: How many have not run for a long time.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        shards: OwnedShards,
        may_act: Callable[[], bool],
        advice: TicketManager,
        suspects: CrashSuspects,
    ) -> None:
        """Begin with no task that waits."""
        self._clock = clock
        self._fleet = fleet
        self._shards = shards
        self._may_act = may_act
        self._advice = advice
        self._suspects = suspects
        self._looked_at = clock.now()
        self._wait_by_task: dict[str, _Wait] = {}
        self.waiting = 0

    def check(self) -> None:
        """Look at all lasting tasks, if it is time to; call regularly."""
        now = self._clock.now()
        if now - self._looked_at < _LOOK_MS:
            return
        self._looked_at = now
        absent_by_task = {str(each.name): each for each in self._absent()}
        for task in self._wait_by_task.keys() - absent_by_task.keys():
            self._wait_by_task.pop(task)
        for task in absent_by_task:
            self._wait_by_task.setdefault(task, _Wait(now))
        long = {
            task: wait
            for task, wait in self._wait_by_task.items()
            if now - wait.since >= _LONG_MS
        }
        self.waiting = len(long)
        due = [
            task
            for task, wait in long.items()
            if wait.logged_at is None or now - wait.logged_at >= _REPEAT_MS
        ]
        for due_task in due[:_MOST_LINES]:
            self._log(absent_by_task[due_task], long[due_task], now)

    def _log(self, absent: _Absent, wait: _Wait, now: float) -> None:
        wait.logged_at = now
        obstacle = self._obstacle(absent)
        log_event(
            Event.TASK_WAITING,
            task=str(absent.name),
            waited_ms=int(now - wait.since),
            reason=obstacle.reason.value,
            agents=' '.join(obstacle.agents[:_MOST_AGENTS]),
            count=len(obstacle.agents),
            left_ms=int(obstacle.left_ms),
            waiting=self.waiting,
        )

    def _absent(self) -> Iterator[_Absent]:
        """Yield the lasting tasks that wait, or of which no report tells."""
        orders_by_run = self._orders_by_run()
        for record in self._shards.live_jobs():
            if not record.job.is_keeper:
                continue
            for run in record.ready_runs():
                if run.step.is_keeper:
                    key = _RunKey(record.job.job_id, run.name)
                    yield from _absent_of(record, run, orders_by_run[key])

    def _orders_by_run(self) -> dict[_RunKey, dict[int, _Order]]:
        """Return where lasting tasks were ordered, by their index."""
        by_run: dict[_RunKey, dict[int, _Order]] = defaultdict(dict)
        for worker in self._fleet.by_agent.values():
            for placed in worker.placed_by_task.values():
                if placed.step.is_keeper:
                    key = _RunKey.of_task(placed.name)
                    by_run[key][placed.name.index] = _Order(worker, placed)
        return by_run

    def _obstacle(self, absent: _Absent) -> _Obstacle:
        """Return what is in the way of a task, the first thing first."""
        order = absent.order
        if order is not None:
            reason = WaitReason.UNCONFIRMED
            if order.placed.is_stopping:
                reason = WaitReason.STOPPING
            return _Obstacle(reason, (order.worker.agent_id,))
        if absent.name.index not in absent.run.waiting:
            return _Obstacle(WaitReason.UNACCOUNTED)
        if not self._may_act():
            return _Obstacle(WaitReason.NO_AUTHORITY)
        return self._unstartable(absent) or _Obstacle(self._unplaced(absent))

    def _unstartable(self, absent: _Absent) -> _Obstacle | None:
        record, name = absent.record, absent.name
        owned = self._shards.by_shard[shard_of(name.job_id)]
        if name.index not in owned.startable(record, absent.run):
            agents = tuple(sorted(owned.possible_agents(name)))
            left = map(owned.wait_ms, agents)
            return _Obstacle(WaitReason.UNHEARD, agents, max(left, default=0))
        if owned.roster.is_failing:
            return _Obstacle(WaitReason.NOT_DURABLE)
        if self._suspects.needs_trial(record, name):
            trials = tuple(sorted(self._suspects.agents))
            return _Obstacle(WaitReason.TRIAL, trials)
        tickets = self._advice.permitted(record, absent.run)
        if tickets is not None and not tickets:
            return _Obstacle(WaitReason.NO_TICKET)
        return None

    def _unplaced(self, absent: _Absent) -> WaitReason:
        """Return why no worker is chosen."""
        service = absent.record.job.queue.service
        tickets = self._advice.permitted(absent.record, absent.run)
        harms = InterferenceModel()
        options = [
            PlacementOption.from_worker(worker, harms)
            for worker in self._suspects.spared(self._shards)
            if worker.service == service
            and (tickets is None or worker.boot in tickets)
        ]
        return _objection(options, absent.run.step, absent.name)


def _absent_of(
    record: JobRecord,
    run: StepRun,
    order_by_index: Mapping[int, _Order],
) -> Iterator[_Absent]:
    for index in range(run.step.count):
        order = order_by_index.get(index)
        if order is None or not order.is_running:
            name = run.task(record.job.job_id, index)
            yield _Absent(record, run, name, order)


def _objection(
    options: list[PlacementOption],
    step: Step,
    name: TaskName,
) -> WaitReason:
    """Return which condition leaves no worker."""
    if not options:
        return WaitReason.NO_WORKER
    labelled = [option for option in options if option.has_label(step)]
    if not labelled:
        return WaitReason.NO_LABEL
    roomy = [
        option for option in labelled if option.allows(step, is_starved=True)
    ]
    if not roomy:
        return WaitReason.NO_ROOM
    if any(option.permits(step, name) for option in roomy):
        return WaitReason.NEXT_ROUND
    return WaitReason.WORKER_LIMIT
