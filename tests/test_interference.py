"""Tests of interference: slowdown model, placement limits, throttling."""

import math
import random

from hyssopring.membership import AgentRecord, BackendView
from hyssopring.placement.interference import InterferenceTracker
from hyssopring.placement.share_control import ShareControl
from hyssopring.placement.slowdown import SlowdownModel
from hyssopring.placement.tail_guard import TailGuard
from hyssopring.protocol.messages import BackendReport, Resources, TaskUsage

VM = Resources(16, 60)


def trained_model(weights, load=0.5, reports=400, noise=0.1):
    """Return a model trained on random mixes of templates."""
    rng = random.Random(7)
    model = SlowdownModel()
    for _ in range(reports):
        fraction_by_template = {name: rng.uniform(0, 0.5) for name in weights}
        slowdown = sum(
            weights[name] * part for name, part in fraction_by_template.items()
        )
        tail = 50 * math.exp(slowdown + rng.gauss(0, noise))
        model.observe('t/booking', load, fraction_by_template, tail)
    return model


def with_report(record, load=0.5, tail_ms=50.0, **cores_by_template):
    """Set a record's report of one backend and of the running tasks."""
    record.usage = tuple(
        TaskUsage(
            f't/{name}', 'keeper' if name == 'keeper' else 'batch', 2, 2,
            Resources(cores, 4), Resources(cores, 4),
        )
        for name, cores in cores_by_template.items()
    )  # fmt: skip
    backend = BackendReport(
        't/booking', 'b', 100, 64, False, round(load * 100), 0, tail_ms, tail_ms
    )
    record.backend_by_id = {'b': BackendView(record, backend, 0, 0)}
    return record


def agent_record(name='agent-0'):
    return AgentRecord(name, name, 1, 'z', 'r', VM, VM, 0, 0)


def test_model_separates_two_templates():
    model = trained_model({'scan': 3.0, 'feed': 0.1})
    scan = model.predict('t/booking', 0.5, {'scan': 0.2})
    feed = model.predict('t/booking', 0.5, {'feed': 0.2})
    assert abs(scan.mean - 0.6) < 0.1
    assert abs(feed.mean - 0.02) < 0.1
    assert abs(model.baseline('t/booking', 0.5) - math.log(50)) < 0.15


def test_unobserved_pair_and_load_stay_uncertain():
    model = trained_model({'scan': 3.0}, load=0.1)
    seen = model.predict('t/booking', 0.1, {'scan': 0.2}).deviation
    assert model.predict('t/booking', 0.9, {'scan': 0.2}).deviation > 2 * seen
    assert model.predict('t/schools', 0.1, {'scan': 0.2}).deviation > 2 * seen
    assert model.baseline('t/booking', 0.9) is None


def test_only_a_template_that_slows_the_service_is_kept_off_its_vm():
    interference = InterferenceTracker(
        trained_model({'scan': 3.0, 'feed': 0.1})
    )
    record = with_report(agent_record(), feed=4.0)
    interference.on_heartbeat(record, 1000)
    size = Resources(4, 4)
    scan = interference.template_slowdown('t/scan', 1000)
    assert scan.predict(record, size) is None
    assert scan.unlimited().predict(record, size) > 0.5
    assert (
        interference.template_slowdown('t/feed', 1000).predict(record, size)
        < 0.2
    )


def test_pending_starts_count_before_reports_include_them():
    """Several tasks are placed within one heartbeat interval.

    No report shows the first ones yet. If they were not counted, all tasks
    would be placed beside one service.
    """
    interference = InterferenceTracker(trained_model({'scan': 1.0}))
    record = with_report(agent_record())
    interference.on_heartbeat(record, 1000)
    slowdown = interference.template_slowdown('t/scan', 1000)
    size, placed = Resources(1, 1), 0
    while slowdown.predict(record, size) is not None and placed < 16:
        slowdown.add_start(record, size)
        placed += 1
    assert 2 <= placed <= 5


def test_rising_load_throttles_the_noisy_template_before_the_tail_rises():
    """The load of a service jumps while a noisy template runs beside it.

    The measured tail lags by seconds, so the share must follow the reported
    load alone: only for the noisy template, never for a keeper, and back to
    1 when the load falls.
    """
    model = trained_model({'scan': 2.0, 'feed': 0.1, 'keeper': 2.0}, load=0.7)
    for seed in range(300):
        part = random.Random(seed).uniform(0, 0.5)
        model.observe('t/booking', 0.0, {'scan': part}, 40 * math.exp(part / 9))
    interference = InterferenceTracker(model)
    control = ShareControl(interference)
    for load, expected in ((0.0, False), (0.7, True), (0.0, False)):
        for beat in range(30):
            record = with_report(
                agent_record(), load, 0.0, scan=6.0, feed=4.0, keeper=1.0
            )
            interference.on_heartbeat(record, 1000 * beat)
            control.review(record)
        assert ('scan' in control.shares('agent-0')) is expected
        assert set(control.shares('agent-0')) <= {'scan'}


def guard_steps(tails, **cores):
    """Send a guard one report per second; return its steps and their times."""
    interference = InterferenceTracker(
        trained_model({'scan': 0.5, 'feed': 0.5})
    )
    guard = TailGuard(interference)
    steps = []
    for second, tail in enumerate(tails):
        record = with_report(agent_record(), 0.5, tail, **cores)
        interference.colocated_load('agent-0').load_by_service['t/booking'] = (
            0.5
        )
        measured = {name: size / 16 for name, size in cores.items()}
        interference.colocated_load('agent-0').measured_by_template = measured
        step = guard.review(record, 1000.0 * second)
        if step is not None:
            steps.append((second, step))
    return steps


def test_raised_tail_throttles_in_steps_then_evicts_one_task():
    """A template slows a service more than the model predicts.

    Each step waits for the delayed measurement, and a task is moved only
    after throttling has not helped.
    """
    steps = guard_steps([150.0] * 60, scan=8.0)
    shares = [step.share for _, step in steps]
    assert shares[:2] == [0.5, 0.25]
    assert [step.evictions for _, step in steps[:3]] == [0, 0, 1]
    gaps = [b[0] - a[0] for a, b in zip(steps, steps[1:])]
    assert min(gaps) >= 6


def test_keeper_is_never_throttled():
    assert not guard_steps([150.0] * 60, keeper=8.0)


def test_shares_are_raised_more_slowly_after_a_relapse():
    """The tail falls when a template is throttled and rises when it is not.

    Without growing pauses the guard would oscillate between the two.
    """
    interference = InterferenceTracker(trained_model({'scan': 0.5}))
    guard = TailGuard(interference)
    changes, share = [], 1.0
    for second in range(1200):
        tail = 150.0 if share > 0.5 else 50.0
        record = with_report(agent_record(), 0.5, tail, scan=8.0)
        colocated = interference.colocated_load('agent-0')
        colocated.load_by_service['t/booking'] = 0.5
        colocated.measured_by_template = {'scan': 0.5}
        step = guard.review(record, 1000.0 * second)
        if step is not None:
            changes.append(second)
            share = step.share
    early_changes = sum(second < 300 for second in changes)
    late_changes = sum(second >= 900 for second in changes)
    assert early_changes > 3 * late_changes
