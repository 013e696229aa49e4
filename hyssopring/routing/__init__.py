"""Choose the backend server of each request, or refuse the request."""

from hyssopring.routing.admission import AdmissionControl
from hyssopring.routing.backend_state import RoutingSettings
from hyssopring.routing.latency import LatencyWindow
from hyssopring.routing.retry_budget import RetryBudget
from hyssopring.routing.selector import BackendChoice, BackendSelector

__all__ = (
    'AdmissionControl',
    'BackendChoice',
    'BackendSelector',
    'LatencyWindow',
    'RetryBudget',
    'RoutingSettings',
)
