"""VMs that are away, and when nothing can run there any more."""

# All that was granted on a VM is over this long after a former owner has said
# or shown that it orders no more; or, where it stays silent, this long after
# the next one has begun.
GRANT_OVER_S = 8.4
SILENT_OVER_S = 18.4
# An owner that is there for this long has noticed that a VM is away, and has
# made it known to the next one.
NOTICED_S = 2


def is_away(agent):
    """Whether a VM is not to be reached: its agent or its worker."""
    worker = agent.worker
    return not agent.is_alive or worker.is_down or worker.is_dark


class LostVms:
    """Since when VMs are away, and since when an owner knows it.

    Attributes:
        lost_at: By the name of the worker, when each of them was lost.
    """

    def __init__(self, deployment, stillness):
        self._deployment = deployment
        self._stillness = stillness
        self._reign = None
        self._reign_since = 0
        self._noticed_at = {}
        self.lost_at = {}

    def look(self):
        """Note who is away; call several times a second."""
        now = self._deployment.reactor.seconds()
        reign = self._find_reign()
        if reign is not self._reign:
            self._reign, self._reign_since = reign, now
        for agent in self._deployment.agents.values():
            name = agent.worker.name
            if not is_away(agent):
                self.lost_at.pop(name, None)
                self._noticed_at.pop(name, None)
                continue
            lost_at = self.lost_at.setdefault(name, now)
            noticed_at = max(lost_at, self._reign_since)
            if reign is not None and now - noticed_at >= NOTICED_S:
                self._noticed_at.setdefault(name, noticed_at)

    def safe_at(self, name):
        """From when on nothing can run on a VM: by no later takeover's count.

        Where all owners ended with the VM nobody can count sooner than from
        the first reign after it.
        """
        noticed_at = self._noticed_at.get(name)
        if noticed_at is None:
            return float('inf')
        over_at = max(noticed_at, self._stillness.silent_at) + GRANT_OVER_S
        return min(over_at, noticed_at + SILENT_OVER_S)

    def _find_reign(self):
        """What the newest owner that lives has of the shard, or None."""
        found = [
            owned
            for entry in self._deployment.entries.values()
            if entry.is_alive
            for owned in entry.core.owner.shards.by_shard.values()
        ]
        return max(found, key=lambda owned: owned.epoch, default=None)
