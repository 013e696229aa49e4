"""Faults of a whole availability zone."""

from soak.faults.entries import kill_entry
from soak.faults.targets import all_of
from soak.faults.vms import replace_vm

__all__ = ('MAKERS',)


def _die(faults, node, choices):
    """Lose all VMs of a zone without notice; they are replaced."""
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
    """Disconnect a zone from the other zones and from the table."""
    world = faults.world
    zone = node.core.identity.zone
    names_in_zone = [
        other.name
        for other in world.entries() + world.agents()
        if other.core.identity.zone == zone
    ]
    pairs = {
        (entry.name, agent.name)
        for entry in world.entries()
        for agent in world.agents()
        if (entry.name in names_in_zone) != (agent.name in names_in_zone)
    }
    for link in world.deployment.links:
        if (link.entry.name, link.agent.name) in pairs and link.is_open:
            link.is_silent = True
    cut_entries = [
        entry for entry in world.entries() if entry.name in names_in_zone
    ]
    for entry in cut_entries:
        entry.store.is_cut = True
    world.deployment.blocked_pairs |= pairs

    def reconnect():
        world.deployment.blocked_pairs -= pairs
        for entry in cut_entries:
            entry.store.is_cut = False

    return reconnect


MAKERS = {'zone-dies': _die, 'zone-gone': _lose_network}
