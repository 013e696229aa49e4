"""A plain choice of workers that computes everything again for each task.

The reference of the planner's faster choice: it follows the rules of
hyssopring/jobs/placement_option.py and placement_round.py one by one.
"""

from hyssopring.jobs.interference import MAX_HEADROOM
from hyssopring.jobs.model import Size


class PlainOption:
    """A worker with what is left of it after the round's reservations."""

    def __init__(self, worker, model, is_refusing):
        keepers, fillers = split(worker)
        self.worker, self.model, self.is_refusing = worker, model, is_refusing
        self.free = free_of(worker)
        self.filler_cpu = sum(placed.cpu_used_millis for placed in fillers)
        self.throttled_cpu = (
            sum(placed.cpu_at_full_pace for placed in fillers) - self.filler_cpu
        )
        self.unused_cpu = 0.5 * sum(
            placed.step.size.cpu_millis for placed in keepers
        )
        self.keeper_count, self.filler_count = len(keepers), len(fillers)
        self.is_high = bool(keepers) and is_high(keepers, fillers)
        self.headrooms = [
            present_headroom(keeper)
            - sum(
                (placed.cpu_at_full_pace - placed.cpu_used_millis)
                / 1000
                * model.per_core(keeper.step.image, placed.step.image).mean
                for placed in fillers
            )
            for keeper in keepers
        ]

    @property
    def idle_cpu(self):
        return self.free.cpu_millis + self.unused_cpu - self.filler_cpu

    def estimates(self, step):
        return [
            self.model.per_core(keeper.step.image, step.image)
            for keeper in split(self.worker)[0]
        ]

    def max_interference(self, step):
        estimates = self.estimates(step)
        if len(estimates) < self.keeper_count:
            return 1
        cores = step.size.cpu_millis / 1000
        return max((cores * each.upper_bound for each in estimates), default=0)

    def headrooms_after(self, step):
        cores = step.size.cpu_millis / 1000
        return [
            headroom - cores * estimate.mean
            for headroom, estimate in zip(
                self.headrooms, self.estimates(step), strict=False
            )
        ]

    def has_capacity(self, step, is_starved):
        if not step.reserved_size.fits_in(self.free):
            return False
        if not step.fills or is_starved:
            return True
        has_idle_cpu = self.idle_cpu >= 0.7 * step.size.cpu_millis
        if not self.keeper_count:
            return has_idle_cpu or not self.filler_cpu
        if min(self.headrooms_after(step), default=MAX_HEADROOM) <= 1.2:
            return False
        if self.is_high and self.max_interference(step) >= 0.35:
            return False
        return has_idle_cpu

    def score(self, step, rack):
        score = self.idle_cpu
        if self.keeper_count and step.fills:
            interference = min(1, self.max_interference(step))
            score -= interference * (20_000 + self.throttled_cpu)
        elif self.keeper_count:
            score += 20_000
        if step.target_ms:
            score -= 4000 * self.filler_count
        if rack and rack != self.worker.rack:
            score -= 4000
        return score

    def reserve(self, step):
        self.free = self.free.minus(step.reserved_size)
        if step.fills:
            self.headrooms = self.headrooms_after(step)
            self.filler_cpu += step.size.cpu_millis
            self.filler_count += 1
            self.is_high = self.is_high or bool(self.keeper_count)
        if step.target_ms:
            self.keeper_count += 1

    def count_tasks(self, name):
        return sum(
            (placed.name.job_id, placed.name.occurrence, placed.name.step)
            == (name.job_id, name.occurrence, name.step)
            for placed in self.worker.placed_by_task.values()
        )


class PlainRound:
    """Chooses a worker for each task by a comparison of all of them."""

    def __init__(self, workers, model, refusing=()):
        self.options = [
            PlainOption(worker, model, worker.agent_id in refusing)
            for worker in workers
        ]

    def choose(self, service, step, name, is_starved, allowed_boots=None):
        eligible = [
            option
            for option in self.options
            if option.worker.service == service
            and (allowed_boots is None or option.worker.boot in allowed_boots)
            and (not step.label or step.label in option.worker.report.labels)
            and option.has_capacity(step, is_starved)
            and not 0 < step.max_per_worker <= option.count_tasks(name)
        ]
        if not eligible:
            return None
        rack = step.rack
        if step.is_local and not rack:
            rack = self.rack_of(service, name)
        best = max(
            eligible,
            key=lambda option: (
                not option.is_refusing,
                option.score(step, rack),
            ),
        )
        best.reserve(step)
        return best.worker

    def rack_of(self, service, name):
        count_by_rack = {}
        for option in self.options:
            if option.worker.service == service:
                rack = option.worker.rack
                count_by_rack[rack] = count_by_rack.get(
                    rack, 0
                ) + option.count_tasks(name)
        rack = max(count_by_rack, key=count_by_rack.get)
        return rack if count_by_rack[rack] else ''


def split(worker):
    """Return the latency-critical and the best-effort tasks of a worker."""
    placed = list(worker.placed_by_task.values())
    return (
        [each for each in placed if each.step.target_ms],
        [each for each in placed if each.step.fills],
    )


def free_of(worker):
    report = worker.report
    free = Size(report.cpu_millis, report.memory_mb, report.accelerators)
    free = free.minus(
        Size(
            report.foreign_cpu,
            report.foreign_memory,
            report.foreign_accelerators,
        )
    )
    for placed in worker.placed_by_task.values():
        free = free.minus(placed.step.reserved_size)
    return free


def present_headroom(keeper):
    if not keeper.load:
        return 1.5
    return min(MAX_HEADROOM, keeper.step.target_ms / keeper.load)


def is_high(keepers, fillers):
    paces = [max(placed.pace, 0) for placed in fillers]
    return (
        any(placed.report_count <= 2 for placed in fillers)
        or sum(paces) < 60 * len(paces)
        or max(each.load / each.step.target_ms for each in keepers) > 0.55
    )
