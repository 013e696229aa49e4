"""Faults of backend servers."""

from soak.faults.targets import pick

__all__ = ('MAKERS',)


def _kill(faults, agent, choices):
    backend = pick(list(agent.backend_by_name.values()), choices[2])
    if backend.is_dead:
        return None
    backend.kill()
    return backend.restart


def _leave(faults, agent, choices):
    backend = pick(list(agent.backend_by_name.values()), choices[2])
    if backend.is_leaving or backend.is_dead:
        return None
    backend.leave()

    def stay():
        backend.is_leaving = False
        backend.left_at = None

    return stay


MAKERS = {'backend-kill': _kill, 'backend-leave': _leave}
