"""Since when nothing disturbs a deployment.

A keeper may be away while something is wrong, and for a while after. To say
that one was lost needs the time since when all was well.
"""


class Calm:
    """Counts what is wrong with a deployment.

    Attributes:
        pending: How many faults have a part that is still to come: the
            return of a process, the next machine of a roll.
        since: When something was last wrong; it lies ahead while an order
            that was lost is still to be carried out late.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self.pending = 0
        self.since = 0

    def touch(self, ahead_s=0):
        """Something is wrong now, or until so many seconds from now."""
        now = self._deployment.reactor.seconds()
        self.since = max(self.since, now + ahead_s)

    def look(self):
        """Note what is wrong now; call several times a second."""
        if self.pending:
            self.touch()
        for process in self._processes():
            if process.thaws_at is not None:
                self.since = max(self.since, process.thaws_at)
        for each in [*self._deployment.workers, self._deployment.rows]:
            if each.lose_next:
                self.touch(each.late_s)

    def lasted_s(self):
        """For how long nothing has been wrong."""
        return self._deployment.reactor.seconds() - self.since

    def _processes(self):
        deployment = self._deployment
        everyone = [*deployment.entries.values(), *deployment.agents.values()]
        return [each for each in everyone if each.is_alive]
