"""Predict how batch tasks slow the services on the same VM.

The tracker keeps the load of each VM, smoothed over the same window of a few
seconds as the measured tail latency, and trains the slowdown model with it.
For a group of tasks it predicts how much one more task raises the tail
latency of the most affected service on a worker.
"""

import math
from dataclasses import dataclass, field
from typing import Mapping

from hyssopring.membership import AgentRecord
from hyssopring.placement.slowdown import SlowdownModel
from hyssopring.protocol.messages import Resources, TaskUsage
from hyssopring.tasks import TaskKind

__all__ = (
    'MAX_TAIL_GROWTH',
    'ColocatedLoad',
    'InterferenceTracker',
    'TemplateSlowdown',
    'batch_templates',
    'template_of',
)

# Accepted growth of log(tail): 1.35 times the tail without batch work.
MAX_TAIL_GROWTH = 0.3
_RISK_DEVIATIONS = 1.0
# Reported tails cover the calls of the last 4 to 8 s.
_SMOOTHING = 0.25
# How long a start counts separately, until reports include the task.
_UNREPORTED_MS = 2500.0
_MIN_FRACTION = 1e-3
# Use is measured late, so a single report has little weight.
_USE_RATIO_WEIGHT = 0.02
_MAX_USE_RATIO = 3
# The model is trained on at most 50 reports/s, to bound its processor time;
# the burst covers heartbeats of a fleet that arrive together.
_TRAINING_REPORTS_PER_MS = 0.05
_MAX_TRAINING_REPORTS = 50.0


@dataclass(slots=True)
class _PendingStart:
    """A start that reports may not show before ``until_ms``."""

    template: str
    core_fraction: float
    until_ms: float


@dataclass(slots=True)
class ColocatedLoad:
    """Load of the tasks and services that share one VM.

    Attributes:
        unthrottled_by_template: Expected fraction of the VM's cores that each
            template's tasks use when none is throttled.
        measured_by_template: Measured fraction of the cores, smoothed like the
            reported tail.
        load_by_service: Fraction of the backend's slots that is busy,
            smoothed as well.
        pending_starts: Starts that reports may not show yet.
    """

    unthrottled_by_template: dict[str, float] = field(default_factory=dict)
    measured_by_template: dict[str, float] = field(default_factory=dict)
    load_by_service: dict[str, float] = field(default_factory=dict)
    pending_starts: list[_PendingStart] = field(default_factory=list)

    def expected_by_template(self, now_ms: float) -> dict[str, float]:
        """Return the core fraction by template, with unreported starts."""
        fraction_by_template = dict(self.unthrottled_by_template)
        for start in self.pending_starts:
            if start.until_ms > now_ms:
                previous = fraction_by_template.get(start.template, 0)
                fraction_by_template[start.template] = (
                    previous + start.core_fraction
                )
        return fraction_by_template


def template_of(service_name: str) -> str:
    """Return the template's name in ``team/template``.

    Interference depends on the program, so teams that use the same template
    share one model.
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
    """Track the load of each VM and train the slowdown model."""

    def __init__(self, model: SlowdownModel | None = None) -> None:
        """Start with an untrained model unless one is given."""
        self.model = model or SlowdownModel()
        self._load_by_agent: dict[str, ColocatedLoad] = {}
        self._use_ratio_by_template: dict[str, float] = {}
        self._allowance_updated_at: float = 0
        self._training_allowance = _MAX_TRAINING_REPORTS

    def colocated_load(self, agent_id: str) -> ColocatedLoad:
        """Return the load of an agent's VM."""
        return self._load_by_agent.setdefault(agent_id, ColocatedLoad())

    def remove_agent(self, agent_id: str) -> None:
        """Drop the state of an agent that has disconnected."""
        self._load_by_agent.pop(agent_id, None)

    def on_heartbeat(self, record: AgentRecord, now_ms: float) -> None:
        """Update the load and the model from an agent's latest heartbeat."""
        colocated = self.colocated_load(record.agent_id)
        colocated.pending_starts = [
            start
            for start in colocated.pending_starts
            if start.until_ms > now_ms
        ]
        _smooth(
            colocated.measured_by_template,
            self._update_usage(record, colocated),
        )
        for view in record.backend_by_id.values():
            report = view.report
            load = (report.in_flight + report.queued) / max(report.slots, 1)
            previous = colocated.load_by_service.get(report.service_name, load)
            load = previous + _SMOOTHING * (load - previous)
            colocated.load_by_service[report.service_name] = load
            if report.tail_ms > 0 and self._spend_training_allowance(now_ms):
                self.model.observe(
                    report.service_name,
                    load,
                    colocated.measured_by_template,
                    report.tail_ms,
                )

    def _update_usage(
        self,
        record: AgentRecord,
        colocated: ColocatedLoad,
    ) -> dict[str, float]:
        """Store the expected use; return the measured core fractions."""
        cores = max(record.capacity.cores, 1)
        unthrottled: dict[str, float] = {}
        measured: dict[str, float] = {}
        for group in record.usage:
            template = template_of(group.service_name)
            self._update_use_ratio(template, group)
            core_fraction = (
                self.expected_cores(template, group.reserved) / cores
            )
            unthrottled[template] = unthrottled.get(template, 0) + core_fraction
            core_fraction = group.used.cores / cores
            measured[template] = measured.get(template, 0) + core_fraction
        colocated.unthrottled_by_template = unthrottled
        return measured

    def _spend_training_allowance(self, now_ms: float) -> bool:
        """Spend one report of the training allowance, False if none is left.

        This bounds the processor time of the training in a large fleet.
        """
        refill = (
            now_ms - self._allowance_updated_at
        ) * _TRAINING_REPORTS_PER_MS
        self._allowance_updated_at = now_ms
        self._training_allowance = min(
            self._training_allowance + refill, _MAX_TRAINING_REPORTS
        )
        if self._training_allowance < 1:
            return False
        self._training_allowance -= 1
        return True

    def expected_cores(self, template: str, size: Resources) -> float:
        """Return the cores that a template's tasks of this size will use."""
        return size.cores * self._use_ratio_by_template.get(template, 1)

    def _update_use_ratio(self, template: str, group: TaskUsage) -> None:
        """Update the ratio of used to reserved cores of a template."""
        allowed_cores = group.reserved.cores * group.share
        if allowed_cores > 0:
            average = self._use_ratio_by_template.get(template, 1)
            use_ratio = group.used.cores / allowed_cores
            average += _USE_RATIO_WEIGHT * (
                min(use_ratio, _MAX_USE_RATIO) - average
            )
            self._use_ratio_by_template[template] = average

    def is_running(self, template: str, now_ms: float) -> bool:
        """Whether a task of a template is running or starting on any VM."""
        return any(
            template in colocated.unthrottled_by_template
            or any(
                start.template == template and start.until_ms > now_ms
                for start in colocated.pending_starts
            )
            for colocated in self._load_by_agent.values()
        )

    def template_slowdown(
        self, service_name: str, now_ms: float
    ) -> 'TemplateSlowdown':
        """Return a predictor for the tasks of one template."""
        return TemplateSlowdown(self, template_of(service_name), now_ms)


class TemplateSlowdown:
    """Predict how one more task of a template slows each worker's services."""

    def __init__(
        self,
        interference: InterferenceTracker,
        template: str,
        now_ms: float,
        limit: float = MAX_TAIL_GROWTH,
    ) -> None:
        """Create a predictor.

        Args:
            interference: The load of the VMs and the model.
            template: Name of the template.
            now_ms: Clock time in milliseconds.
            limit: Largest accepted growth of log(tail).
        """
        self._interference = interference
        self._now_ms = now_ms
        self._limit = limit
        self.template = template

    def unlimited(self) -> 'TemplateSlowdown':
        """Return a predictor without a limit, which only ranks workers."""
        return TemplateSlowdown(
            self._interference,
            self.template,
            self._now_ms,
            math.inf,
        )

    def predict(self, agent: AgentRecord, size: Resources) -> float | None:
        """Return the expected growth of log(tail), None if over the limit.

        The limit applies to the mean plus one standard deviation.
        """
        colocated = self._interference.colocated_load(agent.agent_id)
        fraction_by_template = colocated.expected_by_template(self._now_ms)
        core_fraction = self._core_fraction(agent, size)
        fraction_by_template[self.template] = (
            fraction_by_template.get(self.template, 0) + core_fraction
        )
        worst: float = 0
        for service_name, load in colocated.load_by_service.items():
            prediction = self._interference.model.predict(
                service_name,
                load,
                fraction_by_template,
            )
            upper_bound = (
                prediction.mean + _RISK_DEVIATIONS * prediction.deviation
            )
            if upper_bound > self._limit:
                return None
            worst = max(worst, prediction.mean)
        return worst

    def add_start(self, agent: AgentRecord, size: Resources) -> None:
        """Count a task that is about to start on the worker."""
        core_fraction = self._core_fraction(agent, size)
        self._interference.colocated_load(agent.agent_id).pending_starts.append(
            _PendingStart(
                self.template, core_fraction, self._now_ms + _UNREPORTED_MS
            ),
        )

    def _core_fraction(self, agent: AgentRecord, size: Resources) -> float:
        cores = self._interference.expected_cores(self.template, size)
        return cores / max(agent.capacity.cores, 1)


def _smooth(
    smoothed: dict[str, float], fraction_by_template: Mapping[str, float]
) -> None:
    for template in smoothed.keys() | fraction_by_template.keys():
        previous = smoothed.get(template, 0)
        smoothed[template] = previous + _SMOOTHING * (
            fraction_by_template.get(template, 0) - previous
        )
        if (
            template not in fraction_by_template
            and smoothed[template] < _MIN_FRACTION
        ):
            smoothed.pop(template)
