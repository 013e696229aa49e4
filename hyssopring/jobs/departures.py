"""Applies the last messages of agents that have left to the owned shards."""

from typing import Callable

from hyssopring.jobs.fleet import AgentDeparture, Fleet
from hyssopring.jobs.owned_shard import OwnedShard
from hyssopring.jobs.owned_shards import OwnedShards

__all__ = ('Departures',)


class Departures:
    """The departures that are not applied to all owned shards yet.

    An agent may have obeyed a successor of this owner until it left, so each
    waits until the ownership is confirmed.
    """

    def __init__(
        self,
        fleet: Fleet,
        shards: OwnedShards,
        on_departed: Callable[[AgentDeparture, OwnedShard], None],
    ) -> None:
        """Apply each departure to each shard by ``on_departed``."""
        self._fleet = fleet
        self._shards = shards
        self._on_departed = on_departed
        self._pending: set[tuple[int, str]] = set()

    def add(self, agent_id: str) -> None:
        """Add the newest message of an agent."""
        self._pending |= {(shard, agent_id) for shard in self._shards.by_shard}

    def add_all(self) -> None:
        """Add all known departures, for shards or owners that are new."""
        for agent_id in self._fleet.departure_by_agent:
            self.add(agent_id)

    def apply(self) -> None:
        """Apply what is due; call also periodically, as checks may fail."""
        for shard, agent_id in tuple(self._pending):
            owned = self._shards.by_shard.get(shard)
            departed = self._fleet.departure_by_agent.get(agent_id)
            if owned is None or departed is None:
                self._pending.discard((shard, agent_id))
            elif owned.is_loaded and owned.ownership.check_since(
                departed.first_at
            ):
                self._pending.discard((shard, agent_id))
                self._on_departed(departed, owned)
