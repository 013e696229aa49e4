"""Gauges of the resource usage of a process."""

from hyssopring.metrics import Metrics, gauge_process


def test_process_gauges_are_fresh_in_each_rendering():
    metrics = Metrics()
    metrics.collect(lambda: gauge_process(metrics))
    lines = dict(line.split(' ') for line in metrics.render().splitlines())
    assert float(lines['hyssopring_process_cpu_seconds']) > 0
    assert float(lines['hyssopring_process_resident_bytes']) > 1_000_000
