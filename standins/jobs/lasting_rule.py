"""Checks that each keeper runs again within the specified time."""

# A keeper must run again AWAY_S after its last run if there has been no
# disruption for the last CALM_S of that time.
AWAY_S = 9
CALM_S = 7
CHECK_INTERVAL_S = 0.05


class LastingRule:
    """Monitors the keepers of some jobs.

    Attributes:
        lost: By task that violated the rule, how long it did not run.
        longest_s: The longest time that any task did not run, with or without
            disruptions.
    """

    def __init__(self, deployment, jobs):
        self._deployment = deployment
        now = deployment.reactor.seconds()
        self._disturbed_at = now
        self._last_at = {
            str(task): now
            for job in jobs
            for number, step in enumerate(job.steps)
            if step.is_keeper
            for task in job.tasks(0, number)
        }
        self.lost = {}
        self.longest_s = 0

    def disturb(self, ahead_s=0):
        """Record a disruption that lasts for ``ahead_s`` seconds from now."""
        now = self._deployment.reactor.seconds()
        self._disturbed_at = max(self._disturbed_at, now + ahead_s)

    def run(self, seconds):
        """Advance the time and check the tasks."""
        for _each in range(round(seconds / CHECK_INTERVAL_S)):
            self._deployment.run(CHECK_INTERVAL_S)
            self._check()

    def _check(self):
        now = self._deployment.reactor.seconds()
        is_calm = now - self._disturbed_at >= CALM_S
        for task, last_at in self._last_at.items():
            if self._deployment.run_recorder.running.get(task):
                self._last_at[task] = now
                continue
            down_s = round(now - last_at, 2)
            self.longest_s = max(self.longest_s, down_s)
            if is_calm and down_s >= AWAY_S:
                self.lost[task] = down_s
