"""The callers of the routing experiments, and what they see.

Arrivals are open-loop: a slow answer delays no later call.
"""

import math
import random
from dataclasses import dataclass, field

from hyssopring.errors import ErrorKind, RunState
from bench.routing_sites import AGENTS, DEADLINE_MS, SERVICE_MS, SLOTS

CLIENT_MS = 3.0
# One request's own work, see ``bench.routing_backend``.
WORK_SIGMA = 0.8


@dataclass
class Asked:
    """One call, and what its caller saw."""

    started_at: float
    deadline: float
    team: str
    took: float = math.nan
    kind: str = ''


@dataclass
class Figures:
    """What one run measured."""

    latencies: list = field(default_factory=list)
    answered: int = 0
    refused: int = 0
    late: int = 0
    unknown: int = 0
    asked: int = 0
    sends: int = 0
    extra: float = 0.0
    goodput: float = 0.0

    def quantile(self, share):
        if not self.latencies:
            return math.nan
        ranked = self.latencies
        return ranked[min(int(len(ranked) * share), len(ranked) - 1)]


class Load:
    """Open-loop callers whose rate shifts without warning."""

    def __init__(self, deployment, rate_per_s, seed, service=None):
        self.deployment = deployment
        self.service = service or deployment.site.service
        self.rate_per_s = rate_per_s
        self.rng = random.Random(f'{seed}-{self.service}')
        self.asked_by_id = {}
        self.is_on = True
        self.factor = 1.0
        self._patch_callers()
        self._shift()
        self._arrive()

    def _shift(self):
        self.factor = self.rng.uniform(0.8, 1.2)
        if self.is_on:
            self.deployment.loop.later(
                self.rng.expovariate(1 / 1500), self._shift
            )

    def _arrive(self):
        if not self.is_on:
            return
        self._call()
        gap = self.rng.expovariate(self.rate_per_s * self.factor / 1000)
        self.deployment.loop.later(gap, self._arrive)

    def _call(self):
        deployment = self.deployment
        alive = [
            number
            for number in range(len(deployment.entry_by_name))
            if number not in deployment.drained
        ]
        sigma = WORK_SIGMA
        work = SERVICE_MS * self.rng.lognormvariate(-sigma * sigma / 2, sigma)
        entry = self.rng.choice(alive)
        now = deployment.loop.now
        request_id = deployment.call(
            entry, self.service, f'{work:.3f}', budget_ms=DEADLINE_MS
        )
        self.asked_by_id[request_id] = Asked(now, now + DEADLINE_MS, '')
        answer = deployment.entry(entry).callers.answer_by_id.get(request_id)
        if answer is not None:
            self.take(request_id, answer)

    def take(self, request_id, answer):
        asked = self.asked_by_id.get(request_id)
        if asked is None or asked.kind:
            return
        asked.took = self.deployment.loop.now - asked.started_at
        failure = answer.failure
        asked.kind = failure.kind.value if failure else 'answered'
        if failure and failure.answer.run_state is RunState.NOT_RUN:
            asked.kind = 'refused'
            if failure.kind is ErrorKind.DEADLINE:
                asked.kind = 'late'

    def _patch_callers(self):
        for entry in self.deployment.entry_by_name.values():
            watch(entry.callers, self)

    def figures(self, since, until):
        """Sum up the calls that began within a time.

        A call without its answer in time counts in the percentiles with its
        whole deadline; refused ones, answered at once, do not count there.
        """
        sums = Figures()
        chosen = [
            asked
            for asked in self.asked_by_id.values()
            if since <= asked.started_at < until
        ]
        sums.asked = len(chosen)
        for asked in chosen:
            if asked.kind == 'refused':
                sums.refused += 1
                continue
            if asked.kind == 'answered':
                sums.answered += 1
                sums.latencies.append(asked.took + 2 * CLIENT_MS)
                continue
            if asked.kind == 'late' or not asked.kind:
                sums.late += 1
            else:
                sums.unknown += 1
            sums.latencies.append(DEADLINE_MS + 2 * CLIENT_MS)
        sums.latencies.sort()
        sums.goodput = sums.answered * 1000 / (until - since)
        return sums


def watch(callers, load):
    """Let a load see each answer at its time."""
    answer = callers.answer

    def watched(request_id, what):
        answer(request_id, what)
        load.take(request_id, what)

    callers.answer = watched


def rate_at(share):
    """Requests per second that use this share of all slots."""
    return share * AGENTS * SLOTS * 1000 / SERVICE_MS
