"""Interference: learned by pair and load, limits placement, throttles."""

import math
import random

from hyssopring.membership import AgentRecord, BackendView
from hyssopring.placement.interference import InterferenceTracker
from hyssopring.placement.share_control import ShareControl
from hyssopring.placement.slowdown import SlowdownModel
from hyssopring.placement.tail_guard import TailGuard
from hyssopring.protocol.messages import BackendReport, Resources, TaskUsage

VM = Resources(16, 60)


def learned(weights, load=0.5, reports=400, noise=0.1):
    """A model that has seen random mixes of templates beside a service."""
    rng = random.Random(7)
    model = SlowdownModel()
    for _ in range(reports):
        parts = {name: rng.uniform(0, 0.5) for name in weights}
        harm = sum(weights[name] * part for name, part in parts.items())
        tail = 50 * math.exp(harm + rng.gauss(0, noise))
        model.observe('t/booking', load, parts, tail)
    return model


def report(record, load=0.5, tail_ms=50.0, **cores_by_template):
    """Give a record the report of one backend and of running tasks."""
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


def vm(name='agent-0'):
    return AgentRecord(name, name, 1, 'z', 'r', VM, VM, 0, 0)


def test_two_culprits_are_told_apart():
    model = learned({'scan': 3.0, 'feed': 0.1})
    scan = model.predict('t/booking', 0.5, {'scan': 0.2})
    feed = model.predict('t/booking', 0.5, {'feed': 0.2})
    assert abs(scan.mean - 0.6) < 0.1
    assert abs(feed.mean - 0.02) < 0.1
    assert abs(model.level('t/booking', 0.5) - math.log(50)) < 0.15


def test_pair_and_load_that_were_never_seen_stay_uncertain():
    model = learned({'scan': 3.0}, load=0.1)
    seen = model.predict('t/booking', 0.1, {'scan': 0.2}).deviation
    assert model.predict('t/booking', 0.9, {'scan': 0.2}).deviation > 2 * seen
    assert model.predict('t/schools', 0.1, {'scan': 0.2}).deviation > 2 * seen
    assert model.level('t/booking', 0.9) is None


def test_noisy_template_is_kept_away_and_a_quiet_one_is_not():
    interference = InterferenceTracker(learned({'scan': 3.0, 'feed': 0.1}))
    record = report(vm(), feed=4.0)
    interference.on_heartbeat(record, 1000)
    size = Resources(4, 4)
    scan = interference.template_slowdown('t/scan', 1000)
    assert scan.predict(record, size) is None
    assert scan.unlimited().predict(record, size) > 0.5
    assert (
        interference.template_slowdown('t/feed', 1000).predict(record, size)
        < 0.2
    )


def test_starts_under_way_count_before_reports_show_them():
    """A wave of scans is placed within one heartbeat. No report shows the
    first ones yet; without counting them all would land beside one service."""
    interference = InterferenceTracker(learned({'scan': 1.0}))
    record = report(vm())
    interference.on_heartbeat(record, 1000)
    harm = interference.template_slowdown('t/scan', 1000)
    size, placed = Resources(1, 1), 0
    while harm.predict(record, size) is not None and placed < 16:
        harm.take(record, size)
        placed += 1
    assert 2 <= placed <= 5


def test_rising_load_throttles_the_noisy_template_before_the_tail_is_seen():
    """The load jumps while scans run. The measured tail lags by seconds; the
    load does not, so the share must fall on the report of load alone, only
    for the noisy template, never for a keeper, and return with the load."""
    model = learned({'scan': 2.0, 'feed': 0.1, 'keeper': 2.0}, load=0.7)
    for seed in range(300):
        part = random.Random(seed).uniform(0, 0.5)
        model.observe('t/booking', 0.0, {'scan': part}, 40 * math.exp(part / 9))
    interference = InterferenceTracker(model)
    control = ShareControl(interference)
    for load, expected in ((0.0, False), (0.7, True), (0.0, False)):
        for beat in range(30):
            record = report(vm(), load, 0.0, scan=6.0, feed=4.0, keeper=1.0)
            interference.on_heartbeat(record, 1000 * beat)
            control.review(record)
        assert ('scan' in control.shares('agent-0')) is expected
        assert set(control.shares('agent-0')) <= {'scan'}


def guard_run(tails, **cores):
    """Feed a guard one report a second; return the steps with their times."""
    interference = InterferenceTracker(learned({'scan': 0.5, 'feed': 0.5}))
    guard = TailGuard(interference)
    steps = []
    for second, tail in enumerate(tails):
        record = report(vm(), 0.5, tail, **cores)
        interference.colocated_load('agent-0').load_by_service['t/booking'] = (
            0.5
        )
        past = {name: size / 16 for name, size in cores.items()}
        interference.colocated_load('agent-0').past_by_template = past
        step = guard.review(record, 1000.0 * second)
        if step is not None:
            steps.append((second, step))
    return steps


def test_raised_tail_throttles_step_by_step_then_moves_one():
    """Scans turn noisier than was learned and the tail stays raised. Steps
    wait for the lagging measurement; a move comes only after throttling."""
    steps = guard_run([150.0] * 60, scan=8.0)
    shares = [step.share for _, step in steps]
    assert shares[:2] == [0.5, 0.25]
    assert [step.moves for _, step in steps[:3]] == [0, 0, 1]
    gaps = [b[0] - a[0] for a, b in zip(steps, steps[1:])]
    assert min(gaps) >= 6


def test_keeper_is_no_culprit():
    assert not guard_run([150.0] * 60, keeper=8.0)


def test_shares_return_slowly_and_slower_after_a_relapse():
    """The tail calms as soon as scans are throttled and rises whenever their
    share is given back. Without growing pauses the guard would swing for
    ever between the two."""
    interference = InterferenceTracker(learned({'scan': 0.5}))
    guard = TailGuard(interference)
    changes, share = [], 1.0
    for second in range(1200):
        tail = 150.0 if share > 0.5 else 50.0
        record = report(vm(), 0.5, tail, scan=8.0)
        beside = interference.colocated_load('agent-0')
        beside.load_by_service['t/booking'] = 0.5
        beside.past_by_template = {'scan': 0.5}
        step = guard.review(record, 1000.0 * second)
        if step is not None:
            changes.append(second)
            share = step.share
    early = sum(second < 300 for second in changes)
    late = sum(second >= 900 for second in changes)
    assert early > 3 * late
