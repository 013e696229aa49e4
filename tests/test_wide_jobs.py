"""Wide best-effort jobs beside replicas of latency-critical jobs."""

from dataclasses import replace

import pytest

from bench.colocation_day import Day
from bench.colocation_load import REPLICATED_KEEPERS, SHARED_RESOURCES
from bench.colocation_score import Score
from hyssopring.jobs.scheduling_options import (
    FairnessOptions,
    LearningOptions,
    SchedulingOptions,
    StragglerOptions,
)

OPTIONS = SchedulingOptions(
    learning=LearningOptions(),
    fairness=FairnessOptions(),
    stragglers=StragglerOptions(),
)
LOAD = replace(
    REPLICATED_KEEPERS,
    workers=21,
    large=replace(REPLICATED_KEEPERS.large, per_s=0.475),
    small=replace(REPLICATED_KEEPERS.small, per_s=2.1),
)
# A deployment of 69 workers that loses all power once.
LARGE_LOAD = replace(
    SHARED_RESOURCES,
    workers=69,
    large=replace(SHARED_RESOURCES.large, per_s=1.56),
    small=replace(SHARED_RESOURCES.small, per_s=6.9),
    power_loss_s=30,
)
# The share of their credit that wide jobs must earn at least, by the sheet of
# the deployment on which they earned less.
FLOOR = 0.30
OWNER_LOSSES_S = (1.0, 11.0, 17.0)
RESTART_S = 2


class DayWithLostOwners(Day):
    """A day on which each owner is killed in turn, and restarted."""

    def __init__(self, seed, load=LOAD):
        super().__init__(seed, load, OPTIONS)
        self.lost = set()

    def _schedule_outages(self):
        super()._schedule_outages()
        for at_s in OWNER_LOSSES_S:
            self.deployment.reactor.callLater(at_s, self._kill_owner)

    def _kill_owner(self):
        owner = next(
            name
            for name, entry in self.deployment.entries.items()
            if name not in self.lost and entry.core.owner.shards.loaded_shards()
        )
        self.lost.add(owner)
        self.deployment.kill_entry(owner)
        self.deployment.reactor.callLater(RESTART_S, self._restart, owner)

    def _restart(self, name):
        self.deployment.start_entry(name)
        self.lost.discard(name)

    def _submit(self, job):
        entries = self.deployment.entries
        self.deployment.entries = {
            name: entry
            for name, entry in entries.items()
            if name not in self.lost
        }
        super()._submit(job)
        self.deployment.entries = entries


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_wide_jobs_reach_their_floor_beside_replicas(seed):
    """Guards against wide jobs whose tasks stay throttled or find no worker."""
    day = DayWithLostOwners(seed).play()
    assert not day.deployment.run_recorder.broken
    assert Score.from_day(day).large >= FLOOR


@pytest.mark.parametrize('seed', [4, 8, 10])
def test_wide_jobs_reach_their_floor_where_images_share_resources(seed):
    """Guards against workers whose mixed keepers tolerate no wide job."""
    day = DayWithLostOwners(seed, LARGE_LOAD).play()
    assert not day.deployment.run_recorder.broken
    assert Score.from_day(day).large >= FLOOR
