"""What the makers of faults share: choosing, numbering, pausing, ending."""

__all__ = ('all_of', 'number_of', 'pause', 'pick')


def pick(nodes, choice):
    return nodes[choice % len(nodes)]


def number_of(node):
    return int(node.name.rpartition('-')[2])


def pause(world, process):
    """Pause a process; return what resumes it, None if it did not run."""
    if not process.is_alive or process.is_paused:
        return None
    process.is_paused = True

    def resume():
        process.resumed_at = world.loop.now
        process.is_paused = False

    return resume


def all_of(healers):
    """One healer that does what all of these do, in order."""

    def heal():
        for healer in healers:
            if healer is not None:
                healer()

    return heal
