"""Settings files: each error is reported in one line."""

import json
import pathlib

import json5
import pytest

from hyssopring.configuration.models import MODEL_BY_KIND
from hyssopring.configuration.validation import document_failure
from hyssopring.settings import (
    AgentSettings,
    EntrySettings,
    OperatorSettings,
    load_settings,
    read_document,
    role_of,
)
from hyssopring.settings.reference import reference_page

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / 'examples'
ENTRY = json5.loads((EXAMPLES / 'nyabugogo/entries/entry-1.json').read_text())
INVALID_CHANGES = [
    ({'colour': 1}, ['colour', 'unknown key', 'shard_lease_ms']),
    ({'shard_lease_ms': '6s'}, ['shard_lease_ms', 'valid number', '"6s"']),
    (
        {'caller_address': '10.1.1.10:70000'},
        ['caller_address', '65535', '70000'],
    ),
    ({'inner_address': '10.1.1.10:0'}, ['inner_address', '1 to 65535', ':0']),
    ({'caller_address': '10.1.1.10:7002'}, ['operator_address', 'twice']),
    ({'shard_takeover_ms': 6000}, ['shard_takeover_ms', '6000', 'longer']),
    ({'batch_lease_ms': 900_000}, ['batch_lease_ms', '300000', '900000']),
    ({'keeper_lease_ms': 5000}, ['keeper_lease_ms', '5000', '15000']),
    ({'shards': 2.5}, ['shards', 'integer', '2.5']),
    ({'log_level': 'LOUD'}, ['log_level', "'INFO'", 'LOUD']),
    ({'zone': None}, ['zone', 'string', 'null']),
    ({'inner_secret': 'sesame'}, ['inner_secret', '16', 'not shown']),
]


def load_error(tmp_path, text, model=EntrySettings):
    path = tmp_path / 'entry.json'
    path.write_text(text)
    detail = load_settings(str(path), model).unwrap_err().detail
    assert detail.startswith(str(path))
    assert '\n' not in detail
    return detail


@pytest.mark.parametrize(('change', 'expected_texts'), INVALID_CHANGES)
def test_invalid_value_is_reported_with_key_value_and_allowed_values(
    tmp_path, change, expected_texts
):
    detail = load_error(tmp_path, json.dumps({**ENTRY, **change}))
    assert all(expected in detail for expected in expected_texts), detail
    assert 'sesame' not in detail


def test_missing_key_missing_file_and_malformed_json_are_reported(tmp_path):
    without_zone = {key: ENTRY[key] for key in ENTRY if key != 'zone'}
    assert 'zone: required' in load_error(tmp_path, json.dumps(without_zone))
    assert 'not JSON' in load_error(tmp_path, '{"id": \n')
    assert 'not JSON' in load_error(tmp_path, '{"id": "a", "id": "b"}')
    assert 'document' in load_error(tmp_path, '[1]')
    missing = load_settings('nowhere.json', EntrySettings).unwrap_err().detail
    assert missing == 'nowhere.json: cannot be read: No such file or directory'


def test_unknown_nested_key_is_reported_with_the_allowed_keys(tmp_path):
    agent = json5.loads(
        (EXAMPLES / 'nyabugogo/agents/agent-01.json').read_text()
    )
    agent['capacity']['memory_mb'] = 60_000
    detail = load_error(tmp_path, json.dumps(agent), AgentSettings)
    assert 'capacity.memory_mb' in detail and 'memory_gb' in detail


@pytest.mark.parametrize('deployment', ['nyabugogo', 'hemeroteca'])
def test_examples_are_valid_and_have_the_expected_sizes(deployment):
    agents = [
        load_settings(str(path), AgentSettings).unwrap()
        for path in sorted((EXAMPLES / deployment / 'agents').iterdir())
    ]
    racks = [agent.rack for agent in agents]
    assert len(agents) == 11
    assert max(racks.count(rack) for rack in racks) == 3
    entries = [
        load_settings(str(path), EntrySettings).unwrap()
        for path in sorted((EXAMPLES / deployment / 'entries').iterdir())
    ]
    assert {agent.zone for agent in agents} == {entry.zone for entry in entries}
    documents = EXAMPLES / deployment / 'configuration'
    for path in documents.rglob('*.json'):
        kind = path.relative_to(documents).parts[0]
        document = read_document(str(path)).unwrap()
        MODEL_BY_KIND[kind].model_validate_json(json.dumps(document))


def test_role_is_determined_by_the_keys_of_the_file():
    assert role_of(ENTRY) is EntrySettings
    assert role_of({'rack': 'a', 'worker_url': 'b'}) is AgentSettings
    assert role_of({'entry': 'a', 'token': 'b'}) is OperatorSettings


def test_settings_page_is_up_to_date():
    page = (ROOT / 'docs/SETTINGS.md').read_text()
    assert page == reference_page(), 'run python -m hyssopring.settings'


@pytest.mark.parametrize(
    ('key', 'document', 'expected_text'),
    [
        ('template/a', '{"kind": "batch", "sise": 1}', 'size: required'),
        ('parameters/t/a', '{"size": {"cores": 1, "gb": 2}}', 'memory_gb'),
        ('parameters/t/a', '{"zones": ["north", 7]}', 'zones.1: '),
        ('parameters/t', '{}', 'no such kind'),
        ('team/Two Words', '{}', 'not a name'),
        ('team/t', '{"cores": 1', 'document: Invalid JSON'),
    ],
)
def test_invalid_document_is_reported_in_one_line_with_the_key(
    key, document, expected_text
):
    detail = document_failure(key, document).detail
    assert expected_text in detail and '\n' not in detail
