"""Metrics of the connections between entries and agents."""

from hyssopring.jobs.messages import Grant, ReportRequest
from hyssopring.metrics import Metrics
from hyssopring.platform.metrics import gauge_traffic
from hyssopring.protocol.frames import Traffic


def test_messages_of_all_connections_are_counted_by_kind():
    metrics = Metrics()
    accepted, dialled = Traffic(bytes_sent=5), Traffic(bytes_sent=7)
    accepted.sent_by_kind[Grant.__name__] += 2
    accepted.received_by_kind[ReportRequest.__name__] += 1
    dialled.sent_by_kind[Grant.__name__] += 3
    gauge_traffic(metrics, accepted, dialled)
    lines = dict(line.rsplit(' ', 1) for line in metrics.render().splitlines())
    assert lines['hyssopring_messages_sent_total{kind="Grant"}'] == '5'
    received = 'hyssopring_messages_received_total{kind="ReportRequest"}'
    assert lines[received] == '1'
    assert lines['hyssopring_link_sent_bytes_total'] == '12'
