"""Variants of colocation with one mechanism disabled or changed."""

from functools import partial
from typing import Callable, Final
from unittest.mock import patch

from hyssopring.jobs import (
    interference,
    task_mover,
    placement_option,
    pacing,
    planning,
)
from hyssopring.jobs.fleet import PlacedAttempt
from hyssopring.jobs.interference import InterferenceEstimate, InterferenceModel
from hyssopring.jobs.urgency import Urgency

Change = Callable[[], object]

AS_IT_IS: Final = 'as it is'
_NEVER_MS: Final = 1e9
_UNKNOWN: Final = interference._UNKNOWN_PAIR


def _patch(owner, name, value) -> Change:
    return partial(patch.object, owner, name, value)


def _unknown_estimate(_model, _keeper, _filler) -> InterferenceEstimate:
    return _UNKNOWN


def _reserved_cpu(placed) -> float:
    return placed.step.size.cpu_millis * max(placed.pace, 0) / 100


def _urgency_by_age(record, run, wall_ms, _job_times) -> Urgency:
    """Order by acceptance time within the priority of the queue."""
    priority = -1 if run.step.is_keeper else record.job.queue.priority
    return Urgency(priority, 0, record.accepted_ms)


def _urgency_by_deadline(record, run, wall_ms, _job_times) -> Urgency:
    priority = -1 if run.step.is_keeper else record.job.queue.priority
    return Urgency(priority, 0, record.deadline(run.occurrence))


def _urgency_by_work(record, run, wall_ms, _job_times) -> Urgency:
    """Order by remaining work, also for jobs that are late already."""
    priority = -1 if run.step.is_keeper else record.job.queue.priority
    return Urgency(priority, 0, record.work_left())


def _never_high(_fillers, _keepers) -> bool:
    return False


def _skip_pace_update(_pacer, _fillers, _keepers) -> None:
    """Leave the processor shares of all tasks unchanged."""


def _fits(option, step, is_starved) -> bool:
    return step.reserved_size.fits_in(option.free)


def _skip_relief(_moves, _workers) -> None:
    """Move no tasks."""


_NO_THROTTLING: Final = _patch(pacing.Pacer, '_update_paces', _skip_pace_update)

VARIANTS_BY_NAME: Final[dict[str, tuple[Change, ...]]] = {
    AS_IT_IS: (),
    'no control': (
        _NO_THROTTLING,
        _patch(placement_option.PlacementOption, 'has_capacity', _fits),
    ),
    'no pace': (_NO_THROTTLING,),
    'no headroom kept at placement': (
        _patch(
            placement_option.PlacementOption,
            '_leaves_headroom',
            lambda _option, _step: True,
        ),
    ),
    'nothing learned': (
        _patch(InterferenceModel, 'per_core', _unknown_estimate),
    ),
    'no strained rule': (
        _patch(placement_option, '_is_interference_high', _never_high),
    ),
    'no starved rule': (_patch(planning, '_STARVED_MS', _NEVER_MS),),
    'no relief': (
        _patch(task_mover.TaskMover, 'move_throttled_tasks', _skip_relief),
    ),
    'first come first served': (_patch(planning, 'urgency', _urgency_by_age),),
    'by deadline': (_patch(planning, 'urgency', _urgency_by_deadline),),
    'by work left alone': (_patch(planning, 'urgency', _urgency_by_work),),
    'keepers anywhere': (
        _patch(placement_option, '_LATENCY_CRITICAL_PACKING_BONUS', 0),
        _patch(placement_option, '_BEST_EFFORT_NEIGHBOR_PENALTY', 0),
    ),
    'fillers counted by what they ask for': (
        _patch(PlacedAttempt, 'cpu_used_millis', property(_reserved_cpu)),
        _patch(
            PlacedAttempt,
            'cpu_at_full_pace',
            property(lambda placed: placed.step.size.cpu_millis),
        ),
    ),
    'keepers use three quarters': (
        _patch(placement_option, '_UNUSED_RESERVATION_SHARE', 0.25),
    ),
    'paces cut late': (
        _patch(pacing, '_THROTTLING_HEADROOM', 1.05),
        _patch(pacing, '_TARGET_HEADROOM', 1.3),
    ),
}
