"""Faults of entries, and of their access to the table."""

from soak.faults.targets import number_of, pause

__all__ = ('MAKERS', 'kill_entry', 'roll_entries')

_ROLL_GAP_MS = 700.0
_ROLL_DOWN_MS = 300


def kill_entry(faults, entry, choices):
    """Crash an entry; return its restart, None if it is down."""
    number = number_of(entry)
    if not entry.is_alive:
        return None
    world = faults.world
    world.deployment.kill_entry(number)

    def restart():
        restarted = world.deployment.restart_entry(number)
        world.observe_entry(restarted)

    return restart


def roll_entries(faults, entry, choices):
    """Restart all entries, one after the other."""
    for order, node in enumerate(faults.world.entries()):
        faults.world.loop.later(
            order * _ROLL_GAP_MS, _restart_one, faults, node.name, choices
        )


def _restart_one(faults, name, choices):
    entry = faults.world.deployment.entry_by_name[name]
    healer = kill_entry(faults, entry, choices)
    if healer is not None:
        faults.heal_later(healer, _ROLL_DOWN_MS)


def _pause_entry(faults, entry, choices):
    return pause(faults.world, entry)


def _cut_table(faults, entry, choices):
    entry.store.is_cut = True

    def reconnect():
        entry.store.is_cut = False

    return reconnect


def _lose_answer(faults, entry, choices):
    # The next commit of this entry takes effect without a response.
    entry.lose_trigger = 'any'


MAKERS = {
    'entry-kill': kill_entry,
    'entry-pause': _pause_entry,
    'table-cut': _cut_table,
    'lose-answer': _lose_answer,
    'roll-entries': roll_entries,
}
