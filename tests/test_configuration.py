"""Configuration: deltas, concurrent changes, lost responses, new processes."""

import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from hyssopring.configuration import ConfigurationState
from hyssopring.configuration.follower import TableFollower
from hyssopring.configuration.rows import log_key
from hyssopring.errors import ErrorKind, RunState
from hyssopring.protocol.messages import ConfigurationItem, ConfigurationUpdate
from standins.virtual import VirtualBackend, VirtualDeployment

SIZE = {'cores': 1.0, 'memory_gb': 2.0}
BOOKING = json.dumps({'kind': 'service', 'size': SIZE})


def team(cores):
    return json.dumps({'cores': float(cores)})


def running_versions(deployment):
    nodes = [
        *deployment.entry_by_name.values(),
        *deployment.agent_by_name.values(),
    ]
    return {node.core.configuration.version for node in nodes if node.is_alive}


def deployment_with_teams(**options):
    deployment = VirtualDeployment(**options)
    deployment.run(3000)
    for number in range(3):
        results = deployment.configure(f'team/t{number}', team(1))
        deployment.run(200)
        assert results[0].is_ok()
    deployment.run(1000)
    return deployment


def states_by_version(changes):
    """Return the state after each change, by version."""
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
    states = states_by_version(changes)
    state = ConfigurationState()
    for base, version in deliveries:
        base, version = min(base, version), min(version, len(changes))
        previous_version = state.version
        items = tuple(
            item for item in states[version].values() if item.version > base
        )
        is_applied = state.apply(ConfigurationUpdate(base, version, items))
        assert is_applied == (
            version > previous_version and base <= previous_version
        )
        assert state.version == (version if is_applied else previous_version)
        assert in_force(state.items) == in_force(states[state.version].values())


def test_peer_that_missed_a_dropped_withdrawal_gets_the_complete_state():
    """An agent keeps a withdrawn item after it was unreachable.

    It misses this withdrawal and hundreds more. The entry has dropped the old
    tombstones, so that a delta no longer holds the withdrawal.
    """
    entry, agent = ConfigurationState(), ConfigurationState()
    entry.apply(
        ConfigurationUpdate(0, 1, (ConfigurationItem('team/a', 1, '{}'),))
    )
    agent.apply(entry.update_since(0))
    for version in range(2, 402):
        key = 'team/a' if version == 2 else f'team/x{version}'
        tombstone = ConfigurationItem(key, version, '')
        entry.apply(ConfigurationUpdate(version - 1, version, (tombstone,)))
    assert agent.apply(entry.update_since(agent.version))
    assert agent.version == 401
    assert agent.item('team/a') is None
    assert len(agent.tombstones) < 300


def test_entry_reads_one_row_when_nothing_changed_and_deltas_when_some_did():
    deployment = deployment_with_teams(entries=2, agents=0)
    entry = deployment.entry(1)
    prefixes = []
    read = entry.store.read
    entry.store.read = lambda prefix, done: (
        prefixes.append(prefix),
        read(prefix, done),
    )
    deployment.run(2000)
    read_prefixes = [
        prefix for prefix in prefixes if prefix.startswith('configuration/')
    ]
    assert read_prefixes == ['configuration/head'] * 4
    prefixes.clear()
    deployment.configure('team/t1', team(2), expected=2)
    deployment.run(1000)
    read_prefixes = {
        prefix for prefix in prefixes if prefix.startswith('configuration/')
    }
    assert read_prefixes == {'configuration/head', log_key(4)[:-1]}
    assert running_versions(deployment) == {4}


def test_one_of_concurrent_changes_wins_and_the_others_get_the_version():
    deployment = deployment_with_teams(entries=3, agents=1)
    results = [
        deployment.configure(
            'team/t1', team(10 + number), entry=number % 3, expected=2
        )
        for number in range(9)
    ]
    deployment.run(1500)
    outcomes = [result[0] for result in results]
    accepted = [outcome.unwrap() for outcome in outcomes if outcome.is_ok()]
    assert [winner.version for winner in accepted] == [4]
    for loser in outcomes:
        if loser.is_err():
            failure = loser.unwrap_err()
            assert failure.kind is ErrorKind.CONFLICT
            assert 'is at version 4, not 2' in failure.detail
    deployment.run(1500)
    assert running_versions(deployment) == {4}


def test_change_is_accepted_when_the_response_is_lost():
    """A change that was committed is reported as a conflict.

    The response to the commit is lost, another operator changes the same item,
    and the retry finds the rows of the other change.
    """
    deployment = deployment_with_teams(entries=2, agents=1)
    deployment.entry(0).store.lose_responses = 1
    first_results = deployment.configure(
        'team/t1', team(7), entry=0, expected=2
    )
    deployment.run(1000)
    second_results = deployment.configure(
        'team/t1', team(9), entry=1, expected=4
    )
    deployment.run(4000)
    assert first_results[0].unwrap().version == 4
    assert second_results[0].unwrap().version == 5
    for node in (deployment.entry(0), deployment.entry(1), deployment.agent(0)):
        assert node.core.configuration.team('t1').cores == 9


def test_many_concurrent_changes_are_all_accepted():
    deployment = deployment_with_teams(entries=4, agents=2)
    results = [
        deployment.configure(f'team/many{number}', team(1), entry=number % 4)
        for number in range(200)
    ]
    deployment.run(3000)
    assert all(result and result[0].is_ok() for result in results)
    assert deployment.entry().core.configuration.version < 3 + 60
    assert len(running_versions(deployment)) == 1


@pytest.mark.parametrize('entry_number', [0, 1])
def test_change_reaches_all_when_the_store_fails_right_after_it(entry_number):
    """A new quota applies at one entry and not at the other.

    One entry accepts the change and the store fails before the other entry has
    read it. The agents forward the change.
    """
    deployment = deployment_with_teams(entries=2, agents=3)
    results = deployment.configure(
        'team/t1', team(3), entry=entry_number, expected=2
    )
    while not results:
        deployment.run(1)
    deployment.table.outage = True
    deployment.run(3000)
    assert running_versions(deployment) == {4}


def test_new_entry_in_a_store_outage_gets_the_configuration_from_agents():
    """A new entry rejects calls to a configured service as unknown.

    The store is unreachable, so the entry has no configuration yet. Callers do
    not retry after this error.
    """
    deployment = deployment_with_teams(entries=1, agents=2)
    deployment.agent(0).add_backend(
        VirtualBackend(deployment.loop, 'b', 'trust/booking')
    )
    deployment.configure('template/booking', BOOKING)
    deployment.configure('parameters/trust/booking', '{}')
    deployment.run(1000)
    deployment.table.outage = True
    deployment.kill_entry(0)
    new_entry = deployment.restart_entry(0)
    early_call = deployment.call()
    refusal = deployment.answer(early_call).failure
    assert refusal.kind is ErrorKind.STORE_UNAVAILABLE
    assert refusal.answer.run_state is RunState.NOT_RUN
    assert refusal.answer.retry_after_ms
    assert not new_entry.core.configuration.is_known
    deployment.run(3000)
    assert new_entry.core.configuration.version == 5
    later_call = deployment.call()
    deployment.run(500)
    assert deployment.answer(later_call).status == 200


def test_empty_table_is_known_to_be_empty():
    deployment = VirtualDeployment(entries=1, agents=0)
    assert not deployment.entry().core.configuration.is_known
    deployment.run(1000)
    assert deployment.entry().core.configuration.is_known


def put_as_another_writer(deployment, key, document):
    version = deployment.table.row(key)[1]
    deployment.table.rows_by_key[key] = [key, version + 1, 'other', document]


@pytest.mark.parametrize(
    'document',
    [{}, [], None, 7, {'version': None}, {'version': '3'}, {'version': -1}]
    + [{'version': 10**400}, {'version': float('nan')}],
    ids=lambda odd: str(odd)[:20],
)
def test_malformed_head_of_the_configuration_stops_no_follower(
    document, errors
):
    """Guards against entries that get no later configuration.

    The follower counted as reading for good.
    """
    deployment = deployment_with_teams(entries=2, agents=0)
    good = deployment.table.row('configuration/head')[3]
    put_as_another_writer(deployment, 'configuration/head', document)
    deployment.run(5000)
    assert len(errors) == 2, 'once in each entry'
    put_as_another_writer(deployment, 'configuration/head', good)
    deployment.run(5000)
    deployment.configure('team/t1', team(2), expected=2)
    deployment.run(5000)
    for number in range(2):
        state = deployment.entry(number).core.configuration
        assert state.version == good['version'] + 1


@pytest.mark.parametrize(
    'document', [{}, [], 7, {'version': 'x', 'document': '{}'}], ids=str
)
def test_malformed_item_hides_no_other_from_a_new_entry(document):
    deployment = deployment_with_teams(entries=1, agents=0)
    before = deployment.entry(0).core.configuration
    put_as_another_writer(deployment, 'configuration/item/odd', document)
    state = ConfigurationState()
    follower = TableFollower(
        state, deployment.entry(0).store, lambda _update: None
    )
    follower.poll()
    deployment.run(2000)
    assert state.version == before.version
    assert state.item('team/t1') == before.item('team/t1')
