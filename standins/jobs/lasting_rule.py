"""Looks whether each task that lasts runs again as soon as it has to."""

# Nothing has run of a task for this long after its last run, and for the last
# part of it without any disruption: by then it has to run.
AWAY_S = 9
CALM_S = 7
LOOK_S = 0.05


class LastingRule:
    """Watches the lasting tasks of some jobs.

    Attributes:
        lost: By task: for how long nothing ran of it beyond the rule.
        longest_s: The longest that nothing ran of any task, calm or not.
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
        """Something is disrupted now, or until so many seconds from now."""
        now = self._deployment.reactor.seconds()
        self._disturbed_at = max(self._disturbed_at, now + ahead_s)

    def run(self, seconds):
        """Let time pass, and look all the while."""
        for _each in range(round(seconds / LOOK_S)):
            self._deployment.run(LOOK_S)
            self._look()

    def _look(self):
        now = self._deployment.reactor.seconds()
        is_calm = now - self._disturbed_at >= CALM_S
        for task, last_at in self._last_at.items():
            if self._deployment.book.running.get(task):
                self._last_at[task] = now
                continue
            away_s = round(now - last_at, 2)
            self.longest_s = max(self.longest_s, away_s)
            if is_calm and away_s >= AWAY_S:
                self.lost[task] = away_s
