"""The settings of the optional parts of scheduling."""

import json

import pytest

from hyssopring.jobs.scheduling_options import (
    AdmissionOptions,
    SchedulingOptions,
)
from hyssopring.settings import SchedulingSettings, load_settings


def load(tmp_path, document):
    path = tmp_path / 'scheduling.json'
    path.write_text(json.dumps(document))
    return load_settings(str(path), SchedulingSettings)


def test_a_part_without_an_object_is_off(tmp_path):
    loaded = load(tmp_path, {'admission': {}})
    assert loaded.unwrap().to_options() == SchedulingOptions(
        admission=AdmissionOptions()
    )


@pytest.mark.parametrize(
    ('document', 'expected'),
    [
        ({'admission': {'max_objectives': 0.5}}, 'admission.max_objectives'),
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
