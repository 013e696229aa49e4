"""Callers of the routing experiments and the outcomes of their calls.

Arrivals are open-loop: a slow answer does not delay later calls.
"""

import math
import random
from dataclasses import dataclass, field

from hyssopring.errors import ErrorKind, RunState
from bench.routing_sites import AGENTS, DEADLINE_MS, SERVICE_MS, SLOTS

CLIENT_MS = 3.0
# Spread of the work of a request, see ``bench.routing_backend``.
WORK_SIGMA = 0.8


@dataclass
class CallRecord:
    """One call and the outcome that its caller received."""

    started_at: float
    deadline: float
    team: str
    took: float = math.nan
    kind: str = ''


@dataclass
class Figures:
    """Totals of one run."""

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
        self.call_by_id = {}
        self.is_on = True
        self.factor = 1.0
        self._patch_callers()
        self._shift_rate()
        self._arrive()

    def _shift_rate(self):
        self.factor = self.rng.uniform(0.8, 1.2)
        if self.is_on:
            self.deployment.loop.later(
                self.rng.expovariate(1 / 1500), self._shift_rate
            )

    def _arrive(self):
        if not self.is_on:
            return
        self._call()
        gap_ms = self.rng.expovariate(self.rate_per_s * self.factor / 1000)
        self.deployment.loop.later(gap_ms, self._arrive)

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
        self.call_by_id[request_id] = CallRecord(now, now + DEADLINE_MS, '')
        answer = deployment.entry(entry).callers.answer_by_id.get(request_id)
        if answer is not None:
            self.record_answer(request_id, answer)

    def record_answer(self, request_id, answer):
        call = self.call_by_id.get(request_id)
        if call is None or call.kind:
            return
        call.took = self.deployment.loop.now - call.started_at
        failure = answer.failure
        call.kind = failure.kind.value if failure else 'answered'
        if failure and failure.answer.run_state is RunState.NOT_RUN:
            call.kind = 'refused'
            if failure.kind is ErrorKind.DEADLINE:
                call.kind = 'late'

    def _patch_callers(self):
        for entry in self.deployment.entry_by_name.values():
            observe_answers(entry.callers, self)

    def figures(self, since, until):
        """Sum up the calls that started from `since` to `until`, in ms.

        A call without an answer in time counts in the percentiles with its
        full deadline. Refused calls are excluded from the percentiles.
        """
        totals = Figures()
        calls = [
            call
            for call in self.call_by_id.values()
            if since <= call.started_at < until
        ]
        totals.asked = len(calls)
        for call in calls:
            if call.kind == 'refused':
                totals.refused += 1
                continue
            if call.kind == 'answered':
                totals.answered += 1
                totals.latencies.append(call.took + 2 * CLIENT_MS)
                continue
            if call.kind == 'late' or not call.kind:
                totals.late += 1
            else:
                totals.unknown += 1
            totals.latencies.append(DEADLINE_MS + 2 * CLIENT_MS)
        totals.latencies.sort()
        totals.goodput = totals.answered * 1000 / (until - since)
        return totals


def observe_answers(callers, load):
    """Pass each answer to a load when it arrives."""
    answer = callers.answer

    def observed_answer(request_id, outcome):
        answer(request_id, outcome)
        load.record_answer(request_id, outcome)

    callers.answer = observed_answer


def rate_at(share):
    """Requests per second that use this share of all slots."""
    return share * AGENTS * SLOTS * 1000 / SERVICE_MS
