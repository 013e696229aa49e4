"""Mechanisms of colocation, each switched off or changed by itself."""

from functools import partial
from typing import Callable, Final
from unittest.mock import patch

from hyssopring.jobs import (
    interference,
    moves,
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


def _set(owner, name, value) -> Change:
    return partial(patch.object, owner, name, value)


def _unlearned(_harms, _keeper, _filler) -> InterferenceEstimate:
    return _UNKNOWN


def _asked(placed) -> float:
    return placed.step.size.cpu_millis * max(placed.pace, 0) / 100


def _by_age(record, run, wall_ms) -> Urgency:
    """First come, first served within a queue's priority."""
    priority = -1 if run.step.is_keeper else record.job.queue.priority
    return Urgency(priority, 0, record.accepted_ms)


def _by_deadline(record, run, wall_ms) -> Urgency:
    priority = -1 if run.step.is_keeper else record.job.queue.priority
    return Urgency(priority, 0, record.deadline(run.occurrence))


def _by_work(record, run, wall_ms) -> Urgency:
    """By the work that is left, whether a job can still be in time or not."""
    priority = -1 if run.step.is_keeper else record.job.queue.priority
    return Urgency(priority, 0, record.work_left())


def _never_strained(_fillers, _keepers) -> bool:
    return False


def _keep_paces(_pacer, _fillers, _keepers) -> None:
    """Leave all paces as they are."""


def _anywhere(option, step, is_starved) -> bool:
    return step.reserved_size.fits_in(option.free)


def _no_relief(_moves, _takers) -> None:
    """Move nothing."""


_NO_PACE: Final = _set(pacing.Pacer, '_update_paces', _keep_paces)

VARIANTS_BY_NAME: Final[dict[str, tuple[Change, ...]]] = {
    AS_IT_IS: (),
    'no control': (
        _NO_PACE,
        _set(placement_option.PlacementOption, 'has_capacity', _anywhere),
    ),
    'no pace': (_NO_PACE,),
    'no headroom kept at placement': (
        _set(
            placement_option.PlacementOption,
            '_leaves_headroom',
            lambda _option, _step: True,
        ),
    ),
    'nothing learned': (_set(InterferenceModel, 'per_core', _unlearned),),
    'no strained rule': (
        _set(placement_option, '_is_interference_high', _never_strained),
    ),
    'no starved rule': (_set(planning, '_STARVED_MS', _NEVER_MS),),
    'no relief': (_set(moves.TaskMoves, 'relieve', _no_relief),),
    'first come first served': (_set(planning, 'urgency', _by_age),),
    'by deadline': (_set(planning, 'urgency', _by_deadline),),
    'by work left alone': (_set(planning, 'urgency', _by_work),),
    'keepers anywhere': (
        _set(placement_option, '_LATENCY_CRITICAL_PACKING_BONUS', 0),
        _set(placement_option, '_BEST_EFFORT_NEIGHBOR_PENALTY', 0),
    ),
    'fillers counted by what they ask for': (
        _set(PlacedAttempt, 'cpu_in_use', property(_asked)),
        _set(
            PlacedAttempt,
            'cpu_at_full_pace',
            property(lambda placed: placed.step.size.cpu_millis),
        ),
    ),
    'keepers use three quarters': (
        _set(placement_option, '_UNUSED_RESERVATION_SHARE', 0.25),
    ),
    'paces cut late': (
        _set(pacing, '_THROTTLING_HEADROOM', 1.05),
        _set(pacing, '_TARGET_HEADROOM', 1.3),
    ),
}
