"""The message by which a former owner reports its last grants."""

from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.messages import AgentGrant, ShardReleased
from hyssopring.jobs.owned_shard import OwnedShard
from hyssopring.jobs.times import GRANT_EXPIRY_MS

__all__ = ('ReleasedShards', 'release_message')


def release_message(
    owned: OwnedShard, fleet: Fleet, now_ms: float
) -> ShardReleased:
    """Return the message about a shard that this entry has just dropped.

    It contains the age of this owner's last grant to each agent that reported
    under this epoch. To another agent a former owner may have sent a later
    grant: if it may still run tasks, the later one of both is included.
    """
    expiry_by_agent = {
        agent_id: fleet.grant_expires_at(agent_id)
        for agent_id in fleet.by_agent
        if agent_id in owned.reported
    }
    known = (
        owned.unreported
        | owned.former.agents_with_known_grant
        | fleet.by_agent.keys()
    )
    for agent_id in known - owned.reported:
        expires_at = max(
            owned.former.grant_expires_at(agent_id),
            fleet.grant_expires_at(agent_id),
        )
        if expires_at > now_ms:
            expiry_by_agent[agent_id] = expires_at
    grants = [
        AgentGrant(agent_id, int(now_ms + GRANT_EXPIRY_MS - expires_at))
        for agent_id, expires_at in expiry_by_agent.items()
    ]
    wait_ms = int(owned.former.wait_ms)
    return ShardReleased(owned.shard, owned.epoch, grants, wait_ms)


class ReleasedShards:
    """Keeps the last release message of each shard.

    It may arrive before or after this entry has taken the shard.
    """

    def __init__(self) -> None:
        """Create a collection without messages."""
        self._by_shard: dict[int, tuple[ShardReleased, float]] = {}

    def handle_message(self, message: ShardReleased, now_ms: float) -> None:
        """Store a message of a former owner, received now."""
        self._by_shard[message.shard] = (message, now_ms)

    def apply_to(self, owned: OwnedShard, fleet: Fleet) -> None:
        """Apply the former owner's message, if any, to an owned shard.

        The former owner's grant to an agent may be later than this entry's,
        if the agent was restarted and reached the former owner only.
        """
        message, received_at = self._by_shard.get(owned.shard, (None, 0))
        if message is None or message.reign != owned.epoch - 1:
            return
        owned.former.record_release(message, received_at)
        for grant in message.grants:
            worker = fleet.by_agent.get(grant.agent_id)
            if worker is not None:
                granted_at = received_at - grant.age_ms
                worker.granted_at = max(worker.granted_at, granted_at)
