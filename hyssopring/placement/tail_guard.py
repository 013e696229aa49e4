"""Throttle, then evict, batch tasks that raise a service's tail latency.

Measurements lag by a few seconds, so each action is followed by a pause longer
than the lag; otherwise it would be repeated before its effect is measured. To
avoid oscillation, throttling and relaxing have different thresholds, and the
delay before relaxing doubles when the tail rises again soon after it. Keepers
are never throttled or evicted.
"""

import math
from dataclasses import dataclass, field

from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord
from hyssopring.placement.interference import (
    ColocatedLoad,
    InterferenceTracker,
    batch_templates,
)

__all__ = ('GuardStep', 'TailGuard')

# Excess of log(tail) over its baseline above which shares are lowered, and
# below which they may be raised.
_RAISED_EXCESS = 0.5
_STABLE_EXCESS = 0.25
# Pause after a change of a share; reports lag by a few seconds.
_SETTLE_MS = 6000.0
_CONFIRMING_REPORTS = 2
_EVICTION_INTERVAL_MS = 20_000.0
# How long the tail must be normal before a share is raised. The delay doubles
# if the tail rises again soon after that.
_INITIAL_RELAX_DELAY_MS = 10_000.0
_MAX_RELAX_DELAY_MS = 300_000.0
_SOON_AFTER_RELAXING_MS = 30_000.0
# Factor of one step down; a step up divides by it.
_SHARE_FACTOR = 0.5
_MIN_SHARE = 0.25
_FULL_SHARE = 1.0
# A template with a smaller possible slowdown is not considered the cause.
_MIN_SLOWDOWN = 0.03


@dataclass(frozen=True, slots=True)
class GuardStep:
    """Action on a template's batch tasks on one agent.

    Attributes:
        template: Name of the template.
        share: Share of processor time for each of its tasks.
        evictions: Number of its tasks to evict: each is stopped at a
            checkpoint and requeued.
    """

    template: str
    share: float
    evictions: int = 0


@dataclass(slots=True)
class _AgentState:
    """State of the guard for one agent. Times are clock milliseconds.

    Attributes:
        share_by_template: Shares of the throttled templates.
        raised_reports: Number of consecutive reports with a raised tail.
        stable_since: Start of the current period with a normal tail, or
            None while the tail is raised.
        changed_at: When a share was last changed.
        relaxed_at: When a share was last raised.
        evicted_at: When a task was last evicted.
        relax_delay_ms: How long the tail must be normal before a share is
            raised.
    """

    share_by_template: dict[str, float] = field(default_factory=dict)
    raised_reports: int = 0
    stable_since: float | None = None
    changed_at: float = -math.inf
    relaxed_at: float = -math.inf
    evicted_at: float = -math.inf
    relax_delay_ms: float = _INITIAL_RELAX_DELAY_MS


class TailGuard:
    """Decide on throttling from the tail latencies that agents report."""

    def __init__(self, interference: InterferenceTracker) -> None:
        """Create a guard; the model of ``interference`` finds the cause."""
        self._interference = interference
        self._state_by_agent: dict[str, _AgentState] = {}

    def remove_agent(self, agent_id: str) -> None:
        """Drop the state of an agent that has disconnected."""
        self._state_by_agent.pop(agent_id, None)

    def shares(self, agent_id: str) -> dict[str, float]:
        """Return the shares of the throttled templates on an agent."""
        state = self._state_by_agent.get(agent_id)
        return state.share_by_template if state else {}

    def review(self, record: AgentRecord, now_ms: float) -> GuardStep | None:
        """Return the action that an agent's latest report requires, if any.

        Args:
            record: The agent, with its latest report.
            now_ms: Clock time in milliseconds.
        """
        state = self._state_by_agent.setdefault(record.agent_id, _AgentState())
        colocated = self._interference.colocated_load(record.agent_id)
        _drop_absent_templates(state, colocated)
        excess, service_name = self._largest_excess(record, colocated)
        if excess > _RAISED_EXCESS:
            state.raised_reports += 1
            state.stable_since = None
        else:
            state.raised_reports = 0
            if excess > _STABLE_EXCESS:
                state.stable_since = None
            elif state.stable_since is None:
                state.stable_since = now_ms
        if now_ms - state.changed_at < _SETTLE_MS:
            return None
        if state.raised_reports >= _CONFIRMING_REPORTS:
            return self._tighten(record, state, service_name, excess, now_ms)
        return self._relax(record, state, now_ms)

    def _largest_excess(
        self, record: AgentRecord, colocated: ColocatedLoad
    ) -> tuple[float, str]:
        """Return the largest excess of log(tail) over its baseline.

        Returns:
            The excess and its service; 0 and '' if no tail is raised.
        """
        largest: float = 0
        largest_service = ''
        for view in record.backend_by_id.values():
            report = view.report
            load = colocated.load_by_service.get(report.service_name, 0)
            baseline = self._interference.model.baseline(
                report.service_name, load
            )
            if report.tail_ms <= 0 or baseline is None:
                continue
            excess = math.log(report.tail_ms) - baseline
            if excess > largest:
                largest, largest_service = excess, report.service_name
        return largest, largest_service

    def _tighten(
        self,
        record: AgentRecord,
        state: _AgentState,
        service_name: str,
        excess: float,
        now_ms: float,
    ) -> GuardStep | None:
        if now_ms - state.relaxed_at < _SOON_AFTER_RELAXING_MS:
            state.relax_delay_ms = min(
                state.relax_delay_ms * 2, _MAX_RELAX_DELAY_MS
            )
            state.relaxed_at = -math.inf
        slowdown_by_template = self._slowdown_by_template(record, service_name)
        if not slowdown_by_template:
            return None
        throttleable = [
            template
            for template in slowdown_by_template
            if state.share_by_template.get(template, _FULL_SHARE) > _MIN_SHARE
        ]
        log_event(
            Event.TAIL_RAISED,
            agent=record.agent_id,
            service=service_name,
            times=f'{math.exp(excess):.2f}',
        )
        state.changed_at = now_ms
        if throttleable:
            worst_template = max(
                throttleable, key=slowdown_by_template.__getitem__
            )
            share = (
                state.share_by_template.get(worst_template, _FULL_SHARE)
                * _SHARE_FACTOR
            )
            state.share_by_template[worst_template] = share
            return GuardStep(worst_template, share)
        if now_ms - state.evicted_at < _EVICTION_INTERVAL_MS:
            return None
        state.evicted_at = now_ms
        worst_template = max(
            slowdown_by_template, key=slowdown_by_template.__getitem__
        )
        return GuardStep(
            worst_template, state.share_by_template[worst_template], evictions=1
        )

    def _slowdown_by_template(
        self,
        record: AgentRecord,
        service_name: str,
    ) -> dict[str, float]:
        """Return how much each batch template may raise log(tail)."""
        colocated = self._interference.colocated_load(record.agent_id)
        load = colocated.load_by_service.get(service_name, 0)
        slowdown_by_template = {}
        for template in batch_templates(record):
            core_fraction = colocated.measured_by_template.get(template, 0)
            prediction = self._interference.model.predict(
                service_name,
                load,
                {template: core_fraction},
            )
            slowdown = prediction.mean + prediction.deviation
            if slowdown > _MIN_SLOWDOWN:
                slowdown_by_template[template] = slowdown
        return slowdown_by_template

    def _relax(
        self,
        record: AgentRecord,
        state: _AgentState,
        now_ms: float,
    ) -> GuardStep | None:
        stable_since = state.stable_since
        if stable_since is None or now_ms - stable_since < state.relax_delay_ms:
            return None
        if not state.share_by_template:
            state.relax_delay_ms = max(
                state.relax_delay_ms / 2, _INITIAL_RELAX_DELAY_MS
            )
            state.stable_since = now_ms
            return None
        template = min(
            state.share_by_template,
            key=state.share_by_template.__getitem__,
        )
        share = min(
            state.share_by_template[template] / _SHARE_FACTOR, _FULL_SHARE
        )
        state.share_by_template[template] = share
        if share == _FULL_SHARE:
            state.share_by_template.pop(template)
        state.changed_at = now_ms
        state.relaxed_at = now_ms
        state.stable_since = now_ms
        return GuardStep(template, share)


def _drop_absent_templates(
    state: _AgentState, colocated: ColocatedLoad
) -> None:
    for template in list(state.share_by_template):
        if template not in colocated.measured_by_template:
            state.share_by_template.pop(template)
