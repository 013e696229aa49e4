"""Faults of a whole availability zone."""

from soak.faults.entries import kill_entry
from soak.faults.targets import all_of
from soak.faults.vms import replace_vm

__all__ = ('MAKERS',)


def _die(faults, node, choices):
    """All VMs of a zone die without a word and are replaced."""
    world = faults.world
    zone = node.core.identity.zone
    healers = [
        replace_vm(faults, agent, choices)
        for agent in world.agents()
        if agent.core.identity.zone == zone
    ]
    healers.extend(
        kill_entry(faults, entry, choices)
        for entry in world.entries()
        if entry.core.identity.zone == zone
    )
    return all_of(healers)


def _lose_network(faults, node, choices):
    """A zone loses its network: connections, and the table."""
    world = faults.world
    zone = node.core.identity.zone
    here = [
        other.name
        for other in world.entries() + world.agents()
        if other.core.identity.zone == zone
    ]
    pairs = {
        (entry.name, agent.name)
        for entry in world.entries()
        for agent in world.agents()
        if (entry.name in here) != (agent.name in here)
    }
    for link in world.deployment.links:
        if (link.entry.name, link.agent.name) in pairs and link.is_open:
            link.is_silent = True
    cut = [entry for entry in world.entries() if entry.name in here]
    for entry in cut:
        entry.store.is_cut = True
    world.deployment.blocked_pairs |= pairs

    def come_back():
        world.deployment.blocked_pairs -= pairs
        for entry in cut:
            entry.store.is_cut = False

    return come_back


MAKERS = {'zone-dies': _die, 'zone-gone': _lose_network}
