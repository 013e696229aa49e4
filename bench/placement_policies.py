"""Ways of placing that the experiment compares with the product's own."""

import math

from hyssopring.placement import worker_ranking
from hyssopring.placement.interference import (
    InterferenceTracker,
    TemplateSlowdown,
)
from hyssopring.placement.slowdown import Prediction, SlowdownModel

LIMIT_FACTOR = math.exp(0.3)


class _NoHarm(TemplateSlowdown):
    """Ranks by room alone."""

    def predict(self, agent, size):
        return 0.0

    def unlimited(self):
        return self


class _FirstHarm(_NoHarm):
    """Ranks by number, whatever the room."""

    def predict(self, agent, size):
        number = int(agent.agent_id.rpartition('-')[2])
        free_part = agent.free.cores / agent.capacity.cores
        return 10.0 * number + free_part


class _Blind(InterferenceTracker):
    harm_class = _NoHarm

    def template_slowdown(self, service_name, now):
        return self.harm_class(self, service_name.rpartition('/')[2], now)


class _First(_Blind):
    harm_class = _FirstHarm


class _StaticModel(SlowdownModel):
    """One offline score per template, the same beside every service."""

    score_by_template: dict = {}

    def predict(self, service_name, load, parts):
        harm = sum(
            self.score_by_template.get(template, 0.3) * part
            for template, part in parts.items()
        )
        return Prediction(math.log1p(harm), 0.0)


class _TrueModel(SlowdownModel):
    truth = None

    def predict(self, service_name, load, parts):
        factor = self.truth.slowdown(service_name, parts, load)
        return Prediction(math.log(factor), 0.0)


class _Unlearned(SlowdownModel):
    """Knows the level, not the pairs: blames whatever is largest."""

    def predict(self, service_name, load, parts):
        return Prediction(0.3 * sum(parts.values()), 0.0)


def _first_rack(ranking):
    """Pop the rack of least score, which for first fit is the number."""
    firsts = [
        (min(one[1:] + (zone,) for one in racks))
        for zone, racks in ranking._racks_by_zone.items()
        if racks
    ]
    if not firsts:
        return None
    _, rack, zone = min(firsts)
    racks = ranking._racks_by_zone[zone]
    racks.remove(next(one for one in racks if one[-1] == rack))
    return rack


def apply_policy(name, deployment, truth):
    """Make one entry's planner decide in the named way."""
    planner = deployment.entry().core.planner
    if name == 'learned':
        return
    model = {
        'static': _StaticModel,
        'all-knowing': _TrueModel,
        'reactive': _Unlearned,
    }.get(name, SlowdownModel)()
    if name == 'static':
        services = {service for service, _ in truth.weight_by_pair}
        for (_, template), weight in truth.weight_by_pair.items():
            known = model.score_by_template.get(template, 0)
            score = known + weight * 0.6 / len(services)
            model.score_by_template = {
                **model.score_by_template, template: score
            }  # fmt: skip
    model.truth = truth
    kind = {
        'first fit': _First, 'spread': _Blind, 'reactive': _Blind
    }.get(name, InterferenceTracker)  # fmt: skip
    interference = kind(model)
    planner._interference = interference
    planner._assigner._interference = interference
    planner._mitigation.tail_guard._interference = interference
    planner._mitigation.share_control._interference = interference
    if name == 'reactive' or name == 'static':
        planner._mitigation.share_control.review = lambda record: None
    if name in {'first fit', 'spread', 'all-knowing'}:
        planner._mitigation.share_control.review = lambda record: None
        planner._mitigation.tail_guard.review = lambda record, now: None
        planner._mitigation._has_other_share = lambda record: False
    if name == 'first fit':
        worker_ranking.WorkerRanking._next_rack = _first_rack


def throttle_exactly(vm):
    """The all-knowing bound: at once, as little as keeps the limit."""
    tasks = [t for t in vm.running() if t.command.kind == 'batch']
    for task in tasks:
        task.share = 1.0
    weights = vm.truth.weight_by_pair
    tasks.sort(
        key=lambda t: (
            -weights[vm.service, t.command.service_name.rpartition('/')[2]]
        )
    )
    for task in tasks:
        factor = vm.truth.slowdown(vm.service, vm.parts(), vm.load)
        if factor <= LIMIT_FACTOR:
            return
        template = task.command.service_name.rpartition('/')[2]
        own = factor - vm.truth.slowdown(
            vm.service,
            {**vm.parts(), template: vm.parts()[template]
             - task.cores / vm.cores},
            vm.load,
        )  # fmt: skip
        excess = factor - LIMIT_FACTOR
        task.share = max(1 - excess / own, 0.0) if own > 0 else 1.0
