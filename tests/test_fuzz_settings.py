"""Any settings file is accepted or rejected in one line, without a crash."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopring.settings import AgentSettings, EntrySettings, load_settings

FIELDS = sorted({*EntrySettings.model_fields, *AgentSettings.model_fields})
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from(('127.0.0.1:1', 'http://x', 'paddock', 'a' * 20)),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=8), inner, max_size=3),
    ),
    max_leaves=5,
)
DOCUMENTS = st.dictionaries(
    st.one_of(st.sampled_from(FIELDS), st.text(max_size=8)), VALUES, max_size=9
)


def _load_all(path):
    for model in (EntrySettings, AgentSettings):
        loaded = load_settings(str(path), model)
        if loaded.is_err():
            detail = loaded.unwrap_err().detail
            assert '\n' not in detail
            assert str(path) in detail


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(document=st.one_of(DOCUMENTS, VALUES))
def test_any_document_is_accepted_or_rejected_in_one_line(
    tmp_path_factory, document
):
    path = tmp_path_factory.getbasetemp() / 'settings.json'
    path.write_text(json.dumps(document), encoding='utf-8')
    _load_all(path)


@settings(derandomize=True, max_examples=100, deadline=None, database=None)
@given(
    content=st.one_of(
        st.binary(max_size=60),
        st.text('{}[]:,"/*1e\n', max_size=30).map(str.encode),
    )
)
def test_any_bytes_are_accepted_or_rejected_in_one_line(
    tmp_path_factory, content
):
    path = tmp_path_factory.getbasetemp() / 'settings.bin'
    path.write_bytes(content)
    _load_all(path)
