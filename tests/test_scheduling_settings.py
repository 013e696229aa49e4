"""The settings of the optional parts of scheduling."""

import json

import pytest

from hyssopring.jobs.scheduling_options import (
    SchedulingOptions,
    StragglerOptions,
)
from hyssopring.settings import SchedulingSettings, load_settings


def load(tmp_path, document):
    path = tmp_path / 'scheduling.json'
    path.write_text(json.dumps(document))
    return load_settings(str(path), SchedulingSettings)


def test_a_part_without_an_object_is_off(tmp_path):
    loaded = load(tmp_path, {'stragglers': {}})
    assert loaded.unwrap().to_options() == SchedulingOptions(
        stragglers=StragglerOptions()
    )


def test_file_of_the_release_before_is_read_and_its_unused_key_told(tmp_path):
    """Guards against entries that do not start after an upgrade."""
    path = tmp_path / 'scheduling.json'
    path.write_text(json.dumps({'admission': {'max_objectives': 2}}))
    settings = load_settings(str(path), SchedulingSettings).unwrap()
    assert settings.unused_keys() == ('admission',)
    assert settings.to_options() == SchedulingOptions()


@pytest.mark.parametrize(
    ('document', 'expected'),
    [
        ({'learning': {'save_interval_ms': 10}}, 'learning.save_interval_ms'),
        ({'fairness': {'weight_by_queue': {'a': 0}}}, 'weight_by_queue.a'),
        ({'stragglers': {'slow_speed': 1}}, 'stragglers.slow_speed'),
        ({'copies': {}}, 'copies: unknown key'),
    ],
)
def test_wrong_values_are_reported_with_file_and_key(
    tmp_path, document, expected
):
    detail = load(tmp_path, document).unwrap_err().detail
    assert str(tmp_path) in detail and expected in detail
