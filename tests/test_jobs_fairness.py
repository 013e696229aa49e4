"""Fair shares of an owner under bursts, in virtual time."""

from dataclasses import replace
from statistics import mean

import pytest

from hyssopring.jobs.model import JobState, Queue, Size
from hyssopring.logs import Event
from hyssopring.logs import _emit as emit
from tests.fairness_support import BURST, ROOM, SMALL, WIDE, ZONES, Burst

BURST_S = 6
WIDTHS = {'east': 4, 'north': 8, 'west': 12}


def zone_of(row):
    return row.zone


def queue_of(row):
    return row.job.queue.name


@pytest.fixture
def events(monkeypatch):
    """Return the list of the logged events with their fields."""
    found = []
    monkeypatch.setattr(
        emit,
        '_listeners',
        [lambda event, fields: found.append((event, fields))],
    )
    return found


def burst_of_one_zone(has_shares=True):
    burst = Burst(has_shares)
    rates = {'east': BURST, 'north': 0.2 * ROOM, 'west': 0.2 * ROOM}
    burst.play(BURST_S, rates, {'east': 6, 'north': 8, 'west': 8})
    return burst


def burst_of_all_zones(has_shares=True, **changes):
    """Return a burst in which zones differ by the size of their jobs only."""
    burst = Burst(has_shares)
    rates = dict.fromkeys(ZONES, BURST / 3)
    burst.play(BURST_S, rates, WIDTHS, **changes)
    return burst


def test_burst_of_one_zone_leaves_the_others_their_part():
    """Guards against a zone whose burst takes the others' room.

    Its many small jobs come first by their remaining work.
    """
    burst = burst_of_one_zone()
    burst.deployment.run(14)
    earned = burst.earned(zone_of)
    assert min(earned['north'], earned['west']) > 0.9
    # The burst loses no more than the room that the others take.
    alone = burst_of_one_zone(has_shares=False)
    alone.deployment.run(14)
    assert earned['east'] > 0.75 * alone.earned(zone_of)['east']


def test_worst_zone_gets_nearly_as_much_as_the_mean_zone():
    """Guards against a zone that waits because its jobs are larger."""
    burst = burst_of_all_zones()
    burst.deployment.run(14)
    earned = burst.earned(zone_of).values()
    assert min(earned) >= 0.9 * mean(earned)


def test_many_jobs_that_want_one_rack_leave_the_shares_as_they_are():
    burst = Burst()
    for number, worker in enumerate(burst.deployment.workers):
        worker.labels = ('a', f'r{number % 2}')
    burst.deployment.run(2)
    rates = dict.fromkeys(ZONES, BURST / 3)
    burst.play(BURST_S, rates, WIDTHS, rack='r1')
    used = burst.core_seconds(zone_of, burst.now_s - 5, burst.now_s)
    assert used.total() > 0.9 * 5 * ROOM * 1.8
    burst.deployment.run(14)
    earned = burst.earned(zone_of).values()
    assert min(earned) >= 0.9 * mean(earned)


def test_queue_that_floods_does_not_lower_another_kind():
    """Guards against a kind of request that another one of equal rank ousts."""
    flood, calm = replace(WIDE, name='flood'), replace(WIDE, name='calm')

    def play(has_shares):
        burst = Burst(has_shares)
        for _second in range(BURST_S):
            burst.submit('east', 10, calm)
            burst.submit('east', 2, SMALL)
            burst.play(1, {'east': BURST}, {'east': 4}, queue=flood)
        burst.deployment.run(16)
        return burst.earned(queue_of)

    before, after = play(has_shares=False), play(has_shares=True)
    assert before['calm'] < 0.5
    assert after['calm'] > 0.9
    assert min(after.values()) >= min(before.values())
    assert after['small'] >= before['small']


def test_largest_tenth_of_jobs_is_not_starved():
    """Guards against large jobs that end only once the queue is empty.

    All jobs are overdue, and the small ones go on to come.
    """

    def ends_of_largest(has_shares):
        burst = Burst(has_shares)
        hasty = Queue('hasty', 'service', 2, 4, 0.1, 0)
        large = []
        for _second in range(30):
            for index in range(10):
                width = 10 if index == 5 else 1
                job = burst.submit('east', width, hasty)
                if width > 1:
                    large.append(job.job_id)
            burst.play(1, {'east': 0.6 * ROOM}, {'east': 1}, queue=hasty)
        state_of = burst.owner.shards.state_of
        return sum(state_of(job) is JobState.COMPLETED for job in large)

    assert ends_of_largest(True) > 2 * ends_of_largest(False)


def test_dozens_of_cancelled_jobs_give_back_their_share():
    """Guards against a zone that waits for what its callers have cancelled.

    Its new job is larger than those of the other zone, which come first by
    their remaining work.
    """
    burst = Burst()
    cancelled = [burst.submit('east', 6).job_id for _job in range(16)]
    burst.deployment.run(0.9)
    for _job in range(4):
        burst.submit('north', 40)
    for job_id in cancelled:
        burst.owner.shards.cancel(job_id)
    late = burst.submit('east', 60)
    burst.deployment.run(2)
    record = burst.owner.shards.record_of(late.job_id)
    run = record.step_runs['0.0']
    assert len(run.running) + run.done.bit_count() > 0.3 * ROOM


def test_owner_that_loses_its_shard_limits_nobody():
    """Guards against a gauge that stays up at a former owner."""
    burst = burst_of_one_zone()
    shares = burst.owner.fair_shares
    assert shares.limited_groups
    burst.owner.drop(burst.owner.shards.by_shard[0])
    assert not shares.limited_groups


def starts_under_light_load(has_shares):
    burst = Burst(has_shares)
    rates = dict.fromkeys(ZONES, 0.2 * ROOM)
    burst.play(BURST_S, rates, WIDTHS)
    return burst.deployment.run_recorder.starts


def test_order_without_scarcity_is_as_before():
    """Guards against shares that change a deployment with enough room."""
    assert starts_under_light_load(True) == starts_under_light_load(False)


def test_job_that_no_worker_can_hold_makes_no_scarcity():
    """Guards against shares that stay in force for a job that never runs."""
    burst = Burst()
    burst.submit('east', 1, label='none')
    burst.submit('east', 1, size=Size(17_000, 100, 0))
    burst.submit('east', 9, max_per_worker=1)
    burst.deployment.run(0.5)
    assert not burst.owner.fair_shares.is_scarce
    burst.submit('east', 60)
    burst.deployment.run(0.5)
    assert burst.owner.fair_shares.is_scarce


def test_keepers_start_first_and_make_no_scarcity():
    """Guards against keepers that wait for shares, or that set them off."""
    burst = Burst()
    # Each keeper fills a worker, so that the last one waits.
    burst.submit('east', 5, size=Size(16_000, 100, 0), is_keeper=True)
    burst.deployment.run(1)
    assert not burst.owner.fair_shares.is_scarce
    burst = Burst()
    burst.play(2, {'east': BURST}, {'east': 6})
    keeper = burst.submit('east', 2, is_keeper=True)
    burst.submit('west', 20)
    burst.deployment.run(1.5)
    run = burst.owner.shards.record_of(keeper.job_id).step_runs['0.0']
    assert burst.owner.fair_shares.is_scarce
    assert len(run.running) == 2


def test_limits_are_logged_as_they_begin_and_end(events):
    """Guards against a line for each round, and limits that seem to last."""
    burst = burst_of_one_zone()
    burst.deployment.run(16)
    lines = [
        fields for event, fields in events if event is Event.SHARES_LIMITED
    ]
    assert 2 <= len(lines) <= 6
    begin, end = lines[0], lines[-1]
    assert begin['is_limited'] and begin['groups'] == 'wide/east'
    assert not end['is_limited'] and end['lasted_ms'] > 1000
    assert burst.owner.fair_shares.limited_groups == ()
