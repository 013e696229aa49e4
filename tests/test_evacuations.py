"""No task starts in an evacuated availability zone."""

import pytest

from hyssopring.jobs.keeper_waits import WaitReason
from hyssopring.jobs.model import AttemptEnd, JobState
from hyssopring.jobs.rows import RowKey, RowPut, Transaction
from hyssopring.logs import Event
from standins.jobs.deployment import a_job
from evacuation_support import (
    ZONES,
    end_evacuation,
    evacuate,
    now_s,
    refusals,
    starts_in,
    submit_jobs,
    zoned,
)


def test_no_task_starts_in_an_evacuated_zone(log_lines):
    """Guards against an evacuation that the planner does not read."""
    deployment = zoned()
    evacuate(deployment, 'zone-a')
    deployment.run(0.2)
    submit_jobs(deployment, range(1, 6))
    deployment.run(10)
    assert not starts_in(deployment, {'zone-a'})
    assert starts_in(deployment, {'zone-b'})
    assert starts_in(deployment, {'zone-c'})
    assert not refusals(log_lines)


def test_tasks_start_there_again_once_the_row_is_removed():
    """Guards against a zone that stays empty after its evacuation."""
    deployment = zoned()
    evacuate(deployment, 'zone-a')
    deployment.run(1)
    end_evacuation(deployment, 'zone-a')
    deployment.run(0.2)
    submit_jobs(deployment, range(1, 6))
    deployment.run(5)
    assert starts_in(deployment, {'zone-a'})


def test_zone_is_evacuated_again_after_its_row_was_removed():
    """Guards against changes in quick succession that are taken for one."""
    deployment = zoned()
    for _again in range(3):
        evacuate(deployment, 'zone-a')
        end_evacuation(deployment, 'zone-a')
    evacuate(deployment, 'zone-a')
    deployment.run(0.2)
    submit_jobs(deployment, range(1, 6))
    deployment.run(5)
    assert not starts_in(deployment, {'zone-a'})


def test_running_tasks_are_not_stopped():
    """Guards against an evacuation that ends work in a zone that works."""
    deployment = zoned(work_ms=lambda task: 4000)
    submit_jobs(deployment, [1])
    submit_jobs(deployment, [2], is_keeper=True, max_unavailable=1)
    deployment.run(1)
    assert starts_in(deployment, {'zone-a'})
    evacuate(deployment, 'zone-a')
    deployment.run(8)
    assert not [
        end
        for end in deployment.run_recorder.ends
        if end[3] is AttemptEnd.STOPPED
    ]
    assert deployment.state(a_job(1).job_id) is JobState.COMPLETED


def test_keeper_that_ends_there_starts_in_another_zone():
    """Guards against keepers that wait for their evacuated worker."""
    deployment = zoned()
    submit_jobs(deployment, [2], is_keeper=True)
    deployment.run(1)
    evacuate(deployment, 'zone-a')
    deployment.run(1)
    evacuated_at_s = now_s(deployment)
    for number in (0, 3):
        deployment.workers[number].crash()
    deployment.run(12)
    running = [
        task for task, boots in deployment.run_recorder.running.items() if boots
    ]
    assert len(running) == 6
    assert not starts_in(deployment, {'zone-a'}, evacuated_at_s)


def test_start_is_not_repeated_after_the_evacuation():
    """Guards against retries of a start that the worker did not answer."""
    deployment = zoned()
    worker = deployment.workers[0]
    for other in deployment.workers[1:]:
        other.is_leaving = True
    deployment.run(2)
    worker.is_unresponsive = True
    submit_jobs(deployment, [1])
    deployment.run(0.1)
    evacuate(deployment, 'zone-a')
    deployment.run(0.5)
    worker.is_unresponsive = False
    known_at_s = now_s(deployment)
    deployment.run(5)
    assert not starts_in(deployment, {'zone-a'}, known_at_s)


def test_unknown_zone_and_unreadable_rows_disturb_nothing(log_lines):
    """Guards against rows that stop the others from being followed."""
    deployment = zoned()
    evacuate(deployment, 'zone-x')
    evacuate(deployment, '')
    evacuate(deployment, 'zone-a', text='\x80 not an object')
    deployment.run(1)
    evacuate(deployment, 'zone-b')
    deployment.run(1)
    submit_jobs(deployment, range(1, 6))
    deployment.run(5)
    assert not starts_in(deployment, {'zone-a', 'zone-b'})
    assert starts_in(deployment, {'zone-c'})
    peers = [
        line['peer']
        for line in log_lines
        if line['event'] == Event.PEER_ERROR and line['peer'].startswith('op/')
    ]
    # Each of the three entries logs each row once.
    assert sorted(peers) == sorted(
        ['op/evacuate/', 'op/evacuate/zone-a', 'op/evacuate/zone-x'] * 3
    )


def test_jobs_wait_while_all_zones_are_evacuated():
    """Guards against work that is lost or started when no zone is left."""
    deployment = zoned()
    evacuate(deployment, *ZONES)
    deployment.run(0.5)
    submit_jobs(deployment, [1, 2])
    deployment.run(8)
    assert not deployment.run_recorder.starts
    assert deployment.state(a_job(1).job_id) is JobState.QUEUED
    end_evacuation(deployment, 'zone-b')
    deployment.run(8)
    assert deployment.state(a_job(1).job_id) is JobState.COMPLETED
    assert not starts_in(deployment, {'zone-a', 'zone-c'})


def test_keeper_without_a_zone_says_so_in_the_log(log_lines):
    """Guards against a keeper that waits without a logged reason."""
    deployment = zoned()
    evacuate(deployment, *ZONES)
    deployment.run(0.5)
    submit_jobs(deployment, [1], is_keeper=True)
    deployment.run(6)
    reasons = {
        line['reason']
        for line in log_lines
        if line['event'] == Event.TASK_WAITING
    }
    assert reasons == {WaitReason.EVACUATED.value}


def test_other_rows_of_the_operator_are_no_evacuations():
    """Guards against a wave of upkeep that is taken for an evacuation."""
    deployment = zoned()
    wave = RowPut(RowKey('op', '', 'wave/1'), '{"wave": 1, "machines": []}')
    deployment.rows.apply(Transaction(puts=(wave,)))
    evacuate(deployment, 'zone-a')
    deployment.run(0.5)
    for entry in deployment.entries.values():
        assert entry.core.evacuations.known.zones == {'zone-a'}


@pytest.mark.parametrize('seed', range(4))
def test_begin_and_end_are_logged_with_their_age(seed, log_lines):
    """Guards against an evacuation that leaves no trace."""
    deployment = zoned()
    evacuate(deployment, 'zone-a')
    deployment.run(2 + seed)
    end_evacuation(deployment, 'zone-a')
    deployment.run(0.5)
    logged = [
        (line['event'], line['age_ms'] // 1000)
        for line in log_lines
        if line['event']
        in {
            Event.EVACUATION_BEGUN,
            Event.EVACUATION_IN_FORCE,
            Event.EVACUATION_ENDED,
        }
    ]
    assert logged.count((Event.EVACUATION_BEGUN, 0)) == 3
    assert logged.count((Event.EVACUATION_IN_FORCE, 0)) == 2
    assert logged.count((Event.EVACUATION_ENDED, 1 + seed)) == 5 or (
        logged.count((Event.EVACUATION_ENDED, 2 + seed)) == 5
    )
