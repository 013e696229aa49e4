"""What a former owner tells the next one of a shard."""

from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.messages import AgentGrant, ShardReleased
from hyssopring.jobs.owned_shard import OwnedShard
from hyssopring.jobs.times import GRANT_EXPIRY_MS

__all__ = ('ReleasedShards', 'given_up')


def given_up(owned: OwnedShard, fleet: Fleet, now: float) -> ShardReleased:
    """Describe a shard that this entry has just dropped.

    Agents that had confirmed this reign are named with its own last grant. Of
    the others a former owner may have granted later than is known here: each
    that may run tasks still is named with the later of both.
    """
    lost_at_by_agent = {
        agent_id: fleet.grant_expires_at(agent_id)
        for agent_id in fleet.by_agent
        if agent_id in owned.reported
    }
    known = owned.unreported | owned.former.named_agents | fleet.by_agent.keys()
    for agent_id in known - owned.reported:
        lost_at = max(
            owned.former.until(agent_id), fleet.grant_expires_at(agent_id)
        )
        if lost_at > now:
            lost_at_by_agent[agent_id] = lost_at
    grants = [
        AgentGrant(agent_id, int(now + GRANT_EXPIRY_MS - lost_at))
        for agent_id, lost_at in lost_at_by_agent.items()
    ]
    wait_ms = int(owned.former.wait_ms)
    return ShardReleased(owned.shard, owned.epoch, grants, wait_ms)


class ReleasedShards:
    """The newest such message for each shard, until its next owner is here.

    It may come before this entry has taken the shard, or after it.
    """

    def __init__(self) -> None:
        """Know of none."""
        self._by_shard: dict[int, tuple[ShardReleased, float]] = {}

    def handle_message(self, message: ShardReleased, now: float) -> None:
        """Keep a message of a former owner, received now."""
        self._by_shard[message.shard] = (message, now)

    def announce(self, owned: OwnedShard, fleet: Fleet) -> None:
        """Use what the former owner of an owned shard has said.

        It may have granted an agent later than this entry: one that has been
        restarted, and reached the former owner only.
        """
        message, received_at = self._by_shard.get(owned.shard, (None, 0))
        if message is None or message.reign != owned.epoch - 1:
            return
        owned.former.gave_up(message, received_at)
        for grant in message.grants:
            worker = fleet.by_agent.get(grant.agent_id)
            if worker is not None:
                granted_at = received_at - grant.age_ms
                worker.granted_at = max(worker.granted_at, granted_at)
