"""Throttles ahead of the measured tail, by what was learned of the pairs.

The load of a service is known within a heartbeat, its tail only seconds
later. When the load rises, the learned weights say which templates would
raise the tail past its limit and what share keeps it inside, before the harm
is measured. A share moves only by a clear step, so noise in the load does not
send a command each second.
"""

from typing import Mapping

from hyssopring.membership import AgentRecord
from hyssopring.placement.interference import (
    TAIL_LIMIT,
    ColocatedLoad,
    InterferenceTracker,
    batch_templates,
)

__all__ = ('ShareControl',)

_FLOOR = 0.1
_FULL = 1.0
_CLEAR_STEP = 0.1
_TINY = 1e-9


class ShareControl:
    """Shares by agent and template that keep the expected tails inside."""

    def __init__(self, interference: InterferenceTracker) -> None:
        """Use what ``interference`` has learned."""
        self._interference = interference
        self._shares_by_agent: dict[str, dict[str, float]] = {}

    def shares(self, agent_id: str) -> Mapping[str, float]:
        """Return the shares of throttled templates on an agent."""
        return self._shares_by_agent.get(agent_id, {})

    def forget(self, agent_id: str) -> None:
        """An agent has gone."""
        self._shares_by_agent.pop(agent_id, None)

    def review(self, record: AgentRecord) -> None:
        """Set the shares that the latest report of load calls for."""
        beside = self._interference.colocated_load(record.agent_id)
        wanted: dict[str, float] = {}
        for service_name in beside.load_by_service:
            own = self._wanted(record, beside, service_name)
            for template, share in own.items():
                wanted[template] = min(share, wanted.get(template, _FULL))
        known = self._shares_by_agent.setdefault(record.agent_id, {})
        for template in known.keys() | wanted.keys():
            share = wanted.get(template, _FULL)
            change = abs(share - known.get(template, _FULL))
            if change < _CLEAR_STEP and share != _FULL:
                continue
            known[template] = share
            if share == _FULL:
                known.pop(template)

    def _wanted(
        self,
        record: AgentRecord,
        beside: ColocatedLoad,
        service_name: str,
    ) -> dict[str, float]:
        """Throttle the most harmful template first, as little as suffices."""
        model = self._interference.model
        load = beside.load_by_service[service_name]
        harm_by_template = {
            template: model.predict(service_name, load, {template: part}).mean
            for template, part in beside.full_by_template.items()
        }
        excess = sum(harm_by_template.values()) - TAIL_LIMIT
        shares: dict[str, float] = {}
        throttleable = sorted(
            batch_templates(record),
            key=lambda template: (
                -(
                    harm_by_template[template]
                    / max(beside.full_by_template[template], _TINY)
                )
            ),
        )
        for template in throttleable:
            harm = harm_by_template[template]
            if excess <= 0 or harm <= 0:
                break
            shares[template] = max(1 - excess / harm, _FLOOR)
            excess -= harm * (1 - shares[template])
        return shares
