"""Validated settings of the optional parts of scheduling.

A part is on if the file has its object, which may be empty.
"""

from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field

from hyssopring.jobs.scheduling_options import (
    FairnessOptions,
    LearningOptions,
    RebalancingOptions,
    SchedulingOptions,
    StragglerOptions,
)

__all__ = (
    'FairnessSettings',
    'LearningSettings',
    'RebalancingSettings',
    'SchedulingSettings',
    'StragglerSettings',
)

_Options = TypeVar('_Options')
_Weight = Annotated[float, Field(gt=0, le=1000)]


class _Strict(BaseModel):
    model_config = ConfigDict(
        extra='forbid',
        strict=True,
        frozen=True,
        allow_inf_nan=False,
    )


class LearningSettings(_Strict):
    """How an owner keeps what it has learned for the next owner."""

    save_interval_ms: Annotated[
        float,
        Field(
            ge=500,
            le=60_000,
            description='Shortest time between two writes of the summary.',
        ),
    ] = LearningOptions().save_interval_ms


class FairnessSettings(_Strict):
    """The shares of queues while tasks wait for capacity."""

    weight_by_queue: Annotated[
        dict[str, _Weight],
        Field(description='Weights of queues by name; others weigh 1.'),
    ] = {}


class StragglerSettings(_Strict):
    """How slow runs and slow workers are handled."""

    max_copies_share: Annotated[
        float,
        Field(
            ge=0,
            le=0.5,
            description=(
                'Share of the cores of running batch tasks that copies may '
                'use at most.'
            ),
        ),
    ] = StragglerOptions().max_copies_share
    slow_speed: Annotated[
        float,
        Field(
            gt=0,
            lt=1,
            description='Relative speed below which a worker counts as slow.',
        ),
    ] = StragglerOptions().slow_speed


class RebalancingSettings(_Strict):
    """When running tasks are moved or preempted."""

    move_interval_ms: Annotated[
        float,
        Field(
            ge=1000,
            le=3_600_000,
            description='Shortest time between two moves of a task.',
        ),
    ] = RebalancingOptions().move_interval_ms
    moves_to_fresh_workers: Annotated[
        bool,
        Field(
            description=(
                'Whether lasting tasks leave crowded workers, too, and not '
                'only evacuated zones.'
            ),
        ),
    ] = RebalancingOptions().moves_to_fresh_workers


class SchedulingSettings(_Strict):
    """The optional parts of scheduling; one without an object is off."""

    learning: LearningSettings | None = None
    # Accepted for files of the releases that had it; see ``unused_keys``.
    admission: dict[str, Any] | None = None
    fairness: FairnessSettings | None = None
    stragglers: StragglerSettings | None = None
    rebalancing: RebalancingSettings | None = None

    def unused_keys(self) -> tuple[str, ...]:
        """Return the keys of the file that this release does not use."""
        return () if self.admission is None else ('admission',)

    def to_options(self) -> SchedulingOptions:
        """Return the options for the entry's core."""
        return SchedulingOptions(
            _options(self.learning, LearningOptions),
            _options(self.fairness, FairnessOptions),
            _options(self.stragglers, StragglerOptions),
            _options(self.rebalancing, RebalancingOptions),
        )


def _options(
    settings: BaseModel | None, options_class: type[_Options]
) -> _Options | None:
    """Return a part's options, whose fields are named like its settings."""
    if settings is None:
        return None
    return options_class(**settings.model_dump())
