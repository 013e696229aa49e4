"""Configuration: deltas, racing operators, lost answers, fresh processes."""

import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from hyssopring.configuration import ConfigurationState
from hyssopring.configuration.rows import log_key
from hyssopring.errors import ErrorKind, RunState
from hyssopring.protocol.messages import ConfigurationItem, ConfigurationUpdate
from standins.virtual import VirtualBackend, VirtualDeployment

SIZE = {'cores': 1.0, 'memory_gb': 2.0}
BOOKING = json.dumps({'kind': 'service', 'size': SIZE})


def team(cores):
    return json.dumps({'cores': float(cores)})


def versions(deployment):
    nodes = [
        *deployment.entry_by_name.values(),
        *deployment.agent_by_name.values(),
    ]
    return {node.core.configuration.version for node in nodes if node.is_alive}


def ready(**options):
    deployment = VirtualDeployment(**options)
    deployment.run(3000)
    for number in range(3):
        answers = deployment.configure(f'team/t{number}', team(1))
        deployment.run(200)
        assert answers[0].is_ok()
    deployment.run(1000)
    return deployment


def history(changes):
    """The true state after each change, by version."""
    items, states = {}, [{}]
    for version, (key, is_withdrawn) in enumerate(changes, 1):
        document = '' if is_withdrawn else team(version)
        items[key] = ConfigurationItem(key, version, document)
        states.append(dict(items))
    return states


def in_force(items):
    return {item.key: item for item in items if item.document}


@seed(20261202)
@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(['team/a', 'team/b', 'team/c']), st.booleans()
        ),
        min_size=2,
        max_size=12,
    ),
    st.lists(st.tuples(st.integers(0, 12), st.integers(0, 12)), max_size=30),
)
def test_updates_in_any_order_never_step_back_nor_skip(changes, deliveries):
    states = history(changes)
    state = ConfigurationState()
    for base, version in deliveries:
        base, version = min(base, version), min(version, len(changes))
        before = state.version
        items = tuple(
            item for item in states[version].values() if item.version > base
        )
        took = state.apply(ConfigurationUpdate(base, version, items))
        assert took == (version > before and base <= before)
        assert state.version == (version if took else before)
        assert in_force(state.items) == in_force(states[state.version].values())


def test_peer_that_missed_a_dropped_withdrawal_gets_the_whole_state():
    """A withdrawn template comes back on an agent that was away.

    The agent misses a withdrawal and hundreds more; the entry has dropped the
    old tombstones, and a delta of what is left no longer names the item.
    """
    entry, agent = ConfigurationState(), ConfigurationState()
    entry.apply(
        ConfigurationUpdate(0, 1, (ConfigurationItem('team/a', 1, '{}'),))
    )
    agent.apply(entry.update_since(0))
    for version in range(2, 402):
        key = 'team/a' if version == 2 else f'team/x{version}'
        gone = ConfigurationItem(key, version, '')
        entry.apply(ConfigurationUpdate(version - 1, version, (gone,)))
    assert agent.apply(entry.update_since(agent.version))
    assert agent.version == 401
    assert agent.item('team/a') is None
    assert len(agent.tombstones) < 300


def test_entry_reads_one_row_when_nothing_changed_and_deltas_when_some_did():
    deployment = ready(entries=2, agents=0)
    entry = deployment.entry(1)
    prefixes = []
    read = entry.store.read
    entry.store.read = lambda prefix, done: (
        prefixes.append(prefix),
        read(prefix, done),
    )
    deployment.run(2000)
    polled = [p for p in prefixes if p.startswith('configuration/')]
    assert polled == ['configuration/head'] * 4
    prefixes.clear()
    deployment.configure('team/t1', team(2), expected=2)
    deployment.run(1000)
    polled = {p for p in prefixes if p.startswith('configuration/')}
    assert polled == {'configuration/head', log_key(4)[:-1]}
    assert versions(deployment) == {4}


def test_of_racing_operators_one_wins_and_the_rest_learn_the_version():
    deployment = ready(entries=3, agents=1)
    answers = [
        deployment.configure(
            'team/t1', team(10 + number), entry=number % 3, expected=2
        )
        for number in range(9)
    ]
    deployment.run(1500)
    outcomes = [answer[0] for answer in answers]
    accepted = [outcome.unwrap() for outcome in outcomes if outcome.is_ok()]
    assert [winner.version for winner in accepted] == [4]
    for loser in outcomes:
        if loser.is_err():
            failure = loser.unwrap_err()
            assert failure.kind is ErrorKind.CONFLICT
            assert 'is at version 4, not 2' in failure.detail
    deployment.run(1500)
    assert versions(deployment) == {4}


def test_change_is_accepted_when_the_store_loses_the_answer():
    """An operator is told "conflict" for the change that took effect.

    The commit takes effect, its answer is lost, another operator changes the
    same item meanwhile, and the retry finds rows that are not its own.
    """
    deployment = ready(entries=2, agents=1)
    deployment.entry(0).store.lose_responses = 1
    lost = deployment.configure('team/t1', team(7), entry=0, expected=2)
    deployment.run(1000)
    later = deployment.configure('team/t1', team(9), entry=1, expected=4)
    deployment.run(4000)
    assert lost[0].unwrap().version == 4
    assert later[0].unwrap().version == 5
    for node in (deployment.entry(0), deployment.entry(1), deployment.agent(0)):
        assert node.core.configuration.team('t1').cores == 9


def test_many_operators_at_once_are_all_served():
    deployment = ready(entries=4, agents=2)
    answers = [
        deployment.configure(f'team/many{number}', team(1), entry=number % 4)
        for number in range(200)
    ]
    deployment.run(3000)
    assert all(answer and answer[0].is_ok() for answer in answers)
    assert deployment.entry().core.configuration.version < 3 + 60
    assert len(versions(deployment)) == 1


@pytest.mark.parametrize('entry_number', [0, 1])
def test_change_reaches_all_when_the_store_fails_right_after_it(entry_number):
    """A team's new quota holds at one entry and not at the other.

    One entry accepts the change, then the store goes away before the other
    has read it; the agents carry it over.
    """
    deployment = ready(entries=2, agents=3)
    answers = deployment.configure(
        'team/t1', team(3), entry=entry_number, expected=2
    )
    while not answers:
        deployment.run(1)
    deployment.table.outage = True
    deployment.run(3000)
    assert versions(deployment) == {4}


def test_fresh_entry_in_a_store_outage_learns_from_agents_before_it_serves():
    """Right after an entry was replaced, callers get "no such service".

    The store is down, so the fresh entry has no configuration; it took the
    service for unknown, and a caller who is told so does not come back.
    """
    deployment = ready(entries=1, agents=2)
    deployment.agent(0).add_backend(
        VirtualBackend(deployment.loop, 'b', 'trust/booking')
    )
    deployment.configure('template/booking', BOOKING)
    deployment.configure('parameters/trust/booking', '{}')
    deployment.run(1000)
    deployment.table.outage = True
    deployment.kill_entry(0)
    fresh = deployment.restart_entry(0)
    early = deployment.call()
    refusal = deployment.answer(early).failure
    assert refusal.kind is ErrorKind.STORE_UNAVAILABLE
    assert refusal.answer.run_state is RunState.NOT_RUN
    assert refusal.answer.retry_after_ms
    assert not fresh.core.configuration.is_known
    deployment.run(3000)
    assert fresh.core.configuration.version == 5
    served = deployment.call()
    deployment.run(500)
    assert deployment.answer(served).status == 200


def test_empty_table_is_known_to_be_empty():
    deployment = VirtualDeployment(entries=1, agents=0)
    assert not deployment.entry().core.configuration.is_known
    deployment.run(1000)
    assert deployment.entry().core.configuration.is_known
