"""Who learns of an evacuation when processes or the store fail."""

from dataclasses import replace

from hyssopring.jobs.evacuation_messages import EvacuatedZone, EvacuationNotice
from hyssopring.jobs.messages import RUNNING_HERE, StartOrder
from evacuation_support import (
    BOUND_S,
    end_evacuation,
    evacuate,
    now_s,
    refusals,
    starts_in,
    submit_jobs,
    zoned,
)


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
