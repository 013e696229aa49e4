"""Watches for times in which a former owner acts beside its successor."""

from collections import Counter

from hyssopring.logs import Event


class Overlaps:
    """Counts what former owners do while another entry owns the shard.

    Attributes:
        count: The number of times in which a former owner could act.
        seconds: How long these lasted in all.
        reasons: The number of attempts that owners gave up, by reason.
        by_former: The number of those that former owners gave up.
        restarts: The number of agents that were started meanwhile.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self._agents = {}
        self._acting = set()
        self._checked_at = 0
        self.count = 0
        self.seconds = 0
        self.reasons = Counter()
        self.by_former = 0
        self.restarts = 0

    def check(self):
        """Check who acts; call several times a second."""
        now = self._deployment.reactor.seconds()
        acting = self._former_owners()
        self.count += len(acting - self._acting)
        if acting:
            self.seconds += now - self._checked_at
        agents = dict(self._deployment.agents)
        if acting or self._acting:
            self.restarts += sum(
                self._agents.get(name) is not agent
                for name, agent in agents.items()
            )
        self._acting, self._agents, self._checked_at = acting, agents, now

    def _owners(self):
        """Return the live owners with their epochs."""
        return [
            (entry, owned.epoch)
            for entry in self._deployment.entries.values()
            if entry.is_alive
            for owned in entry.core.owner.shards.by_shard.values()
        ]

    def _former_owners(self):
        """Return the former owners that run and may act now."""
        owners = self._owners()
        newest = max((epoch for _entry, epoch in owners), default=0)
        now = self._deployment.reactor.seconds()
        return {
            entry
            for entry, epoch in owners
            if epoch < newest
            and (entry.thaws_at or 0) <= now
            and entry.core._may_act()
        }

    def record_event(self, event, fields):
        """Record each attempt that an owner gives up."""
        if event is not Event.TASK_LAPSED:
            return
        newest = max((epoch for _entry, epoch in self._owners()), default=0)
        self.by_former += fields['reign'] < newest
        self.reasons[fields['reason']] += 1
