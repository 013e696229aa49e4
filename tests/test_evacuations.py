"""No task starts in an evacuated availability zone."""

from dataclasses import replace

import pytest

from hyssopring.jobs.evacuation_messages import EvacuatedZone, EvacuationNotice
from hyssopring.jobs.keeper_waits import WaitReason
from hyssopring.jobs.messages import RUNNING_HERE, StartOrder
from hyssopring.jobs.model import AttemptEnd, JobState
from hyssopring.jobs.rows import RowKey, RowPut, Transaction
from hyssopring.logs import Event, _emit, listen_to_events
from standins.jobs.deployment import Deployment, a_job, settled

ZONES = ('zone-a', 'zone-b', 'zone-c')
# Time after the store's response within which an evacuation is in force.
BOUND_S = 5.0
CONFIGURATION = '{"version": 1, "routes": []}'


@pytest.fixture
def log_lines():
    """Return the events logged during the test, with their fields."""
    lines = []

    def record(event, fields):
        lines.append({'event': event, **fields})

    listen_to_events(record)
    yield lines
    _emit._listeners.remove(record)


def row_key(zone):
    return RowKey('op', '', f'evacuate/{zone}')


def evacuate(deployment, *zones, text='{}'):
    puts = tuple(RowPut(row_key(zone), text) for zone in zones)
    deployment.rows.apply(Transaction(puts=puts))


def end_evacuation(deployment, *zones):
    removals = tuple(row_key(zone) for zone in zones)
    deployment.rows.apply(Transaction(removals=removals))


def zoned(workers=6, **options):
    deployment = Deployment(workers=workers, zones=ZONES, **options)
    configuration = RowPut(RowKey('op', '', 'config'), CONFIGURATION)
    deployment.rows.apply(Transaction(puts=(configuration,)))
    return settled(deployment)


def starts_in(deployment, zones, since_s=0.0):
    """Return the starts on the workers of some zones, from a time on."""
    return [
        start
        for start in deployment.run_recorder.starts
        if start[0] >= since_s
        and deployment.zone_by_agent[start[1].replace('worker', 'agent')]
        in zones
    ]


def submit_jobs(deployment, numbers, **changes):
    entry = next(
        name for name, entry in deployment.entries.items() if entry.is_alive
    )
    for number in numbers:
        deployment.submit(a_job(number, ((6, ()),), **changes), entry)


def now_s(deployment):
    return deployment.reactor.seconds()


def refusals(log_lines):
    return [line for line in log_lines if line['event'] is Event.TASK_REFUSED]


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


def test_owner_that_the_store_rejects_learns_of_it_from_others(log_lines):
    """Guards against starts by an owner that does not see the row."""
    deployment = zoned()
    deployment.rows.rejected_clients.add(deployment.owner)
    evacuate(deployment, 'zone-a')
    written_at_s = now_s(deployment)
    deployment.run(BOUND_S)
    submit_jobs(deployment, range(1, 6))
    deployment.run(8)
    assert not starts_in(deployment, {'zone-a'}, written_at_s + BOUND_S)
    assert not refusals(log_lines)


def test_task_that_runs_in_an_evacuated_zone_is_not_refused(log_lines):
    """Guards against a second run elsewhere of a task that runs there."""
    deployment = zoned(work_ms=lambda task: 20_000)
    submit_jobs(deployment, [1])
    deployment.run(1)
    evacuate(deployment, 'zone-a')
    deployment.run(0.5)
    agent = deployment.agents['agent-0']
    attempt = next(iter(agent.core.table.by_task.values()))
    owner = deployment.entries[deployment.owner].core
    order = StartOrder(
        attempt.shard,
        owner.owner.shards.by_shard[attempt.shard].epoch,
        agent.core.monitor.boot,
        'x',
        '',
        replace(attempt.facts, attempt=attempt.number + 1),
        owner.fleet.by_agent['agent-0'].connection,
    )
    agent.core.handle_message(order, deployment.owner)
    assert [line['reason'] for line in refusals(log_lines)] == [RUNNING_HERE]


def test_agent_refuses_starts_of_an_owner_that_does_not_know():
    """Guards against an owner that is cut off from store and peers."""
    deployment = zoned()
    owner = deployment.entries[deployment.owner]
    owner.core.evacuations.handle_notice = lambda notice, peer_id: None
    owner.has_peers = False
    deployment.rows.rejected_clients.add(deployment.owner)
    evacuate(deployment, 'zone-a')
    deployment.run(0.5)
    known_at_s = now_s(deployment)
    submit_jobs(deployment, range(1, 6))
    deployment.run(2)
    assert not owner.core.evacuations.known.zones
    assert not starts_in(deployment, {'zone-a'}, known_at_s)


def test_owner_learns_of_it_from_an_agent_that_refuses():
    """Guards against an owner that sends refused starts for ever."""
    deployment = zoned()
    owner = deployment.entries[deployment.owner]
    deployment.rows.is_silent = True
    agent = deployment.agents['agent-0']
    notice = EvacuationNotice(10**6, [EvacuatedZone('zone-a', 0)])
    for name in ('agent-0', 'agent-3'):
        deployment.agents[name].core.own_zone.evacuations.apply(notice)
    deployment.rows.is_silent = False
    submit_jobs(deployment, range(1, 6))
    deployment.run(3)
    assert agent.core.own_zone.is_evacuated
    assert not starts_in(deployment, {'zone-a'})
    assert owner.core.evacuations.known.zones == {'zone-a'}


def test_evacuation_while_the_owner_changes():
    """Guards against a new owner that does not know of the evacuation."""
    deployment = zoned()
    deployment.kill_entry(deployment.owner)
    evacuate(deployment, 'zone-a')
    written_at_s = now_s(deployment)
    submit_jobs(deployment, range(1, 6))
    deployment.run(15)
    assert deployment.run_recorder.starts
    assert not starts_in(deployment, {'zone-a'}, written_at_s + BOUND_S)


def test_entries_that_restart_all_together_know_it_before_they_plan():
    """Guards against starts between a takeover and the first read."""
    deployment = zoned()
    evacuate(deployment, 'zone-a')
    deployment.run(1)
    for name in list(deployment.entries):
        deployment.kill_entry(name)
    for name, worker in enumerate(deployment.workers):
        deployment.kill_agent(f'agent-{name}')
        deployment.start_agent(f'agent-{name}', worker)
    for name in list(deployment.entries):
        deployment.start_entry(name)
    submit_jobs(deployment, range(1, 6))
    deployment.run(15)
    assert deployment.run_recorder.starts
    assert not starts_in(deployment, {'zone-a'})


def test_nothing_starts_before_the_evacuations_are_known():
    """Guards against an entry that plans while its first read fails."""
    deployment = zoned()
    evacuations = deployment.entries[deployment.owner].core.evacuations
    evacuations.known._version = -1
    submit_jobs(deployment, [1])
    deployment.run(1)
    assert not deployment.run_recorder.starts
    evacuations.apply_stored(deployment.rows.version, ())
    deployment.run(1)
    assert deployment.run_recorder.starts


def test_entry_that_starts_while_the_store_rejects_it_may_plan():
    """Guards against an owner that starts nothing, as it has read nothing.

    A peer makes its calls, so that it may own shards.
    """
    deployment = zoned()
    name = deployment.owner
    deployment.rows.rejected_clients.add(name)
    deployment.kill_entry(name)
    deployment.start_entry(name)
    deployment.run(3)
    assert deployment.entries[name].core.evacuations.known.is_known


def test_evacuation_after_the_store_has_dropped_its_history():
    """Guards against changes that a follower misses for good."""
    deployment = zoned()
    deployment.rows.is_down = True
    deployment.run(0.5)
    evacuate(deployment, 'zone-a')
    deployment.rows.forget_history()
    deployment.rows.is_down = False
    deployment.run(2)
    submit_jobs(deployment, range(1, 6))
    deployment.run(5)
    assert not starts_in(deployment, {'zone-a'})


def test_end_of_an_evacuation_in_a_dropped_history():
    """Guards against a zone that stays evacuated as its end was missed."""
    deployment = zoned()
    evacuate(deployment, 'zone-a')
    deployment.run(1)
    deployment.rows.is_down = True
    deployment.run(0.5)
    end_evacuation(deployment, 'zone-a')
    deployment.rows.forget_history()
    deployment.rows.is_down = False
    deployment.run(2)
    submit_jobs(deployment, range(1, 6))
    deployment.run(5)
    assert starts_in(deployment, {'zone-a'})


def test_older_versions_do_not_end_an_evacuation():
    """Guards against a stale read and a peer that is behind."""
    deployment = zoned()
    stale_version = deployment.rows.version
    evacuate(deployment, 'zone-a')
    deployment.run(1)
    for entry in deployment.entries.values():
        entry.core.evacuations.apply_stored(stale_version, ())
        entry.core.handle_message(
            EvacuationNotice(stale_version, []), 'agent-0'
        )
    for agent in deployment.agents.values():
        agent.core.handle_message(
            EvacuationNotice(stale_version, []), 'entry-0'
        )
    submit_jobs(deployment, range(1, 6))
    deployment.run(5)
    assert not starts_in(deployment, {'zone-a'})


def test_agent_that_missed_the_end_is_corrected():
    """Guards against an agent that refuses starts after a long cut."""
    deployment = zoned()
    evacuate(deployment, 'zone-a')
    deployment.run(1)
    deployment.cut_off('agent-0')
    end_evacuation(deployment, 'zone-a')
    deployment.run(1)
    assert deployment.agents['agent-0'].core.own_zone.is_evacuated
    deployment.heal('agent-0')
    deployment.run(1)
    assert not deployment.agents['agent-0'].core.own_zone.is_evacuated


def test_agent_that_restarts_is_told():
    """Guards against an agent that starts during an evacuation."""
    deployment = zoned()
    evacuate(deployment, 'zone-a')
    deployment.run(1)
    deployment.kill_agent('agent-0')
    deployment.start_agent('agent-0', deployment.workers[0])
    deployment.run(0.5)
    assert deployment.agents['agent-0'].core.own_zone.is_evacuated


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
