"""The outlook of admission follows learned run times."""

import pytest

from hyssopring.clock import ManualClock
from hyssopring.jobs.scheduling_options import (
    AdmissionOptions,
    SchedulingOptions,
)
from hyssopring.learning.owner_learning import OwnerLearning
from hyssopring.learning.run_times import run_time_key
from standins.jobs.deployment import Deployment, a_job

OPTIONS = SchedulingOptions(admission=AdmissionOptions())


def test_work_counts_by_learned_run_times_where_estimates_are_off():
    """Guards against an outlook that believes estimates that are off by 90%."""
    learning = OwnerLearning(ManualClock(), lambda: 0, OPTIONS)
    job = a_job()
    estimate_ms = job.steps[0].estimate_ms
    assert learning.expected_ms(job, 0) == pytest.approx(estimate_ms)
    for _end in range(100):
        learning.run_times.record(
            run_time_key(job, 0), estimate_ms, 10 * estimate_ms
        )
    assert learning.expected_ms(job, 0) > 8 * estimate_ms


def test_the_owner_publishes_by_what_it_has_learned():
    """Guards against a publisher that is not connected to the run times."""
    core = (
        Deployment(workers=1, entries=1, options=OPTIONS)
        .entries['entry-0']
        .core
    )
    assert core.admission.publisher.expected_ms == (
        core.owner.learning.expected_ms
    )
