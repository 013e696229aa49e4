"""Throttle batch tasks before the measured tail latency rises.

The load of a service is known within one heartbeat, its tail latency only
seconds later. When the load rises, the slowdown model predicts which
templates would raise the tail past its limit, and which share of processor
time keeps it within the limit. A share changes only by a minimum step, so
that noise in the load does not cause a command per second.
"""

from typing import Mapping

from hyssopring.membership import AgentRecord
from hyssopring.placement.interference import (
    MAX_TAIL_GROWTH,
    ColocatedLoad,
    InterferenceTracker,
    batch_templates,
)

__all__ = ('ShareControl',)

_MIN_SHARE = 0.1
_FULL_SHARE = 1.0
_MIN_CHANGE = 0.1
_MIN_FRACTION = 1e-9


class ShareControl:
    """Shares by agent and template that keep predicted tails in the limit."""

    def __init__(self, interference: InterferenceTracker) -> None:
        """Create a control that uses the model of ``interference``."""
        self._interference = interference
        self._shares_by_agent: dict[str, dict[str, float]] = {}

    def shares(self, agent_id: str) -> Mapping[str, float]:
        """Return the shares of throttled templates on an agent."""
        return self._shares_by_agent.get(agent_id, {})

    def remove_agent(self, agent_id: str) -> None:
        """Drop the state of an agent that has disconnected."""
        self._shares_by_agent.pop(agent_id, None)

    def review(self, record: AgentRecord) -> None:
        """Update an agent's shares from its latest load report."""
        colocated = self._interference.colocated_load(record.agent_id)
        required_shares: dict[str, float] = {}
        for service_name in colocated.load_by_service:
            required = self._required_shares(record, colocated, service_name)
            for template, share in required.items():
                required_shares[template] = min(
                    share, required_shares.get(template, _FULL_SHARE)
                )
        current_shares = self._shares_by_agent.setdefault(record.agent_id, {})
        for template in current_shares.keys() | required_shares.keys():
            share = required_shares.get(template, _FULL_SHARE)
            change = abs(share - current_shares.get(template, _FULL_SHARE))
            if change < _MIN_CHANGE and share != _FULL_SHARE:
                continue
            current_shares[template] = share
            if share == _FULL_SHARE:
                current_shares.pop(template)

    def _required_shares(
        self,
        record: AgentRecord,
        colocated: ColocatedLoad,
        service_name: str,
    ) -> dict[str, float]:
        """Return the shares that keep one service's tail in the limit.

        Templates with the largest slowdown per core are throttled first, each
        only as far as necessary.
        """
        model = self._interference.model
        load = colocated.load_by_service[service_name]
        slowdown_by_template = {
            template: model.predict(
                service_name, load, {template: fraction}
            ).mean
            for template, fraction in colocated.unthrottled_by_template.items()
        }
        excess = sum(slowdown_by_template.values()) - MAX_TAIL_GROWTH
        shares: dict[str, float] = {}
        throttleable = sorted(
            batch_templates(record),
            key=lambda template: (
                -(
                    slowdown_by_template[template]
                    / max(
                        colocated.unthrottled_by_template[template],
                        _MIN_FRACTION,
                    )
                )
            ),
        )
        for template in throttleable:
            slowdown = slowdown_by_template[template]
            if excess <= 0 or slowdown <= 0:
                break
            shares[template] = max(1 - excess / slowdown, _MIN_SHARE)
            excess -= slowdown * (1 - shares[template])
        return shares
