"""Agents that are away: for how long they may run tasks, as all owners know."""

from typing import Collection, Final

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.former_owner import FormerOwner
from hyssopring.jobs.epoch_rows import EpochRows
from hyssopring.jobs.roster import Roster
from hyssopring.jobs.store_clock import StoreClock

__all__ = ('Absences',)

# Agents dial a new entry's process within this time, and workers that are slow
# for a moment answer again: they need no row.
_AWAY_MS: Final = MILLIS_PER_SECOND


class Absences:
    """Writes until when each agent that is away may run tasks.

    Owners that die in series would each wait for it anew. An agent whose worker
    is silent may be gone as well before anybody could write that.
    """

    def __init__(
        self,
        clock: Clock,
        roster: Roster,
        reign_rows: EpochRows,
        former: FormerOwner,
        store_time: StoreClock,
    ) -> None:
        """Know of no agent that is away."""
        self._clock = clock
        self._roster = roster
        self._reign_rows = reign_rows
        self._former = former
        self._store_time = store_time

    def grant_expires_at(self, agent_id: str) -> float:
        """When nothing that former owners have granted can run any more."""
        until = self._former.until(agent_id)
        told = self._roster.over_at(agent_id)
        return until if told is None else min(until, told)

    def check(self, fleet: Fleet, unheard: Collection[str]) -> None:
        """Write what is not written yet; call a few times a second.

        Args:
            fleet: The agents as this entry knows them.
            unheard: Agents that may still run what former owners ordered.
        """
        now = self._clock.now()
        if not self._former.may_act:
            self._reign_rows.waited()
        for agent_id in self._roster.agents:
            if agent_id not in unheard and fleet.is_certainly_idle(agent_id):
                self._strike(agent_id, now)
        self._suspend(fleet, now)

    def _strike(self, agent_id: str, now: float) -> None:
        """Take an agent off the roster, unless a former owner may grant it.

        It may have granted agents that are away, or their next process; not
        those whose row says until when.
        """
        told = self._roster.over_at(agent_id)
        if not self._former.may_act or (told is not None and told < now):
            self._roster.remove(agent_id)

    def _suspend(self, fleet: Fleet, now: float) -> None:
        over_at_by_agent = {}
        for agent_id in self._roster.agents:
            away_since = fleet.unreachable_since(agent_id)
            if away_since is None or now - away_since < _AWAY_MS:
                continue
            over_at = max(
                self.grant_expires_at(agent_id),
                fleet.grant_expires_at(agent_id),
            )
            if over_at > now:
                over_at_by_agent[agent_id] = over_at
        self._roster.set_expiries(over_at_by_agent, self._store_time)
