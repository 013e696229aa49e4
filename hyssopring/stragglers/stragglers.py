"""Copies of straggling tasks, and what follows from workers' speeds."""

from typing import Final

from hyssopring.clock import Clock
from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.planning import StepPlanner
from hyssopring.jobs.scheduling_options import StragglerOptions
from hyssopring.stragglers.copier import Copier
from hyssopring.stragglers.progress_table import ProgressTable
from hyssopring.stragglers.run_time_source import RunTimeSource
from hyssopring.stragglers.slow_moves import SlowMoves, Stop
from hyssopring.stragglers.slow_set import SlowSet

__all__ = ('Stragglers',)

# Reports come each 500 ms; more frequent checks would see nothing new.
_INTERVAL_MS: Final = 350.0
# Checks use at most this share of the owner's time: with thousands of running
# tasks they become less frequent.
_MAX_TIME_SHARE: Final = 0.01


class Stragglers:
    """Check the running tasks of the owned shards a few times a second."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        shards: OwnedShards,
        planner: StepPlanner,
        run_times: RunTimeSource,
        stop: Stop,
        options: StragglerOptions,
    ) -> None:
        """Start without knowledge of tasks and workers.

        Args:
            stop: Sends the stop of an attempt of a task to its worker's agent.
        """
        self._clock = clock
        self._fleet = fleet
        self._planner = planner
        self._table = ProgressTable(clock, fleet, shards, run_times)
        self._slow_set = SlowSet(clock, options.slow_speed)
        self._copier = Copier(
            clock, fleet, shards, planner, options.max_copies_share
        )
        self._moves = SlowMoves(clock, shards, planner, stop)
        self._next_check_at_ms = clock.now()

    @property
    def copy_count(self) -> int:
        """The number of copies that ran at the last check."""
        return self._copier.running_count

    @property
    def slow_count(self) -> int:
        """The number of workers that count as slow."""
        return len(self._slow_set.speed_by_boot)

    def tick(self, may_act: bool) -> None:
        """Check the running tasks if a check is due.

        Args:
            may_act: Whether the owner may start and stop tasks now.
        """
        now_ms = self._clock.now()
        if now_ms < self._next_check_at_ms:
            return
        self._check(may_act)
        duration_ms = self._clock.now() - now_ms
        self._next_check_at_ms = now_ms + max(
            _INTERVAL_MS, duration_ms / _MAX_TIME_SHARE
        )

    def _check(self, may_act: bool) -> None:
        self._table.update()
        self._slow_set.update(
            self._fleet.by_agent.values(), self._table.samples
        )
        speed_by_boot = self._slow_set.speed_by_boot
        self._planner.slow_speed_by_boot = speed_by_boot
        if may_act:
            self._copier.copy(self._table, speed_by_boot)
            self._moves.move(self._table, speed_by_boot)
