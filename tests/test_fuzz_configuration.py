"""Operators may submit anything; versions never step back."""

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
NUMBERS = st.one_of(st.integers(), st.floats(), st.text(max_size=5), st.none())
SIZES = st.dictionaries(
    st.sampled_from(('cores', 'memory_gb', 'accelerators', 'x')), NUMBERS
)
DOCUMENTS = st.one_of(
    st.text(max_size=30),
    st.fixed_dictionaries(
        {},
        optional={
            'kind': st.sampled_from(('service', 'batch', 'keeper', 1)),
            'size': SIZES,
            'urgency': NUMBERS,
            'keepers': NUMBERS,
            'cores': NUMBERS,
            'zones': st.lists(st.text(max_size=3), max_size=2),
        },
    ).map(json.dumps),
)


@FUZZ
@given(
    changes=st.lists(st.tuples(KEYS, st.integers(-1, 3), DOCUMENTS), max_size=4)
)
def test_any_change_is_accepted_or_refused_by_kind(changes):
    deployment = VirtualDeployment(entries=1, agents=0)
    keeper = deployment.entry().core.configuration_keeper
    answers = []
    for key, expected, document in changes:
        keeper.change(
            ConfigurationChange(key, expected, document), answers.append
        )
    deployment.run(2000)
    assert len(answers) == len(changes)
    for answer in answers:
        if answer.is_err():
            kind = answer.unwrap_err().kind
            assert kind in {ErrorKind.INVALID, ErrorKind.CONFLICT}
    # Whatever was accepted can be used: no policy fails to resolve.
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
def test_no_order_of_updates_steps_back(updates):
    state = ConfigurationState()
    for update in updates:
        before = state.version
        state.apply(update)
        assert state.version >= before
