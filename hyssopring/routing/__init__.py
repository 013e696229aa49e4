"""Routing decisions: which backend server gets a request, and when none."""

from hyssopring.routing.retry_budget import RetryBudget
from hyssopring.routing.selector import BackendSelector, BackendChoice
from hyssopring.routing.latency import LatencyWindow
from hyssopring.routing.admission import AdmissionControl
from hyssopring.routing.backend_state import RoutingSettings

__all__ = (
    'AdmissionControl',
    'BackendSelector',
    'BackendChoice',
    'LatencyWindow',
    'RoutingSettings',
    'RetryBudget',
)
