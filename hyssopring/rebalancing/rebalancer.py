"""Moves of keepers' tasks: when they are decided, and what they wait for."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Callable, Final

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.fleet import Fleet, Worker
from hyssopring.jobs.move_targets import MoveTarget
from hyssopring.jobs.owned_shard import OwnedShard
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.planning import StepPlanner
from hyssopring.jobs.scheduling_options import RebalancingOptions
from hyssopring.jobs.stop_marks import mark_stopping
from hyssopring.jobs.ticket_manager import TicketManager
from hyssopring.logs import Event, log_event
from hyssopring.rebalancing.decisions import (
    choose_crowded_moves,
    choose_evacuations,
)
from hyssopring.rebalancing.keeper_table import StepKey, list_steps, step_key
from hyssopring.rebalancing.move_room import MoveRoom
from hyssopring.rebalancing.move_times import MoveTimes
from hyssopring.rebalancing.moves import Move, MoveReason, StepKeepers

__all__ = ('Rebalancer',)

_CHECK_INTERVAL_MS: Final = MILLIS_PER_SECOND
# A task that has not started elsewhere for this long after its stop was ordered
# is planned as any other: a stop, a start and a write take under 3 s.
_MAX_MOVE_MS: Final = 15 * MILLIS_PER_SECOND

Stop = Callable[[OwnedShard, Worker, str, int], None]


@dataclass(frozen=True, slots=True)
class _StoppedMove:
    """A task whose stop was ordered and that is not at work again.

    Attributes:
        attempt: The attempt that was stopped.
    """

    owned: OwnedShard
    step_key: StepKey
    task: str
    attempt: int
    stopped_at_ms: float


class Rebalancer:
    """Stop keepers' tasks that have certain room on a better worker.

    The row of the target's agent lists a task before the task is stopped, and
    its room is kept until it starts: with the store away, the task can still
    start there.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        shards: OwnedShards,
        planner: StepPlanner,
        ticket_manager: TicketManager,
        stop: Stop,
        options: RebalancingOptions,
    ) -> None:
        """Start without moves.

        Args:
            stop: Sends the stop of an attempt of a task to its worker's agent.
        """
        self._clock = clock
        self._fleet = fleet
        self._shards = shards
        self._planner = planner
        self._targets = planner.move_targets
        self._ticket_manager = ticket_manager
        self._stop = stop
        self._options = options
        self._times = MoveTimes(options.move_interval_ms)
        self._prepared_by_task: dict[str, OwnedShard] = {}
        self._stopped_by_task: dict[str, _StoppedMove] = {}
        self._next_check_at_ms = clock.now()

    def tick(self, may_act: bool) -> None:
        """Decide moves if a check is due; call a few times a second.

        Args:
            may_act: Whether the owner may start and stop tasks now.
        """
        now_ms = self._clock.now()
        if now_ms < self._next_check_at_ms:
            return
        self._next_check_at_ms = now_ms + _CHECK_INTERVAL_MS
        self._times.update(self._shards, now_ms)
        steps = list_steps(self._fleet, self._shards)
        self._end_moves(steps, now_ms)
        prepared_targets = self._drop_prepared()
        if may_act and steps:
            for move in self._decide(steps, prepared_targets, now_ms):
                self._advance(move, now_ms)
        self._unlist(prepared_targets)

    def _decide(
        self,
        steps: dict[StepKey, StepKeepers],
        prepared_targets: dict[str, tuple[OwnedShard, MoveTarget]],
        now_ms: float,
    ) -> list[Move]:
        moving_keys = {move.step_key for move in self._stopped_by_task.values()}
        for key in moving_keys & steps.keys():
            steps[key].is_moving = True
        evacuated_boots = {
            worker.boot for worker in self._fleet.evacuated_workers()
        }
        room = MoveRoom(
            self._planner.new_round(),
            self._ticket_manager,
            {task: target for task, (_, target) in prepared_targets.items()},
        )
        moves = choose_evacuations(steps.values(), evacuated_boots, room)
        if not self._options.moves_to_fresh_workers:
            return moves
        if moves or self._stopped_by_task:
            # Measurements do not show yet what the moves under way change.
            return moves
        return choose_crowded_moves(
            steps.values(),
            self._planner.available_workers(),
            room,
            lambda step, task: self._times.may_move(step, task, now_ms),
            self._planner.has_unplaced_tasks,
        )

    def _advance(self, move: Move, now_ms: float) -> None:
        """Stop a task if its target's row lists it; else write the row."""
        owned, task = move.step.owned, move.keeper.task
        name = move.keeper.placed.name
        agent_id = move.target.agent_id
        self._targets.by_task[task] = MoveTarget(
            name,
            move.step.run.step,
            move.step.record.job.queue.service,
            move.target.boot,
        )
        owned.locations.target_agent_by_task[task] = agent_id
        if not owned.locations.ensure_listed(agent_id, [task]):
            self._prepared_by_task[task] = owned
            return
        attempt = move.keeper.placed.attempt
        self._stopped_by_task[task] = _StoppedMove(
            owned, step_key(name), task, attempt, now_ms
        )
        self._times.record(task, now_ms)
        self._order_stop(move)

    def _order_stop(self, move: Move) -> None:
        placed, source = move.keeper.placed, move.keeper.worker
        log_event(
            Event.TASK_MOVED,
            task=move.keeper.task,
            attempt=placed.attempt,
            agent=source.agent_id,
            zone=source.zone,
            why=move.why.value,
            target=move.target.agent_id,
        )
        mark_stopping(placed, source, _REASON_TEXTS[move.why])
        self._stop(move.step.owned, source, move.keeper.task, placed.attempt)

    def _drop_prepared(self) -> dict[str, tuple[OwnedShard, MoveTarget]]:
        """Give back the room of tasks that were not stopped yet."""
        dropped = {}
        for task, owned in self._prepared_by_task.items():
            target = self._targets.by_task.pop(task, None)
            if target is not None:
                dropped[task] = (owned, target)
        self._prepared_by_task = {}
        return dropped

    def _unlist(
        self, prepared_targets: dict[str, tuple[OwnedShard, MoveTarget]]
    ) -> None:
        """Stop listing tasks at agents to which they do not move any more."""
        for task, (owned, _target) in prepared_targets.items():
            if task not in self._targets.by_task:
                owned.locations.target_agent_by_task.pop(task, None)

    def _end_moves(
        self, steps: dict[StepKey, StepKeepers], now_ms: float
    ) -> None:
        for task, move in list(self._stopped_by_task.items()):
            is_late = now_ms - move.stopped_at_ms > _MAX_MOVE_MS
            is_back = _is_back(move, steps.get(move.step_key))
            if is_late or is_back or not self._is_wanted(move):
                self._stopped_by_task.pop(task)
                self._targets.forget(task)
                move.owned.locations.target_agent_by_task.pop(task, None)

    def _is_wanted(self, move: _StoppedMove) -> bool:
        """Return whether the shard is owned and the job has not ended."""
        owned = move.owned
        if self._shards.by_shard.get(owned.shard) is not owned:
            return False
        record = self._shards.record_of(move.step_key[0])
        return record is not None and record.final_state is None


def _is_back(move: _StoppedMove, step: StepKeepers | None) -> bool:
    """Return whether a later attempt of a moved task is at work."""
    return step is not None and any(
        keeper.task == move.task
        and keeper.placed.attempt > move.attempt
        and keeper.is_at_work
        for keeper in step.tasks
    )


_REASON_TEXTS: Final = MappingProxyType(
    {
        MoveReason.EVACUATED: 'its availability zone is evacuated',
        MoveReason.CROWDED: 'keepers on the worker are near their targets',
    }
)
