"""Detects how long a deployment has been free of disruptions.

It observes the deployment, whereas ``Calm`` counts the faults of a schedule
that are still pending. A process that stays down is no disruption here, only
its end and its restart are.
"""

from standins.jobs.rows import no_pauses


class Stillness:
    """Detects disruptions of a deployment.

    Attributes:
        since: Time of the last disruption; in the future while a process is
            frozen or a delayed request is pending.
        silent_at: When an entry's process was last down or frozen, so that
            an owner may not be known to be dead.
    """

    def __init__(self, deployment, gone=(), is_disturbed=lambda: False):
        """Begin; ``gone`` has the agents of VMs that are permanently lost."""
        self._deployment = deployment
        self._gone = gone
        self._is_disturbed = is_disturbed
        self._last_processes = None
        self._armed = {}
        self.since = 0
        self.silent_at = 0

    def check(self):
        """Check for disruptions; call several times a second."""
        processes = self._processes()
        if processes != self._last_processes or self._is_wrong():
            self._record_disruption()
        self._last_processes = processes
        self._check_lost_answers()
        for process in self._live():
            if process.thaws_at is not None:
                self.since = max(self.since, process.thaws_at)
        if any(map(self._is_silent, self._deployment.entries.values())):
            self.silent_at = self._now()

    def lasted_s(self):
        """Return the seconds since the last disruption."""
        return self._now() - self.since

    def _now(self):
        return self._deployment.reactor.seconds()

    def _record_disruption(self, ahead_s=0):
        self.since = max(self.since, self._now() + ahead_s)

    def _live(self):
        deployment = self._deployment
        processes = [*deployment.entries.values(), *deployment.agents.values()]
        return [each for each in processes if each.is_alive]

    def _processes(self):
        """Return a state that changes when any process ends or starts."""
        workers = self._deployment.workers
        incarnations = [(each, each.incarnation_count) for each in workers]
        return self._live(), incarnations, self._deployment.rows.kept_from

    def _is_wrong(self):
        deployment, rows = self._deployment, self._deployment.rows
        is_store_wrong = rows.is_down or rows.is_silent or rows.rejected_clients
        return bool(
            self._is_disturbed()
            or deployment.cut
            or deployment.blocked
            or is_store_wrong
            or rows.pauses is not no_pauses
            or any(map(self._is_worker_wrong, deployment.agents.values()))
        )

    def _is_worker_wrong(self, agent):
        worker = agent.worker
        if agent.name in self._gone:
            return False
        return worker.is_unresponsive or worker.slow_s or worker.is_unhealthy

    def _check_lost_answers(self):
        """Count each lost answer, but not the intent to lose some."""
        for each in [*self._deployment.workers, self._deployment.rows]:
            armed = each.lose_next + getattr(each, 'lose_polls', 0)
            if armed < self._armed.get(each, 0):
                self._record_disruption(each.late_s)
            self._armed[each] = armed

    def _is_silent(self, entry):
        is_frozen = entry.thaws_at is not None and entry.thaws_at > self._now()
        return not entry.is_alive or is_frozen
