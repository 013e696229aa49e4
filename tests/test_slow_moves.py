"""Stops of tasks on very slow workers: how often, and by which owner."""

from types import SimpleNamespace

import pytest

from hyssopring.clock import ManualClock
from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.model import Size, Step, TaskName
from hyssopring.jobs.shards import shard_of
from hyssopring.jobs.workers import PlacedAttempt
from hyssopring.stragglers.outliers import RunEvidence
from hyssopring.stragglers.slow_moves import SlowMoves

STEP = Step(1, Size(1000, 1000, 0), 10_000, saves=True)
NAME = TaskName(f'{1:016x}', 0, 0, 0)
WORKER = Worker('agent', 'zone')


class Table(list):
    """Attempts that have done a tenth of ten seconds of work."""

    def evidence_of(self, _tracked):
        return RunEvidence(7000, 6000, 0.1, 10_000, None, 10_000)


class Owner:
    """An owner's view of one task on a slow worker."""

    def __init__(self):
        self.clock = ManualClock(1000)
        self.owned = SimpleNamespace(shard=0, epoch=1)
        self.planner = SimpleNamespace(
            has_unplaced_tasks=False,
            new_round=lambda: SimpleNamespace(choose=self._choose),
            available_workers=lambda: [],
        )
        self.has_room = True
        self.stops = []
        self.moves = SlowMoves(
            self.clock,
            SimpleNamespace(by_shard={shard_of(NAME.job_id): self.owned}),
            self.planner,
            lambda owned, worker, task, attempt: self.stops.append(attempt),
        )

    def move(self, attempt, after_ms, speed=0.14):
        self.clock.advance(after_ms)
        placed = PlacedAttempt(NAME, attempt, STEP, 'slow', 1, 0)
        tracked = SimpleNamespace(
            placed=placed, run=SimpleNamespace(step=STEP), worker=WORKER
        )
        self.moves.move(Table([tracked]), {'slow': speed})
        return self.stops

    def _choose(self, *_given, **_named):
        return WORKER if self.has_room else None


@pytest.fixture
def owner():
    """Return an owner that may stop tasks."""
    owner = Owner()
    owner.move(1, 0)
    owner.clock.advance(10_000)
    return owner


def test_a_new_owner_stops_nothing_at_first():
    owner = Owner()
    owner.move(1, 0)
    assert not owner.move(1, 9999)
    assert owner.move(1, 1) == [1]


def test_a_new_epoch_of_the_same_owner_counts_as_new(owner):
    owner.owned.epoch = 2
    assert not owner.move(1, 0)


def test_a_task_is_not_stopped_twice_within_ten_seconds(owner):
    assert owner.move(1, 0) == [1]
    assert owner.move(2, 9000) == [1]
    assert owner.move(2, 1000) == [1, 2]


def test_nothing_is_stopped_without_room_elsewhere(owner):
    owner.has_room = False
    assert not owner.move(1, 0)


def test_nothing_is_stopped_while_tasks_wait(owner):
    owner.planner.has_unplaced_tasks = True
    assert not owner.move(1, 0)


def test_only_very_slow_workers_lose_tasks(owner):
    assert not owner.move(1, 0, speed=0.31)
