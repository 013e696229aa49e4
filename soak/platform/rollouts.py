"""A rollout: VMs are replaced while all entries are restarted in turn.

It follows the faults of a run and has its own random generator, so that the
faults of a seed do not depend on it.
"""

from dataclasses import dataclass

from soak.platform.machines import Event

# Share of the runs that end with a rollout.
PROBABILITY = 0.5
# Number of VMs that it replaces, and the interval between them.
REPLACED = 4
REPLACED_APART_S = 0.7
# From the start of a new VM until an old one announces that it leaves.
NOTICE_DELAY_S = 0.1
# From that announcement until the worker has stopped its tasks, and until its
# agent gets SIGTERM.
STOPPED_S = 1.5
TERM_S = 4.5
# Interval between the restarts of entries.
ENTRIES_APART_S = (0.1, 0.5, 1, 2)
# From the SIGTERM of an entry, which serves on for 3 s, until its next start.
ENTRY_BACK_S = (4.5, 8)
# Latest beginning of either part.
LATEST_START_S = 4
# Batch jobs that are submitted meanwhile.
JOBS = 12
FIRST_JOB_ID = 0xB000


@dataclass(frozen=True)
class Rollout:
    """What happens after the faults; times are in s since it began.

    Attributes:
        ends_at: Time after which every process runs again.
    """

    events: tuple = ()
    ends_at: float = 0

    @property
    def job_times(self):
        """The times at which batch jobs are submitted."""
        if not self.events:
            return ()
        return tuple(self.ends_at * index / JOBS for index in range(JOBS))


def draw_rollout(rng, fleet, new_agents):
    """Draw the rollout of a run, which may have none.

    Args:
        fleet: The programs that run before it.
        new_agents: Names of the agents on the new VMs.
    """
    if rng.random() >= PROBABILITY:
        return Rollout()
    events = [
        *_replacements(rng, fleet.agents, new_agents),
        *_restarts(rng, fleet.entries),
    ]
    ends_at = max(
        event.at + max(event.arguments, default=0) for event in events
    )
    in_order = sorted(events, key=lambda event: event.at)
    return Rollout(tuple(in_order), ends_at)


def _replacements(rng, agents, new_agents):
    at = rng.uniform(0, LATEST_START_S)
    leaving = rng.sample(agents, len(new_agents))
    for new, old in zip(new_agents, leaving):
        yield Event(round(at, 2), 'join', new)
        yield Event(
            round(at + NOTICE_DELAY_S, 2), 'depart', old, (STOPPED_S, TERM_S)
        )
        at += REPLACED_APART_S


def _restarts(rng, entries):
    at = rng.uniform(0, LATEST_START_S)
    gap_s = rng.choice(ENTRIES_APART_S)
    back = round(rng.uniform(*ENTRY_BACK_S), 2)
    for entry in rng.sample(entries, len(entries)):
        yield Event(round(at, 2), 'term', entry, (back,))
        at += gap_s
