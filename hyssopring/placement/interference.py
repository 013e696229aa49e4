"""Places batch work by what it does to the services beside it.

Keeps, per agent, what shares the VM (smoothed as the measured tail is, which
rests on some seconds of calls) and feeds the slowdown model with it. Answers
for a group of tasks how much one more would raise the tail of the worst-off
service on a worker.
"""

import math
from dataclasses import dataclass, field
from typing import Mapping

from hyssopring.membership import AgentRecord
from hyssopring.placement.slowdown import SlowdownModel
from hyssopring.protocol.messages import Resources, TaskUsage
from hyssopring.tasks import TaskKind

__all__ = (
    'TAIL_LIMIT',
    'ColocatedLoad',
    'InterferenceTracker',
    'TemplateSlowdown',
    'batch_templates',
    'template_of',
)

# How far log(tail) may be raised: a tail 1.35 times that without batch work.
TAIL_LIMIT = 0.3
_DEVIATIONS = 1.0
# The tail that is reported rests on the last 4 to 8 s of calls.
_SMOOTHING = 0.25
_PLANNED_MS = 2500.0
_NEGLIGIBLE = 1e-3
# Use is measured late, so each report says little of it.
_USE_WEIGHT = 0.02
_MAX_USE = 3
# At most 50 reports a second are learned from, in bursts of one fleet's beat.
_REPORTS_PER_MS = 0.05
_MAX_ALLOWANCE = 50.0


@dataclass(slots=True)
class _Planned:
    template: str
    part: float
    until: float


@dataclass(slots=True)
class ColocatedLoad:
    """What shares one VM.

    Attributes:
        full_by_template: Part of the VM's cores that each template's tasks
            are expected to use when none is throttled.
        past_by_template: What was measured, smoothed as the tail is.
        load_by_service: Busy part of the slots, smoothed too.
    """

    full_by_template: dict[str, float] = field(default_factory=dict)
    past_by_template: dict[str, float] = field(default_factory=dict)
    load_by_service: dict[str, float] = field(default_factory=dict)
    planned: list[_Planned] = field(default_factory=list)

    def expected(self, now: float) -> dict[str, float]:
        """Return the parts by template, starts under way included."""
        parts = dict(self.full_by_template)
        for planned in self.planned:
            if planned.until > now:
                known = parts.get(planned.template, 0)
                parts[planned.template] = known + planned.part
        return parts


def template_of(service_name: str) -> str:
    """Return the template's name in ``team/template``.

    Interference comes from the program, so that teams share what is learned.
    """
    return service_name.rpartition('/')[2]


def batch_templates(record: AgentRecord) -> set[str]:
    """Return the templates of the batch tasks on an agent."""
    return {
        template_of(group.service_name)
        for group in record.usage
        if group.kind == TaskKind.BATCH.value
    }


class InterferenceTracker:
    """Learns from heartbeats and answers for placements."""

    def __init__(self, model: SlowdownModel | None = None) -> None:
        """Start with an unlearned model unless one is given."""
        self.model = model or SlowdownModel()
        self._beside_by_agent: dict[str, ColocatedLoad] = {}
        self._use_by_template: dict[str, float] = {}
        self._learned_at: float = 0
        self._allowance = _MAX_ALLOWANCE

    def colocated_load(self, agent_id: str) -> ColocatedLoad:
        """Return what shares an agent's VM."""
        return self._beside_by_agent.setdefault(agent_id, ColocatedLoad())

    def forget(self, agent_id: str) -> None:
        """An agent has gone."""
        self._beside_by_agent.pop(agent_id, None)

    def on_heartbeat(self, record: AgentRecord, now: float) -> None:
        """Learn from an agent's latest report."""
        beside = self.colocated_load(record.agent_id)
        beside.planned = [one for one in beside.planned if one.until > now]
        _smooth(beside.past_by_template, self._take_usage(record, beside))
        for view in record.backend_by_id.values():
            report = view.report
            load = (report.in_flight + report.queued) / max(report.slots, 1)
            known = beside.load_by_service.get(report.service_name, load)
            load = known + _SMOOTHING * (load - known)
            beside.load_by_service[report.service_name] = load
            if report.tail_ms > 0 and self._may_learn(now):
                self.model.observe(
                    report.service_name,
                    load,
                    beside.past_by_template,
                    report.tail_ms,
                )

    def _take_usage(
        self,
        record: AgentRecord,
        beside: ColocatedLoad,
    ) -> dict[str, float]:
        """Keep what tasks may use; return what was measured of them."""
        cores = max(record.capacity.cores, 1)
        full: dict[str, float] = {}
        measured: dict[str, float] = {}
        for group in record.usage:
            template = template_of(group.service_name)
            self._learn_use(template, group)
            part = self.expected_use(template, group.reserved) / cores
            full[template] = full.get(template, 0) + part
            part = group.used.cores / cores
            measured[template] = measured.get(template, 0) + part
        beside.full_by_template = full
        return measured

    def _may_learn(self, now: float) -> bool:
        """Bound the processor time that learning takes in a large fleet."""
        refill = (now - self._learned_at) * _REPORTS_PER_MS
        self._learned_at = now
        self._allowance = min(self._allowance + refill, _MAX_ALLOWANCE)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def expected_use(self, template: str, size: Resources) -> float:
        """Return the cores that tasks of this size are expected to use."""
        return size.cores * self._use_by_template.get(template, 1)

    def _learn_use(self, template: str, group: TaskUsage) -> None:
        """Learn which part of their size a template's tasks use."""
        unthrottled = group.reserved.cores * group.share
        if unthrottled > 0:
            known = self._use_by_template.get(template, 1)
            use = group.used.cores / unthrottled
            known += _USE_WEIGHT * (min(use, _MAX_USE) - known)
            self._use_by_template[template] = known

    def is_running(self, template: str, now: float) -> bool:
        """Whether a task of a template runs or starts anywhere."""
        return any(
            template in beside.full_by_template
            or any(
                planned.template == template and planned.until > now
                for planned in beside.planned
            )
            for beside in self._beside_by_agent.values()
        )

    def template_slowdown(
        self, service_name: str, now: float
    ) -> 'TemplateSlowdown':
        """Return what answers for the tasks of one template."""
        return TemplateSlowdown(self, template_of(service_name), now)


class TemplateSlowdown:
    """What one more task of a template does on each worker."""

    def __init__(
        self,
        interference: InterferenceTracker,
        template: str,
        now: float,
        limit: float = TAIL_LIMIT,
    ) -> None:
        """Answer as of ``now``; refuse what passes ``limit``."""
        self._interference = interference
        self._now = now
        self._limit = limit
        self.template = template

    def unlimited(self) -> 'TemplateSlowdown':
        """Return the same, which only ranks and refuses nothing."""
        return TemplateSlowdown(
            self._interference,
            self.template,
            self._now,
            math.inf,
        )

    def predict(self, agent: AgentRecord, size: Resources) -> float | None:
        """Return the expected growth of log(tail), None if over the limit."""
        beside = self._interference.colocated_load(agent.agent_id)
        parts = beside.expected(self._now)
        part = self._part(agent, size)
        parts[self.template] = parts.get(self.template, 0) + part
        worst: float = 0
        for service_name, load in beside.load_by_service.items():
            prediction = self._interference.model.predict(
                service_name,
                load,
                parts,
            )
            upper = prediction.mean + _DEVIATIONS * prediction.deviation
            if upper > self._limit:
                return None
            worst = max(worst, prediction.mean)
        return worst

    def take(self, agent: AgentRecord, size: Resources) -> None:
        """Count a task that is about to start there."""
        part = self._part(agent, size)
        self._interference.colocated_load(agent.agent_id).planned.append(
            _Planned(self.template, part, self._now + _PLANNED_MS),
        )

    def _part(self, agent: AgentRecord, size: Resources) -> float:
        cores = self._interference.expected_use(self.template, size)
        return cores / max(agent.capacity.cores, 1)


def _smooth(past: dict[str, float], parts: Mapping[str, float]) -> None:
    for template in past.keys() | parts.keys():
        known = past.get(template, 0)
        past[template] = known + _SMOOTHING * (parts.get(template, 0) - known)
        if template not in parts and past[template] < _NEGLIGIBLE:
            past.pop(template)
