"""Helpers that several kinds of faults share."""

__all__ = ('all_of', 'number_of', 'pause', 'pick')


def pick(nodes, choice):
    """Return the node that a choice selects."""
    return nodes[choice % len(nodes)]


def number_of(node):
    """Return the number in a node's name."""
    return int(node.name.rpartition('-')[2])


def pause(world, process):
    """Pause a process; return its resume function, None if not running."""
    if not process.is_alive or process.is_paused:
        return None
    process.is_paused = True

    def resume():
        process.resumed_at = world.loop.now
        process.is_paused = False

    return resume


def all_of(healers):
    """Return a healer that calls these healers in order."""

    def heal():
        for healer in healers:
            if healer is not None:
                healer()

    return heal
