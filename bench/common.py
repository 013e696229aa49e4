"""What the request experiments share: deployments, calls and figures.

The real cores of entries and agents under a virtual clock
(``standins.virtual``). Arrivals are open-loop: a slow answer delays no later
call. All numbers come from one seed.
"""

import json
import math
import random
from collections import Counter
from dataclasses import dataclass, field

from loguru import logger

from hyssopring.errors import ErrorKind, RunState
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import CallRequest, CallResponse, Resources
from standins.virtual import VirtualBackend, VirtualDeployment

AGENTS = 11
SLOTS = 8
ENTRIES = 4
CLIENT_MS = 3.0
SERVICE_MS = 50.0
DEADLINE_MS = 2000.0
WARM_UP_MS = 2000.0
# Service time = one request's own work x what this execution meets; a small
# share of executions pauses besides.
WORK_SIGMA = 0.8
EXECUTION_SIGMA = 0.5
PAUSE_SHARE = 0.005
PAUSE_MS = (100.0, 400.0)
FLOOD_TEAM = 'flood'


@dataclass(frozen=True)
class Site:
    """One of the two users' deployments."""

    name: str
    team: str
    template: str
    zones: tuple
    zone_ms: float
    capacity: Resources
    idempotent: bool

    @property
    def service(self):
        return f'{self.team}/{self.template}'


TRUST = Site(
    'trust',
    'trust',
    'booking',
    ('paddock', 'tack-room', 'office'),
    0.5,
    Resources(16, 60, 0),
    idempotent=False,
)
HEMEROTECA = Site(
    'hemeroteca',
    'hemeroteca',
    'search',
    ('zone-1', 'zone-2', 'zone-3'),
    1.0,
    Resources(32, 125, 0),
    idempotent=True,
)
SITES = {site.name: site for site in (TRUST, HEMEROTECA)}


class BenchBackend(VirtualBackend):
    """A backend whose executions can be slowed or stall."""

    def __init__(self, loop, name, service_name, rng):
        super().__init__(loop, name, service_name, SLOTS)
        self.rng = rng
        self.factor = 1.0
        self.is_stalled = False

    def serve(self, request, timeout_ms, done):
        if self.is_dead or self.is_stalled:
            failed = CallResponse(
                request.request_id,
                CallOutcome.FAILED.value,
                error=ErrorKind.BACKEND_FAILED.value,
            )
            self.loop.later(timeout_ms, done, failed)
            return
        took = float(request.path) * self.factor * self._execution()
        answer = CallResponse(
            request.request_id, CallOutcome.ANSWERED.value, 200
        )
        if took > timeout_ms:
            answer = CallResponse(
                request.request_id,
                CallOutcome.FAILED.value,
                error=ErrorKind.BACKEND_FAILED.value,
            )
        self.loop.later(min(took, timeout_ms), done, answer)

    def _execution(self):
        sigma = EXECUTION_SIGMA
        factor = self.rng.lognormvariate(-sigma * sigma / 2, sigma)
        if self.rng.random() < PAUSE_SHARE:
            factor += self.rng.uniform(*PAUSE_MS) / SERVICE_MS
        return factor


class Deployment(VirtualDeployment):
    """A site's entries and agents, with counted sends.

    ``policy`` is a baseline of ``bench.policies``, None for the product's
    own decisions.
    """

    service_ms = SERVICE_MS

    def __init__(self, site, seed, policy=None, entries=ENTRIES):
        self.site = site
        self.policy = policy
        self.sends = Counter()
        self.loads = []
        self.drained = set()
        self.travelling = Counter()
        super().__init__(entries, AGENTS, site.zones, site.capacity, seed=seed)
        self.backends = []
        for number, agent in enumerate(self.agent_by_name.values()):
            rng = random.Random(f'{seed}-backend-{number}')
            backend = BenchBackend(
                self.loop, f'backend-{number}', site.service, rng
            )
            self.backends.append(backend)
            agent.add_backend(backend)
        for entry in self.entry_by_name.values():
            self._equip(entry)
        self.run(1500)
        self._configure()

    def network_ms(self, entry, agent):
        if entry.core.identity.zone == agent.core.identity.zone:
            return 0.1
        return self.site.zone_ms

    def sends_of(self, service):
        return self.sends[service]

    def true_load(self, agent):
        load = agent.core.backends.load(self.site.service)
        return load.in_flight + load.queued + self.travelling[agent.name]

    def is_silent(self, agent):
        return any(link.is_silent for link in agent.link_by_entry.values())

    def zones_near(self, policy):
        return (policy.zone,)

    def drain(self, number):
        """The balancer takes an entry out, and it is told to stop."""
        self.drained.add(number)
        self.entry(number).core.stop()

    def replace(self, number):
        self.kill_entry(number)
        entry = self.restart_entry(number)
        self._equip(entry)
        self.loop.later(800, self.drained.discard, number)

    def add_flood(self, share, seed):
        """Another team's backends on the same VMs, far beyond capacity."""
        service = f'{FLOOD_TEAM}/{self.site.template}'
        for number, agent in enumerate(self.agent_by_name.values()):
            rng = random.Random(f'{seed}-flood-{number}')
            agent.add_backend(
                BenchBackend(self.loop, f'flood-{number}', service, rng)
            )
        key = f'parameters/{service}'
        assert self.configure(key, '{}') is not None
        self.run(3000)
        return Load(self, rate_at(share), seed, service)

    def _equip(self, entry):
        send = entry.send

        def counted(agent_id, message):
            if isinstance(message, CallRequest):
                self.sends[message.service_name] += 1
                self._travel(agent_id, entry)
            return send(agent_id, message)

        entry.send = counted
        if self.policy is not None:
            rng = random.Random(f'{self.seed}-{entry.name}-policy')
            policy = self.policy(self, rng)
            policy.zone = entry.core.identity.zone
            entry.core.router.sender.selector = policy
            entry.core.router._hedges._selector = policy

    def _travel(self, agent_id, entry):
        agent = self.agent_by_name[agent_id]
        self.travelling[agent_id] += 1
        self.loop.later(self.network_ms(entry, agent), self._land, agent_id)

    def _land(self, agent_id):
        self.travelling[agent_id] -= 1

    def _configure(self):
        template = {
            'kind': 'service',
            'size': {'cores': 8.0, 'memory_gb': 16.0},
            'idempotent': self.site.idempotent,
            'deadline_ms': DEADLINE_MS,
            'urgency': 8,
        }
        for key, document in (
            (f'template/{self.site.template}', template),
            (f'parameters/{self.site.service}', {}),
        ):
            answers = self.configure(key, json.dumps(document))
            self.run(200)
            assert answers[0].is_ok()
        self.run(2500)


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


def quiet():
    """Log lines are written by the daemons, not by experiments."""
    logger.remove()
