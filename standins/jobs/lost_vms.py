"""Lost VMs, and when nothing can be running there any more."""

# All grants of a VM have expired GRANT_OVER_S after its former owner released
# the shard or was known to be dead, or, if the owner stays silent,
# SILENT_OVER_S after the next owner began.
GRANT_OVER_S = 8.4
SILENT_OVER_S = 18.4
# After this time an owner has noticed that a VM is lost and has recorded it
# for its successor.
NOTICED_S = 2


def is_away(agent):
    """Return whether a VM's agent or worker is unreachable."""
    worker = agent.worker
    return not agent.is_alive or worker.is_down or worker.is_unresponsive


class LostVms:
    """Tracks since when VMs are lost, and since when an owner knows it.

    Attributes:
        lost_at: When each VM was lost, by the name of its worker.
    """

    def __init__(self, deployment, stillness):
        self._deployment = deployment
        self._stillness = stillness
        self._owned_shard = None
        self._owned_since = 0
        self._noticed_at = {}
        self.lost_at = {}

    def check(self):
        """Check which VMs are lost; call several times a second."""
        now = self._deployment.reactor.seconds()
        owned_shard = self._find_owned_shard()
        if owned_shard is not self._owned_shard:
            self._owned_shard, self._owned_since = owned_shard, now
        for agent in self._deployment.agents.values():
            name = agent.worker.name
            if not is_away(agent):
                self.lost_at.pop(name, None)
                self._noticed_at.pop(name, None)
                continue
            lost_at = self.lost_at.setdefault(name, now)
            noticed_at = max(lost_at, self._owned_since)
            if owned_shard is not None and now - noticed_at >= NOTICED_S:
                self._noticed_at.setdefault(name, noticed_at)

    def safe_at(self, name):
        """Return the time from which nothing can be running on a lost VM.

        Later takeovers do not extend it. If all owners ended with the VM, it
        counts from the beginning of the next owner.
        """
        noticed_at = self._noticed_at.get(name)
        if noticed_at is None:
            return float('inf')
        over_at = max(noticed_at, self._stillness.silent_at) + GRANT_OVER_S
        return min(over_at, noticed_at + SILENT_OVER_S)

    def _find_owned_shard(self):
        """Return the shard of the newest live owner, None for no owner."""
        found = [
            owned
            for entry in self._deployment.entries.values()
            if entry.is_alive
            for owned in entry.core.owner.shards.by_shard.values()
        ]
        return max(found, key=lambda owned: owned.epoch, default=None)
