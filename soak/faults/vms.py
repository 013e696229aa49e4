"""Faults of a VM, its agent or its worker."""

from soak.faults.targets import all_of, number_of, pause

__all__ = ('MAKERS', 'replace_vm')


def replace_vm(faults, agent, choices):
    """Lose a VM without notice; a new one gets its id."""
    return _lose_vm(faults.world, agent, number_of(agent))


def _renew_vm(faults, agent, choices):
    """Lose a VM without notice; the new one gets a new id."""
    return _lose_vm(faults.world, agent, faults.new_agent_number())


def _lose_vm(world, agent, number):
    if not agent.is_alive:
        return None
    agent.is_alive = False
    agent.worker.is_alive = False
    for link in agent.link_by_entry.values():
        link.is_silent = True
    for backend in agent.backend_by_name.values():
        backend.is_dead = True
        backend.running.clear()
    agent.worker.worker.end_all()

    def replace():
        old = world.deployment.agent_by_name.pop(agent.name)
        world.deployment.agent_by_name[f'agent-{number}'] = old
        replacement = world.deployment.restart_agent(number, keep_worker=False)
        world.workers.remove(agent.worker.worker)
        world.observe_agent(replacement)
        world.add_backends(replacement)

    return replace


def _kill_agent(faults, agent, choices):
    number = number_of(agent)
    if not agent.is_alive:
        return None
    deployment = faults.world.deployment
    deployment.kill_agent(number)

    def restart():
        deployment.restart_agent(number)

    return restart


def _pause_agent(faults, agent, choices):
    return pause(faults.world, agent)


def _pause_worker(faults, agent, choices):
    return pause(faults.world, agent.worker)


def _pause_vm(faults, agent, choices):
    healers = [pause(faults.world, agent.worker), pause(faults.world, agent)]
    return all_of(healers) if any(healers) else None


def _fail_worker(faults, agent, choices):
    worker = agent.worker.worker
    worker.fails = True

    def end_failures():
        worker.fails = False

    return end_failures


MAKERS = {
    'agent-kill': _kill_agent,
    'agent-pause': _pause_agent,
    'worker-pause': _pause_worker,
    'worker-fails': _fail_worker,
    'vm-pause': _pause_vm,
    'vm-replace': replace_vm,
    'vm-renew': _renew_vm,
}
