"""Tells a restarted agent from two agents that run under one id."""

from typing import Final

from hyssopring.clock import Clock

__all__ = ('IncarnationGuard',)

_REMEMBERED_MS: Final = 600_000.0


class IncarnationGuard:
    """Remembers which runs of an agent were replaced by another run.

    A restart never goes back to an earlier run. So a run that comes back
    after another one took its place shows that both live: by mistake two
    VMs have the same agent id. Admitted in turn they would end each other's
    connections, and the calls on them, several times a second.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with nothing remembered."""
        self._clock = clock
        self._current_by_agent: dict[str, str] = {}
        self._replaced_at: dict[tuple[str, str], float] = {}

    def admits(self, agent_id: str, incarnation: str) -> bool:
        """Whether this run may connect; it is then the current one."""
        now = self._clock.now()
        replaced_at = self._replaced_at.get((agent_id, incarnation))
        if replaced_at is not None and now < replaced_at + _REMEMBERED_MS:
            return False
        current = self._current_by_agent.get(agent_id)
        if current is not None and current != incarnation:
            self._forget(now)
            self._replaced_at[(agent_id, current)] = now
        self._current_by_agent[agent_id] = incarnation
        return True

    def _forget(self, now: float) -> None:
        for key, replaced_at in list(self._replaced_at.items()):
            if now > replaced_at + _REMEMBERED_MS:
                self._replaced_at.pop(key)
                if key[1] == self._current_by_agent.get(key[0]):
                    self._current_by_agent.pop(key[0])
