"""Random fault schedules with workers that restart under the same ID."""

from standins.jobs.faults import RandomDay

# Initial readings of the incarnations' clocks.
CLOCKS_MS = (1000, 60_000, 500_000)


class ReturningDay(RandomDay):
    """A random fault schedule with workers that keep their IDs.

    Attributes:
        restarts: The number of worker restarts that were drawn.
    """

    def __init__(self, seed, workers=4, has_keepers=True):
        super().__init__(seed, workers, keeps_ids=True, has_keepers=has_keepers)
        self.restarts = 0
        for worker in self.deployment.workers:
            worker.clocks_ms = iter(lambda: self.random.choice(CLOCKS_MS), None)

    def _kinds(self):
        """Add series of restarts, and requests that are carried out late."""
        return [
            *super()._kinds(),
            self._restart_worker,
            self._restart_in_series,
            self._restart_with_agent,
            self._lose_calls,
            self._lose_calls_and_restart,
        ]

    def _restart_worker(self):
        self._restart(self.random.choice(self.deployment.workers))

    def _restart(self, worker):
        self.restarts += 1
        if self.random.random() < 0.3:
            worker.crash()
        else:
            worker.go_down(self.random.uniform(0.05, 3))

    def _restart_in_series(self):
        worker = self.random.choice(self.deployment.workers)
        for _each in range(self.random.randint(2, 4)):
            self._later(0, 2.5, self._restart, worker)

    def _restart_with_agent(self):
        name = self.random.choice(list(self.deployment.agents))
        agent = self.deployment.agents[name]
        if agent.is_alive:
            self.deployment.kill_agent(name)
            self._later(0.5, 3, self._agent_back, name)
        self._later(0, 1, self._restart, agent.worker)

    def _lose_calls(self):
        self._lose(self.random.choice(self.deployment.workers))

    def _lose(self, worker):
        worker.lose_next = self.random.randint(1, 8)
        worker.lose_polls = self.random.randint(0, 2)
        worker.late_s = self.random.choice([0.1, 0.5, 1, 2, 4])

    def _lose_calls_and_restart(self):
        worker = self.random.choice(self.deployment.workers)
        self._lose(worker)
        self._later(0, 1.5, self._restart, worker)

    def _heal(self):
        super()._heal()
        for worker in self.deployment.workers:
            worker.lose_polls = 0
