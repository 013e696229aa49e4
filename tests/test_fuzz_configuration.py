"""Arbitrary changes and updates of the configuration."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopring.configuration import ConfigurationChange, ConfigurationState
from hyssopring.errors import ErrorKind
from hyssopring.protocol.messages import ConfigurationItem, ConfigurationUpdate
from standins.virtual import VirtualDeployment

FUZZ = settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)
KEYS = st.one_of(
    st.sampled_from(
        ('template/t', 'parameters/trust/t', 'team/trust', 'team/', 'team')
        + ('parameters/trust', 'template/a/b', '', '/', 'template/\n')
    ),
    st.text(max_size=12),
)
ANY_NUMBERS = st.one_of(
    st.integers(), st.floats(), st.text(max_size=5), st.none()
)
SIZES = st.dictionaries(
    st.sampled_from(('cores', 'memory_gb', 'accelerators', 'x')), ANY_NUMBERS
)
DOCUMENTS = st.one_of(
    st.text(max_size=30),
    st.fixed_dictionaries(
        {},
        optional={
            'kind': st.sampled_from(('service', 'batch', 'keeper', 1)),
            'size': SIZES,
            'urgency': ANY_NUMBERS,
            'keepers': ANY_NUMBERS,
            'cores': ANY_NUMBERS,
            'zones': st.lists(st.text(max_size=3), max_size=2),
        },
    ).map(json.dumps),
)


@FUZZ
@given(
    changes=st.lists(st.tuples(KEYS, st.integers(-1, 3), DOCUMENTS), max_size=4)
)
def test_any_change_is_accepted_or_fails_with_a_listed_kind(changes):
    deployment = VirtualDeployment(entries=1, agents=0)
    manager = deployment.entry().core.configuration_keeper
    results = []
    for key, expected, document in changes:
        manager.change(
            ConfigurationChange(key, expected, document), results.append
        )
    deployment.run(2000)
    assert len(results) == len(changes)
    for result in results:
        if result.is_err():
            kind = result.unwrap_err().kind
            assert kind in {ErrorKind.INVALID, ErrorKind.CONFLICT}
    # Every accepted item must be usable: all policies resolve.
    tuple(deployment.entry().core.configuration.policies())


ITEMS = st.lists(
    st.builds(
        ConfigurationItem,
        st.sampled_from(('template/t', 'team/trust', 'team/x')),
        st.integers(1, 9),
        st.sampled_from(('', '{}', '{"cores": 2.0}')),
    ),
    max_size=3,
).map(tuple)


@FUZZ
@given(
    updates=st.lists(
        st.builds(
            ConfigurationUpdate, st.integers(0, 9), st.integers(0, 9), ITEMS
        ),
        max_size=8,
    )
)
def test_version_never_decreases_for_any_order_of_updates(updates):
    state = ConfigurationState()
    for update in updates:
        previous_version = state.version
        state.apply(update)
        assert state.version >= previous_version
