"""Writes when the grants of unreachable agents expire, for the next owners."""

from typing import Collection, Final

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.epoch_rows import EpochRows
from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.former_owner import FormerOwners
from hyssopring.jobs.roster import Roster
from hyssopring.jobs.store_clock import StoreClock

__all__ = ('Absences',)

# Agents reconnect within this time, and briefly slow workers respond again;
# neither is worth a write. Agents that a new process has not met are: an owner
# that ends before it has written their rows makes the next one wait anew.
_MIN_ABSENCE_MS: Final = MILLIS_PER_SECOND


class Absences:
    """Writes until when each unreachable agent may run tasks.

    Without it each owner in a series of failing ones would begin the wait
    anew. Agents with silent workers are included: such an agent may be lost
    before its absence can be written.
    """

    def __init__(
        self,
        clock: Clock,
        roster: Roster,
        epoch_rows: EpochRows,
        former: FormerOwners,
        store_clock: StoreClock,
    ) -> None:
        """Create a writer for the rows of ``roster``."""
        self._clock = clock
        self._roster = roster
        self._epoch_rows = epoch_rows
        self._former = former
        self._store_clock = store_clock

    def grant_expires_at(self, agent_id: str) -> float:
        """Return when an agent's grants from former owners expire."""
        former_expires_at = self._former.grant_expires_at(agent_id)
        stored_expires_at = self._roster.grant_expires_at(agent_id)
        return (
            former_expires_at
            if stored_expires_at is None
            else min(former_expires_at, stored_expires_at)
        )

    def check(self, fleet: Fleet, unreported: Collection[str]) -> None:
        """Write expiries and remove idle agents; call a few times a second.

        Args:
            fleet: The agents known to this entry.
            unreported: Agents that may still run tasks of former owners.
        """
        now_ms = self._clock.now()
        if not self._former.may_grants_act:
            self._epoch_rows.clear_wait()
        for agent_id in self._roster.agents:
            if agent_id not in unreported and fleet.is_certainly_idle(agent_id):
                self._remove_from_roster(agent_id, fleet)
        self._write_expiries(fleet, now_ms)

    def _remove_from_roster(self, agent_id: str, fleet: Fleet) -> None:
        """Remove an agent from the roster unless it may have a grant.

        A former owner that may still act may grant unreachable agents or their
        next processes, except those whose rows set an expiry. It can have
        reached no next process of an agent that left after its end.
        """
        departed = fleet.departure_by_agent.get(agent_id)
        stored_expires_at = self._roster.grant_expires_at(agent_id)
        if (
            not self._former.may_grants_act
            or (departed is not None and self._former.had_ended(departed.at))
            or (
                stored_expires_at is not None
                and stored_expires_at < self._clock.now()
            )
        ):
            self._roster.remove(agent_id)

    def _write_expiries(self, fleet: Fleet, now_ms: float) -> None:
        expiry_by_agent = {}
        for agent_id in self._roster.agents:
            unreachable_since = fleet.unreachable_since(agent_id)
            if (
                unreachable_since is None
                or now_ms - unreachable_since < _MIN_ABSENCE_MS
            ):
                continue
            expires_at = max(
                self.grant_expires_at(agent_id),
                fleet.grant_expires_at(agent_id),
            )
            if expires_at > now_ms:
                expiry_by_agent[agent_id] = expires_at
        self._roster.set_expiries(expiry_by_agent, self._store_clock)
