"""Routing decisions: which backend server gets a request, and when none."""

from hyssopring.routing.budget import SendBudget
from hyssopring.routing.choice import BackendSelector, Choice
from hyssopring.routing.latency import LatencyWindow
from hyssopring.routing.limits import Admission
from hyssopring.routing.tracks import RoutingSettings

__all__ = (
    'Admission',
    'BackendSelector',
    'Choice',
    'LatencyWindow',
    'RoutingSettings',
    'SendBudget',
)
