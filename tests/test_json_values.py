"""Bodies of many values: what is parsed, and what an error keeps."""

import pytest
from pydantic import ValidationError

from hyssopring.jobs.model import Queue
from hyssopring.platform.callers import read_job
from hyssopring.platform.json_values import check_value_count

JOB_ID = '5c0e7a21d94b36f8'


def test_values_up_to_the_limit_are_parsed():
    """Guards against refusing what is within the limit."""
    check_value_count(b'[1,2,3]', 3)
    with pytest.raises(ValueError, match='more than 3 values'):
        check_value_count(b'[1,2,3,4]', 3)


@pytest.mark.parametrize('value', [b'1', b'{}', b'{"count":1,"after":[""]}'])
def test_only_the_first_invalid_step_is_reported(value):
    """Guards against errors that take far more memory than their body."""
    body = b'{"steps":[' + b','.join([value] * 10_000) + b']}'
    with pytest.raises(ValidationError) as raised:
        read_job(JOB_ID, Queue('q', 's'), body)
    assert raised.value.error_count() <= 2


def test_a_body_of_too_many_values_is_not_parsed():
    """Guards against a parser that makes far more of a body than its size."""
    body = b'{"steps":[' + b','.join([b'1'] * 200_000) + b']}'
    with pytest.raises(ValueError, match='values'):
        read_job(JOB_ID, Queue('q', 's'), body)
