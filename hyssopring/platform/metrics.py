"""HTTP endpoint for the metrics of a process."""

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

__all__ = ('METRICS_PATH', 'serve_metrics')

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


def serve_metrics(
    reactor: Any,
    settings: NodeSettings,
    metrics: Metrics,
) -> None:
    """Count the events of the process and listen for scrapes.

    A port that is in use is logged, and the process runs without the endpoint.
    """
    listen_to_events(JobMetrics(metrics).record_event)
    metrics.collect(lambda: gauge_process(metrics))
    site = LeafSite(_MetricsResource(metrics), _MAX_BODY_BYTES)
    try:
        listen(reactor, f'{settings.ip}:{settings.metrics_port}', site)
    except CannotListenError as error:
        log_event(Event.PEER_ERROR, peer='metrics', detail=str(error))
