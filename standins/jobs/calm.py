"""Tracks how long a deployment has been free of scheduled faults.

A keeper may be down during a fault and shortly after it, so a check for lost
keepers needs the time of the last fault.
"""


class Calm:
    """Tracks the faults of a deployment.

    Attributes:
        pending: The number of scheduled steps of faults that are to come, such
            as the return of a process or the next VM of a rolling replacement.
        since: Time of the last fault; in the future while a delayed request is
            pending.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self.pending = 0
        self.since = 0

    def record_fault(self, ahead_s=0):
        """Record a fault that lasts for ``ahead_s`` seconds from now."""
        now = self._deployment.reactor.seconds()
        self.since = max(self.since, now + ahead_s)

    def check(self):
        """Check for faults; call several times a second."""
        if self.pending:
            self.record_fault()
        for process in self._processes():
            if process.thaws_at is not None:
                self.since = max(self.since, process.thaws_at)
        for each in [*self._deployment.workers, self._deployment.rows]:
            if each.lose_next:
                self.record_fault(each.late_s)

    def lasted_s(self):
        """Return the seconds since the last fault."""
        return self._deployment.reactor.seconds() - self.since

    def _processes(self):
        deployment = self._deployment
        processes = [*deployment.entries.values(), *deployment.agents.values()]
        return [each for each in processes if each.is_alive]
