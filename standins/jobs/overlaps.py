"""Watches for times in which a former owner acts beside its successor."""

from collections import Counter


class Overlaps:
    """Counts what former owners do while another entry owns the shard.

    Attributes:
        count: The number of times in which a former owner could act.
        seconds: How long these lasted in all.
        given_up: The attempts that owners gave up: time, entry, epoch, agent,
            task, attempt and reason.
        by_former: The number of those that former owners gave up.
        restarts: The number of agents that were started meanwhile.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self._watched = set()
        self._agents = {}
        self._acting = set()
        self._checked_at = 0
        self.count = 0
        self.seconds = 0
        self.given_up = []
        self.by_former = 0
        self.restarts = 0

    @property
    def reasons(self):
        """The number of attempts that were given up, by reason."""
        return Counter(each[-1] for each in self.given_up)

    def check(self):
        """Check who acts; call several times a second."""
        now = self._deployment.reactor.seconds()
        for entry in self._deployment.entries.values():
            if entry not in self._watched:
                self._watched.add(entry)
                self._watch(entry)
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

    def _watch(self, entry):
        """Record each attempt that an entry gives up."""
        reconciler = entry.core.owner._reconciler
        record = reconciler.record_attempt_lost

        def record_and_note(worker, placed, reason):
            self._note(entry, worker, placed, reason)
            record(worker, placed, reason)

        reconciler.record_attempt_lost = record_and_note

    def _note(self, entry, worker, placed, reason):
        epochs = [
            owned.epoch for owned in entry.core.owner.shards.by_shard.values()
        ]
        self.by_former += entry in self._former_owners()
        self.given_up.append(
            (
                round(self._deployment.reactor.seconds(), 3),
                entry.name,
                max(epochs, default=0),
                worker.agent_id,
                str(placed.name),
                placed.attempt,
                reason,
            )
        )
