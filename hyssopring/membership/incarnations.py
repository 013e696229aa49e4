"""Detection of two agents that run with the same id."""

from typing import Final

from hyssopring.clock import Clock

__all__ = ('IncarnationGuard',)

_REMEMBERED_MS: Final = 600_000.0


class IncarnationGuard:
    """Rejects an incarnation of an agent that was replaced by another one.

    A restart never returns to an earlier incarnation. If an incarnation
    connects again after another one has replaced it, both are running: two
    VMs have the same agent id by mistake. If both were admitted, they would
    end each other's connections and calls several times a second.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without known incarnations."""
        self._clock = clock
        self._current_by_agent: dict[str, str] = {}
        self._replaced_at: dict[tuple[str, str], float] = {}

    def admits(self, agent_id: str, incarnation: str) -> bool:
        """Return whether an incarnation may connect.

        If so, it becomes the current one.
        """
        now_ms = self._clock.now()
        replaced_at = self._replaced_at.get((agent_id, incarnation))
        if replaced_at is not None and now_ms < replaced_at + _REMEMBERED_MS:
            return False
        current = self._current_by_agent.get(agent_id)
        if current is not None and current != incarnation:
            self._remove_expired(now_ms)
            self._replaced_at[(agent_id, current)] = now_ms
        self._current_by_agent[agent_id] = incarnation
        return True

    def _remove_expired(self, now_ms: float) -> None:
        for key, replaced_at in list(self._replaced_at.items()):
            if now_ms > replaced_at + _REMEMBERED_MS:
                self._replaced_at.pop(key)
                if key[1] == self._current_by_agent.get(key[0]):
                    self._current_by_agent.pop(key[0])
