"""Pauses of the owner that end while its successor runs, drawn from a seed.

They follow the other faults of a run and have their own random generator, so
that the faults of a seed do not depend on them.
"""

from dataclasses import dataclass

from soak.platform.machines import Event

# In a target: all entries except the owner at the time of the event.
OTHERS = 'others'
# Seconds of other faults for each pause of the owner.
FAULTS_PER_PAUSE_S = 15
PAUSE_S = (6, 12)
# A pause that may end between the expiry of a grant and of the owner's lease.
CRITICAL_PAUSE_S = (7, 9.2)
# How long the faults of links outlast the pause.
LINK_FAULT_S = (1, 6)
# Time from the loss of an owner until a successor has the shard.
TAKEOVER_S = 4.5
PAUSES_APART_S = (2, 5)
RESTART_S = (0, 4)
MAX_AGENTS = 5
# Faults of links, with their arguments before the duration.
STORE_FAULTS = (
    ('hold', 'both'),
    ('hold', 'down'),
    ('delay', 0.7),
    ('delay', 2),
    ('refuse',),
)
CUTS = (('hold', 'up'), ('hold', 'down'), ('hold', 'both'), ('refuse',))
NO_RELAY_PROBABILITY = 0.7
# Batch jobs that are submitted meanwhile.
JOB_INTERVAL_S = 1
FIRST_JOB_ID = 0xC000


@dataclass(frozen=True)
class OwnerPauses:
    """The pauses of a run; times are in s since the other faults ended.

    Attributes:
        ends_at: Time after which nothing is drawn.
    """

    events: tuple = ()
    ends_at: float = 0

    @property
    def job_times(self):
        """The times at which batch jobs are submitted."""
        count = round(self.ends_at / JOB_INTERVAL_S)
        return tuple(index * JOB_INTERVAL_S for index in range(count))


def draw_owner_pauses(rng, fleet, count):
    """Draw a number of pauses, each with its other faults.

    Args:
        fleet: The programs that may be affected.
    """
    series = _Series(rng, fleet)
    at = TAKEOVER_S
    for _index in range(count):
        at = series.draw(at) + rng.uniform(*PAUSES_APART_S)
    in_order = sorted(series.events, key=lambda event: event.at)
    return OwnerPauses(tuple(in_order), at if in_order else 0)


class _Series:
    """Draws the faults of each pause."""

    def __init__(self, rng, fleet):
        self.rng = rng
        self.fleet = fleet
        self.events = []

    def draw(self, at):
        """Draw a pause and the faults around its end; return that end."""
        rng, owner = self.rng, self.fleet.owner
        critical = rng.uniform(*CRITICAL_PAUSE_S)
        pause_s = rng.choice([critical, critical, rng.uniform(*PAUSE_S)])
        self._add(at, 'pause', owner, pause_s)
        fault = rng.choice([*STORE_FAULTS, None])
        if fault is not None:
            self._cut(at, f'{owner}>store', fault, pause_s)
        if rng.random() < NO_RELAY_PROBABILITY:
            # Other entries relay calls to the store.
            self._cut(at, f'{owner}>{OTHERS}', rng.choice(CUTS), pause_s)
        agents = rng.sample(self.fleet.agents, rng.randint(1, MAX_AGENTS))
        for agent in agents:
            self._agent(at, agent, pause_s)
        if rng.random() < 0.5:
            self._takeover(at, pause_s)
        return at + pause_s

    def _agent(self, at, agent, pause_s):
        """Draw the fault of one agent."""
        rng = self.rng
        kind = rng.choice(['pause', 'kill', *[OTHERS] * 3, self.fleet.owner])
        if kind == 'pause':
            paused_at = at + rng.uniform(0, 2)
            self._add(paused_at, 'pause', agent, pause_s + rng.uniform(-2, 1))
        elif kind == 'kill':
            killed_at = at + rng.uniform(0, pause_s)
            self._add(killed_at, 'kill', agent, rng.uniform(*RESTART_S))
        else:
            fault = rng.choice(CUTS)
            self._cut(at, f'{agent}>{kind}', fault, pause_s)

    def _takeover(self, at, pause_s):
        """Draw a fault of the successor, which causes another takeover."""
        rng, owner = self.rng, self.fleet.owner
        failed_at = at + rng.uniform(TAKEOVER_S, pause_s)
        if rng.random() < 0.5:
            self._add(failed_at, 'kill', owner, rng.uniform(*RESTART_S))
        else:
            self._add(failed_at, 'pause', owner, rng.uniform(*PAUSE_S))

    def _cut(self, at, link, fault, pause_s):
        name, *arguments = fault
        duration_s = pause_s + self.rng.uniform(*LINK_FAULT_S)
        self._add(at, name, link, *arguments, round(duration_s, 2))

    def _add(self, at, name, target, *arguments):
        rounded = tuple(
            round(each, 2) if isinstance(each, float) else each
            for each in arguments
        )
        self.events.append(Event(round(at, 2), name, target, rounded))
