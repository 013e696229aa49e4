"""HTTP endpoint for the metrics of a process."""

from collections import Counter
from typing import Any, Final

from twisted.internet.error import CannotListenError
from twisted.web.http import Request
from twisted.web.resource import Resource

from hyssopring.jobs.job_metrics import JobMetrics
from hyssopring.logs import Event, listen_to_events, log_event
from hyssopring.metrics import Metrics, gauge_process
from hyssopring.platform.leaf_site import LeafSite
from hyssopring.platform.listening import listen
from hyssopring.platform.settings import NodeSettings
from hyssopring.platform.site_limits import SiteLimits
from hyssopring.protocol.frames import Traffic

__all__ = ('METRICS_PATH', 'gauge_traffic', 'serve_metrics')

# The deploy file has the same path.
METRICS_PATH: Final = 'metrics'
_MAX_BODY_BYTES: Final = 4096


class _MetricsResource(Resource):
    """Responds to GET on any path of the port."""

    isLeaf = True

    def __init__(self, metrics: Metrics) -> None:
        super().__init__()
        self._metrics = metrics

    def render_GET(self, request: Request) -> bytes:
        request.setHeader('content-type', 'text/plain; version=0.0.4')
        return self._metrics.render().encode()


def gauge_traffic(metrics: Metrics, *traffics: Traffic) -> None:
    """Set the number of bytes, and of messages by kind, on connections."""
    sent: Counter[str] = Counter()
    received: Counter[str] = Counter()
    for traffic in traffics:
        sent.update(traffic.sent_by_kind)
        received.update(traffic.received_by_kind)
    for kind, sent_count in sent.items():
        metrics.gauge(f'messages_sent_total{{kind="{kind}"}}', sent_count)
    for kind, received_count in received.items():
        metrics.gauge(
            f'messages_received_total{{kind="{kind}"}}', received_count
        )
    metrics.gauge(
        'link_sent_bytes_total',
        sum(traffic.bytes_sent for traffic in traffics),
    )
    metrics.gauge(
        'link_received_bytes_total',
        sum(traffic.bytes_received for traffic in traffics),
    )


def serve_metrics(
    reactor: Any,
    settings: NodeSettings,
    metrics: Metrics,
    limits: SiteLimits,
) -> None:
    """Count the events of the process and listen for scrapes.

    A port that is in use is logged, and the process runs without the endpoint.
    """
    listen_to_events(JobMetrics(metrics).record_event)
    metrics.collect(lambda: gauge_process(metrics))
    metrics.collect(lambda: limits.gauge(metrics))
    site = LeafSite(_MetricsResource(metrics), _MAX_BODY_BYTES, limits)
    try:
        listen(reactor, f'{settings.ip}:{settings.metrics_port}', site)
    except CannotListenError as error:
        log_event(Event.PEER_ERROR, peer='metrics', detail=str(error))
