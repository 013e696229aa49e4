"""Baseline routing policies and an oracle bound with the same interface.

Each policy has the methods of ``hyssopring.routing.BackendSelector``. The
baselines never hedge, recall, eject or refuse by deadline.
"""

import math

from hyssopring.routing import BackendChoice, LatencyWindow


class _Baseline:
    def __init__(self, deployment, rng):
        self.deployment = deployment
        self.rng = rng
        self._window = _NeverHedging()

    def latency_window(self, service_name):
        return self._window

    def choose(self, candidates, now):
        routable = [view for view in candidates if view.is_routable]
        if not routable:
            return None
        return BackendChoice(self.pick(routable), 'baseline')

    def on_sent(self, view, request_id, now):
        """Baselines keep no state of calls."""

    def on_response(self, record, response, now):
        """Baselines keep no state of calls."""

    def utilization(self, service_name):
        return 1.0

    def remove_agent(self, record):
        """Baselines keep no state of calls."""


class _NeverHedging(LatencyWindow):
    """A latency window whose p95 is never exceeded, so no call is hedged."""

    p95_ms = math.inf


class RandomChoice(_Baseline):
    """Select a backend uniformly at random."""

    def pick(self, routable):
        return self.rng.choice(routable)


class RoundRobin(_Baseline):
    """Select backends in order, from a random start."""

    def __init__(self, deployment, rng):
        super().__init__(deployment, rng)
        self._next = rng.randrange(1000)

    def pick(self, routable):
        self._next += 1
        ranked = sorted(routable, key=lambda view: view.agent.agent_id)
        return ranked[self._next % len(ranked)]


class LeastConnections(_Baseline):
    """Select the fewest calls in flight from this entry; ties at random."""

    def pick(self, routable):
        return min(
            routable, key=lambda view: (view.in_flight, self.rng.random())
        )


class Oracle(_Baseline):
    """Select by the true load, speed, health and links of each backend.

    Future events and the run time of a call are unknown to it.
    """

    def pick(self, routable):
        return min(routable, key=self._expected_latency)

    def _expected_latency(self, view):
        deployment = self.deployment
        agent = deployment.agent_by_name[view.agent.agent_id]
        backend = agent.backend_by_name[view.report.backend_id]
        load = deployment.true_load(agent) + 1
        execution_ms = deployment.service_ms * backend.factor
        if backend.is_stalled or deployment.is_silent(agent):
            execution_ms = 1e6
        wait_ms = execution_ms * max(load - backend.slots, 0) / backend.slots
        is_near = agent.core.identity.zone in deployment.zones_near(self)
        network_ms = 0.2 if is_near else 2 * deployment.site.zone_ms
        return (execution_ms + wait_ms + network_ms, load, self.rng.random())


POLICIES = {
    'random': RandomChoice,
    'round-robin': RoundRobin,
    'least-connections': LeastConnections,
    'hyssopring': None,
    'all-knowing': Oracle,
}
BASELINES = ('random', 'round-robin', 'least-connections')
