"""Throttles, then moves, the batch work that raises a service's tail.

Measurements lag by some seconds, so each step is followed by a pause that is
longer than the lag; a step that answered harm already mended would be a step
too many. Raising and lowering have different thresholds, and a share that was
given back too early is given back later the next time, so that the guard does
not oscillate. A keeper is never touched.
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

RAISED = 0.5
_CALM = 0.25
_SETTLE_MS = 6000.0
_CONFIRMING_BEATS = 2
_MOVE_AFTER_MS = 20_000.0
_FIRST_HOLD_MS = 10_000.0
_MAX_HOLD_MS = 300_000.0
_RELAPSE_MS = 30_000.0
_STEP = 0.5
_FLOOR = 0.25
_FULL = 1.0
# A template that is expected to add less than this is no culprit.
_MATERIAL = 0.03


@dataclass(frozen=True, slots=True)
class GuardStep:
    """What is to be done with a template's batch tasks on one agent.

    Attributes:
        share: The share that each of its tasks is to have.
        moves: How many of its tasks to checkpoint and place elsewhere.
    """

    template: str
    share: float
    moves: int = 0


@dataclass(slots=True)
class _Watch:
    """One agent as the guard remembers it."""

    share_by_template: dict[str, float] = field(default_factory=dict)
    raised_beats: int = 0
    calm_since: float | None = None
    changed_at: float = -math.inf
    relaxed_at: float = -math.inf
    moved_at: float = -math.inf
    hold_ms: float = _FIRST_HOLD_MS


class TailGuard:
    """Watches the tails that agents report and says what to do."""

    def __init__(self, interference: InterferenceTracker) -> None:
        """Use what ``interference`` has learned to find the culprit."""
        self._interference = interference
        self._watch_by_agent: dict[str, _Watch] = {}

    def forget(self, agent_id: str) -> None:
        """An agent has gone."""
        self._watch_by_agent.pop(agent_id, None)

    def shares(self, agent_id: str) -> dict[str, float]:
        """Return the shares by template that an agent's tasks are to have."""
        watch = self._watch_by_agent.get(agent_id)
        return watch.share_by_template if watch else {}

    def review(self, record: AgentRecord, now: float) -> GuardStep | None:
        """Return the step that the latest report calls for, if any."""
        watch = self._watch_by_agent.setdefault(record.agent_id, _Watch())
        beside = self._interference.colocated_load(record.agent_id)
        _forget_absent(watch, beside)
        excess, service_name = self._worst(record, beside)
        if excess > RAISED:
            watch.raised_beats += 1
            watch.calm_since = None
        else:
            watch.raised_beats = 0
            if excess > _CALM:
                watch.calm_since = None
            elif watch.calm_since is None:
                watch.calm_since = now
        if now - watch.changed_at < _SETTLE_MS:
            return None
        if watch.raised_beats >= _CONFIRMING_BEATS:
            return self._tighten(record, watch, service_name, excess, now)
        return self._relax(record, watch, now)

    def _worst(
        self, record: AgentRecord, beside: ColocatedLoad
    ) -> tuple[float, str]:
        """Return the largest excess of log(tail) over its level."""
        worst: float = 0
        worst_service = ''
        for view in record.backend_by_id.values():
            report = view.report
            load = beside.load_by_service.get(report.service_name, 0)
            level = self._interference.model.level(report.service_name, load)
            if report.tail_ms <= 0 or level is None:
                continue
            excess = math.log(report.tail_ms) - level
            if excess > worst:
                worst, worst_service = excess, report.service_name
        return worst, worst_service

    def _tighten(
        self,
        record: AgentRecord,
        watch: _Watch,
        service_name: str,
        excess: float,
        now: float,
    ) -> GuardStep | None:
        if now - watch.relaxed_at < _RELAPSE_MS:
            watch.hold_ms = min(watch.hold_ms * 2, _MAX_HOLD_MS)
            watch.relaxed_at = -math.inf
        harm_by_template = self._harm(record, service_name)
        if not harm_by_template:
            return None
        throttleable = [
            template
            for template in harm_by_template
            if watch.share_by_template.get(template, _FULL) > _FLOOR
        ]
        log_event(
            Event.TAIL_RAISED,
            agent=record.agent_id,
            service=service_name,
            times=f'{math.exp(excess):.2f}',
        )
        watch.changed_at = now
        if throttleable:
            culprit = max(throttleable, key=harm_by_template.__getitem__)
            share = watch.share_by_template.get(culprit, _FULL) * _STEP
            watch.share_by_template[culprit] = share
            return GuardStep(culprit, share)
        if now - watch.moved_at < _MOVE_AFTER_MS:
            return None
        watch.moved_at = now
        culprit = max(harm_by_template, key=harm_by_template.__getitem__)
        return GuardStep(culprit, watch.share_by_template[culprit], moves=1)

    def _harm(
        self,
        record: AgentRecord,
        service_name: str,
    ) -> dict[str, float]:
        """Return what each batch template may add to the service's tail."""
        beside = self._interference.colocated_load(record.agent_id)
        load = beside.load_by_service.get(service_name, 0)
        harm_by_template = {}
        for template in batch_templates(record):
            part = beside.past_by_template.get(template, 0)
            prediction = self._interference.model.predict(
                service_name,
                load,
                {template: part},
            )
            harm = prediction.mean + prediction.deviation
            if harm > _MATERIAL:
                harm_by_template[template] = harm
        return harm_by_template

    def _relax(
        self,
        record: AgentRecord,
        watch: _Watch,
        now: float,
    ) -> GuardStep | None:
        calm_since = watch.calm_since
        if calm_since is None or now - calm_since < watch.hold_ms:
            return None
        if not watch.share_by_template:
            watch.hold_ms = max(watch.hold_ms / 2, _FIRST_HOLD_MS)
            watch.calm_since = now
            return None
        template = min(
            watch.share_by_template,
            key=watch.share_by_template.__getitem__,
        )
        share = min(watch.share_by_template[template] / _STEP, _FULL)
        watch.share_by_template[template] = share
        if share == _FULL:
            watch.share_by_template.pop(template)
        watch.changed_at = now
        watch.relaxed_at = now
        watch.calm_since = now
        return GuardStep(template, share)


def _forget_absent(watch: _Watch, beside: ColocatedLoad) -> None:
    for template in list(watch.share_by_template):
        if template not in beside.past_by_template:
            watch.share_by_template.pop(template)
