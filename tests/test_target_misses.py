"""Tests of the log of latency-critical tasks over their targets."""

from hyssopring.jobs.target_misses import TargetMiss, TargetMissLog
from hyssopring.logs import Event


def misses(log_lines):
    return [
        (line['task'], line['lasted_ms'], line['tail_percent'], line['by'])
        for line in log_lines
        if line['event'] is Event.TARGET_MISSED
    ]


def test_one_line_tells_length_worst_tail_and_cause(log_lines):
    """Guards against reports that cannot tell fillers from a keeper's load."""
    log = TargetMissLog()
    log.observe({'k.0': TargetMiss(0.9, True)}, 1000)
    log.observe({'k.0': TargetMiss(0.5, True)}, 1500)
    log.observe({'k.0': TargetMiss(0.8, False)}, 2000)
    assert misses(log_lines) == []
    log.observe({}, 2500)
    log.observe({}, 3000)
    assert misses(log_lines) == [('k.0', 1500, 200, 'neighbours')]


def test_tasks_are_told_apart(log_lines):
    log = TargetMissLog()
    log.observe({'k.0': TargetMiss(0.5, False)}, 1000)
    log.observe({'k.1': TargetMiss(0.25, True)}, 1500)
    log.observe({}, 2000)
    assert misses(log_lines) == [
        ('k.0', 500, 200, 'worker'),
        ('k.1', 500, 400, 'neighbours'),
    ]
