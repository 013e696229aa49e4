"""Discovery: subsets, replaced entries, silent links, duplicate ids, backoff."""

import json
import random
import statistics

import pytest

from hyssopring.clock import ManualClock
from hyssopring.membership import EntryDirectory, heartbeat_interval_ms
from hyssopring.membership.subset import FULL_MESH, choose_entries
from hyssopring.protocol.messages import EntryMember
from standins.virtual import BALANCER, VirtualBackend, VirtualDeployment

ZONES = [f'zone-{number}' for number in range(7)]
SIZE = {'cores': 1.0, 'memory_gb': 2.0}


def members(count):
    return [
        EntryMember(f'entry-{n}', f'10.0.0.{n}:1', ZONES[n % 7])
        for n in range(count)
    ]


def subsets(entries, agents=1000):
    return [
        {each.entry_id for each in choose_entries(f'agent-{n}', entries)}
        for n in range(agents)
    ]


def test_subset_is_even_spread_over_zones_and_moves_little():
    entries = members(60)
    assert subsets(entries[:FULL_MESH])[0] == {e.entry_id for e in entries[:12]}
    before = subsets(entries)
    zone_of = {entry.entry_id: entry.zone for entry in entries}
    for subset in before:
        zones = [zone_of[entry_id] for entry_id in subset]
        assert len(subset) == FULL_MESH
        assert max(zones.count(zone) for zone in ZONES) <= 2
    taken = [sum(e.entry_id in s for s in before) for e in entries]
    assert max(taken) < 1.3 * statistics.mean(taken)
    after = subsets(entries[:30] + entries[31:])
    for old, new in zip(before, after):
        moved = 1 if 'entry-30' in old else 0
        assert len(old - new) <= 2 * moved and len(new - old) <= 2 * moved


def connected(agent):
    return sorted(agent.core.directory.connected)


@pytest.mark.parametrize('is_store_down', [False, True])
def test_agents_follow_when_all_entries_are_replaced(is_store_down):
    """Guards against entries that reach no backend after all were replaced.

    Every entry is replaced by a new one with another address. With the store
    down none of them can register, so no list contains them. The agents
    reach one through the load balancer and report the others to it.
    """
    deployment = VirtualDeployment(entries=3, agents=3, seeds=[BALANCER])
    for number in range(3):
        backend = VirtualBackend(deployment.loop, f'b{number}', 'trust/booking')
        deployment.agent(number).add_backend(backend)
    deployment.run(20_000)
    for key, document in (
        ('template/booking', {'kind': 'service', 'size': SIZE}),
        ('parameters/trust/booking', {}),
    ):
        deployment.configure(key, json.dumps(document))
        deployment.run(500)
    assert connected(deployment.agent()) == ['entry-0', 'entry-1', 'entry-2']
    deployment.table.outage = is_store_down
    for number in range(3):
        deployment.kill_entry(number)
        deployment.add_entry(number + 10, 'paddock')
        deployment.run(20_000)
    new_entries = ['entry-10', 'entry-11', 'entry-12']
    for agent in deployment.agent_by_name.values():
        assert connected(agent) == new_entries
        assert agent.core.configuration.version == 2
    for number in (10, 11, 12):
        asked = deployment.call(entry=number)
        deployment.run(200)
        assert deployment.answer(asked).status == 200
    deployment.run(30_000)
    addresses = {m.address for m in deployment.agent().core.directory.members}
    assert addresses == set(new_entries)


@pytest.mark.parametrize('silent', ['is_silent_to_agent', 'is_silent_to_entry'])
def test_half_open_connection_is_found_by_both_ends_and_replaced(silent):
    """Guards against a backend without calls although its agent is connected.

    A device between the two ends drops the connection in one direction.
    Neither end is notified, while new connections work.
    """
    deployment = VirtualDeployment(entries=1, agents=1)
    deployment.run(3000)
    old = deployment.agent().link_by_entry['entry-0']
    setattr(old, silent, True)
    deployment.run(6000)
    assert not old.is_open_at_agent and not old.is_open_at_entry
    assert connected(deployment.agent()) == ['entry-0']
    assert len(deployment.entry().core.fleet) == 1


def test_two_agents_with_one_id_do_not_keep_ending_each_others_calls():
    """Guards against calls to a VM that fail several times a second.

    By mistake two VMs have the same agent id, and each replaces the other's
    connection to the entry again and again.
    """
    deployment = VirtualDeployment(entries=1, agents=1)
    deployment.run(3000)
    first = deployment.agent()
    twin = deployment.restart_agent(0)
    assert first.is_alive and twin.is_alive
    deployment.run(60_000)
    assert len(deployment.links) <= 3
    assert connected(twin) == ['entry-0'] and connected(first) == []


def directories(count, clock, entry_count=1):
    listed_members = tuple(members(entry_count))
    for number in range(count):
        rng = random.Random(number)
        directory = EntryDirectory(
            clock, f'agent-{number}', ['10.0.0.0:1'], rng
        )
        for address in directory.claim_due_addresses():
            directory.opened(address, 'entry-0')
        directory.update_members('entry-0', listed_members, ())
        yield directory


def test_last_list_is_kept_for_ten_minutes_after_its_entries_failed():
    clock = ManualClock(1000)
    (agent,) = directories(1, clock, entry_count=3)
    agent.record_lost('entry-0')
    for minute in range(12):
        assert len(agent.members) == (3 if minute <= 10 else 0)
        for address in agent.claim_due_addresses():
            agent.closed(address)
        clock.advance(60_000)
    assert agent.claim_due_addresses() == ['10.0.0.0:1']


def test_agents_of_a_returning_entry_do_not_reconnect_together():
    clock = ManualClock(1000)
    agents = list(directories(300, clock))
    for agent in agents:
        agent.record_lost('entry-0')
    arrivals = []
    for step in range(300):
        clock.advance(100)
        is_back = step >= 100
        for agent in agents:
            for address in agent.claim_due_addresses():
                if is_back:
                    agent.opened(address, 'entry-0')
                    arrivals.append(step)
                else:
                    agent.closed(address)
    assert len(arrivals) == 300
    assert max(arrivals) <= 100 + 31
    assert max(arrivals.count(step) for step in set(arrivals)) < 300 * 0.1


def test_tasks_go_on_when_their_planner_moves_outside_the_subset():
    """Guards against keepers that restart each time an entry is replaced.

    Agents connect to two of six entries. The planner's shard is taken over by
    an entry that the agent is not connected to, so no entry renews the lease.
    """
    deployment = VirtualDeployment(entries=6, agents=4, subset=2)
    deployment.run(15_000)
    for key, document in (
        ('template/index', {'kind': 'keeper', 'size': SIZE}),
        ('parameters/viva/index', {'keepers': 4}),
    ):
        deployment.configure(key, json.dumps(document))
        deployment.run(200)
    deployment.run(15_000)

    def running():
        return sorted(
            (task['task_id'], task['attempt'])
            for agent in deployment.agent_by_name.values()
            for task in agent.worker.worker.task_by_id.values()
            if task['phase'] == 'running'
        )

    before = running()
    assert len(before) == 4
    shard = next(
        status.shard
        for agent in deployment.agent_by_name.values()
        for status in agent.core.tasks.statuses()
    )
    for _ in range(3):
        holder = deployment.entry().core.shards.holders[shard]
        if holder == 'entry-0':
            break
        deployment.kill_entry(int(holder.partition('-')[2]))
        deployment.run(90_000)
        assert running() == before
    for agent in deployment.agent_by_name.values():
        if agent.core.tasks.statuses():
            holder = deployment.entry().core.shards.holders[shard]
            assert holder in agent.core.directory.connected


def test_change_reaches_agents_of_other_entries_and_operators_can_see_it():
    deployment = VirtualDeployment(entries=6, agents=9, subset=2)
    deployment.run(15_000)
    answers = deployment.configure('team/trust', '{"cores": 8.0}', entry=3)
    deployment.run(3000)
    assert answers[0].unwrap().version == 1
    for agent in deployment.agent_by_name.values():
        assert len(connected(agent)) == 2
        assert agent.core.configuration.version == 1
    deployment.run(3000)
    registry = deployment.entry().core.shards.registry
    assert set(registry.version_by_entry.values()) == {1}
    assert set(registry.agent_version_by_entry.values()) <= {1, None}


def test_heartbeat_interval_grows_with_the_number_of_agents():
    assert [heartbeat_interval_ms(n) for n in (3, 100, 250, 1020)] == [
        1000,
        1000,
        2500,
        5000,
    ]
