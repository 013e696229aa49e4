"""Placement policies that the experiment compares with the real planner."""

import math

from hyssopring.placement import worker_ranking
from hyssopring.placement.interference import (
    InterferenceTracker,
    TemplateSlowdown,
)
from hyssopring.placement.slowdown import Prediction, SlowdownModel

LIMIT_FACTOR = math.exp(0.3)


class _CapacityRanking(TemplateSlowdown):
    """Ranks workers by free capacity alone."""

    def predict(self, agent, size):
        return 0.0

    def unlimited(self):
        return self


class _FirstFitRanking(_CapacityRanking):
    """Ranks workers by number, whatever their free capacity."""

    def predict(self, agent, size):
        number = int(agent.agent_id.rpartition('-')[2])
        free_part = agent.free.cores / agent.capacity.cores
        return 10.0 * number + free_part


class _NoInterferenceTracker(InterferenceTracker):
    slowdown_class = _CapacityRanking

    def template_slowdown(self, service_name, now):
        return self.slowdown_class(self, service_name.rpartition('/')[2], now)


class _FirstFitTracker(_NoInterferenceTracker):
    slowdown_class = _FirstFitRanking


class _StaticModel(SlowdownModel):
    """Predicts from one offline score per template, equal for all services."""

    score_by_template: dict = {}

    def predict(self, service_name, load, parts):
        interference = sum(
            self.score_by_template.get(template, 0.3) * part
            for template, part in parts.items()
        )
        return Prediction(math.log1p(interference), 0.0)


class _OracleModel(SlowdownModel):
    """Predicts the exact slowdown of the ground truth."""

    truth = None

    def predict(self, service_name, load, parts):
        factor = self.truth.slowdown(service_name, parts, load)
        return Prediction(math.log(factor), 0.0)


class _ReactiveModel(SlowdownModel):
    """Predicts from the total load of batch tasks, equal for all pairs."""

    def predict(self, service_name, load, parts):
        return Prediction(0.3 * sum(parts.values()), 0.0)


def _first_rack(ranking):
    """Pop the rack of least score, which for first fit is the worker number."""
    lowest_racks = [
        (min(rack[1:] + (zone,) for rack in racks))
        for zone, racks in ranking._racks_by_zone.items()
        if racks
    ]
    if not lowest_racks:
        return None
    _, rack, zone = min(lowest_racks)
    racks = ranking._racks_by_zone[zone]
    racks.remove(next(ranked for ranked in racks if ranked[-1] == rack))
    return rack


def apply_policy(name, deployment, truth):
    """Install the named policy in the planner of the only entry."""
    planner = deployment.entry().core.planner
    if name == 'learned':
        return
    model = {
        'static': _StaticModel,
        'all-knowing': _OracleModel,
        'reactive': _ReactiveModel,
    }.get(name, SlowdownModel)()
    if name == 'static':
        services = {service for service, _ in truth.weight_by_pair}
        for (_, template), weight in truth.weight_by_pair.items():
            score_so_far = model.score_by_template.get(template, 0)
            score = score_so_far + weight * 0.6 / len(services)
            model.score_by_template = {
                **model.score_by_template, template: score
            }  # fmt: skip
    model.truth = truth
    tracker_class = {
        'first fit': _FirstFitTracker,
        'spread': _NoInterferenceTracker,
        'reactive': _NoInterferenceTracker,
    }.get(name, InterferenceTracker)  # fmt: skip
    interference = tracker_class(model)
    planner._interference = interference
    planner._assigner._interference = interference
    planner._mitigation.tail_guard._interference = interference
    planner._mitigation.share_control._interference = interference
    if name == 'reactive' or name == 'static':
        planner._mitigation.share_control.review = lambda record: None
    if name in {'first fit', 'spread', 'all-knowing'}:
        planner._mitigation.share_control.review = lambda record: None
        planner._mitigation.tail_guard.review = lambda record, now: None
        planner._mitigation._has_share_mismatch = lambda record: False
    if name == 'first fit':
        worker_ranking.WorkerRanking._next_rack = _first_rack


def throttle_exactly(vm):
    """Throttle as the oracle: immediately, and no more than the limit needs."""
    tasks = [task for task in vm.running() if task.command.kind == 'batch']
    for task in tasks:
        task.share = 1.0
    weights = vm.truth.weight_by_pair
    tasks.sort(
        key=lambda task: (
            -weights[vm.service, task.command.service_name.rpartition('/')[2]]
        )
    )
    for task in tasks:
        factor = vm.truth.slowdown(vm.service, vm.parts(), vm.load)
        if factor <= LIMIT_FACTOR:
            return
        template = task.command.service_name.rpartition('/')[2]
        own_slowdown = factor - vm.truth.slowdown(
            vm.service,
            {**vm.parts(), template: vm.parts()[template]
             - task.cores / vm.cores},
            vm.load,
        )  # fmt: skip
        excess = factor - LIMIT_FACTOR
        task.share = (
            max(1 - excess / own_slowdown, 0.0) if own_slowdown > 0 else 1.0
        )
