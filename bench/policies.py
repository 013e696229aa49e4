"""The baselines, and a bound that knows everything, behind the same port.

Each has the methods of ``hyssopring.routing.BackendSelector``. None of the
baselines hedges, recalls, ejects or refuses by deadline.
"""

import math

from hyssopring.routing import BackendChoice, LatencyWindow


class _Baseline:
    def __init__(self, deployment, rng):
        self.deployment = deployment
        self.rng = rng
        self._window = _Never()

    def latency_window(self, service_name):
        return self._window

    def choose(self, candidates, now):
        routable = [view for view in candidates if view.is_routable]
        if not routable:
            return None
        return BackendChoice(self.pick(routable), 'baseline')

    def on_sent(self, view, request_id, now):
        """Baselines learn nothing."""

    def on_response(self, record, response, now):
        """Baselines learn nothing."""

    def utilization(self, service_name):
        return 1.0

    def forget(self, record):
        """Baselines learn nothing."""


class _Never(LatencyWindow):
    p95_ms = math.inf


class RandomChoice(_Baseline):
    """Any backend."""

    def pick(self, routable):
        return self.rng.choice(routable)


class RoundRobin(_Baseline):
    """One after the other, from a random start."""

    def __init__(self, deployment, rng):
        super().__init__(deployment, rng)
        self._next = rng.randrange(1000)

    def pick(self, routable):
        self._next += 1
        ranked = sorted(routable, key=lambda view: view.agent.agent_id)
        return ranked[self._next % len(ranked)]


class LeastConnections(_Baseline):
    """Fewest of this entry's own calls in flight; ties at random."""

    def pick(self, routable):
        return min(
            routable, key=lambda view: (view.in_flight, self.rng.random())
        )


class AllKnowing(_Baseline):
    """Knows each backend's present calls, speed, health and links.

    It does not know the future, nor how long a call will run.
    """

    def pick(self, routable):
        return min(routable, key=self._expected)

    def _expected(self, view):
        deployment = self.deployment
        agent = deployment.agent_by_name[view.agent.agent_id]
        backend = agent.backend_by_name[view.report.backend_id]
        load = deployment.true_load(agent) + 1
        service = deployment.service_ms * backend.factor
        if backend.is_stalled or deployment.is_silent(agent):
            service = 1e6
        wait = service * max(load - backend.slots, 0) / backend.slots
        near = agent.core.identity.zone in deployment.zones_near(self)
        network = 0.2 if near else 2 * deployment.site.zone_ms
        return (service + wait + network, load, self.rng.random())


POLICIES = {
    'random': RandomChoice,
    'round-robin': RoundRobin,
    'least-connections': LeastConnections,
    'hyssopring': None,
    'all-knowing': AllKnowing,
}
BASELINES = ('random', 'round-robin', 'least-connections')
