"""A large deployment and its faults, drawn from a seed.

They accompany the pauses of owners and have their own random generator, so that
the other faults of a seed do not depend on them.
"""

from dataclasses import dataclass

from soak.platform.machines import Event

ENTRIES = (6, 8)
AGENTS = (20, 40)
# The least time of these faults, in s.
LEAST_S = 30
# Mean interval of series of faults.
SERIES_INTERVAL_S = 0.9
# The first planned restart of all entries or agents, and their interval.
FIRST_ROLL_S = (8, 30)
ROLL_INTERVAL_S = (25, 40)
ENTRIES_APART_S = (0.2, 1, 3)
AGENTS_APART_S = (0.05, 0.3)
RESTART_S = (0, 4)
# Until a process is hit after a start has come to the runner.
HIT_DELAY_S = (0, 0, 0.005, 0.02, 0.1, 0.5)
PAUSE_S = (1, 9)
# A pause of an agent that outlasts its lease.
LONG_PAUSE_S = (8, 12)
# How long a runner is dark, so that a start waits while its agent is paused.
DARK_S = (0.5, 2)
# How far, and for how long, an agent's time of day is set back.
SET_BACK_S = (0.5, 6)
STEP_S = 6
# Delays of a runner in which an agent has requests of two fences in flight.
SHORT_DELAYS_S = (0.1, 0.3)
SHORT_RESTART_S = (0, 0.5)
# Faults of the owner's link to the store as such an agent resumes.
STORE_FAULTS = (('delay', 0.7), ('delay', 2), ('hold', 'down'), ('refuse',))
STORE_FAULT_S = 3
# The time until a request without an answer is carried out.
LATE_S = (0, 0.5, 1, 3, 5, 9)
SLOW_S = (0.2, 0.7, 1.5, 3)
LINK_DELAY_S = (0.2, 0.7)
MAX_LOST_CALLS = 6
# Share of the faults after a start that hit the owner, not the agent.
OWNER_PROBABILITY = 0.1
POWER_PROBABILITY = 0.5
POWER_BACK_S = (0.5, 3)
JOB_INTERVAL_S = 0.5
JOB_COUNTS = ((6, 2), (4, 4, 1), (8,), (2, 1))
FIRST_JOB_ID = 0xD000


@dataclass(frozen=True)
class LargeFaults:
    """Times are in s since the pauses of owners began."""

    events: tuple = ()
    ends_at: float = 0

    @property
    def jobs(self):
        """The times and task counts of the batch jobs meanwhile."""
        count = round(self.ends_at / JOB_INTERVAL_S)
        return tuple(
            (number * JOB_INTERVAL_S, JOB_COUNTS[number % len(JOB_COUNTS)])
            for number in range(count)
        )


def draw_size(rng):
    """Draw the numbers of entries and agents."""
    return rng.randint(*ENTRIES), rng.randint(*AGENTS)


def draw_large_faults(rng, fleet, pauses_s):
    """Draw the faults that accompany pauses of owners.

    Args:
        fleet: The programs that may be affected.
        pauses_s: How long the pauses take.
    """
    ends_at = max(pauses_s, LEAST_S)
    series = _Series(rng, fleet)
    at = rng.uniform(0, SERIES_INTERVAL_S)
    while at < ends_at:
        series.draw(at)
        at += rng.expovariate(1 / SERIES_INTERVAL_S)
    at = rng.uniform(*FIRST_ROLL_S)
    while at < ends_at:
        series.roll(at)
        at += rng.uniform(*ROLL_INTERVAL_S)
    if rng.random() < POWER_PROBABILITY:
        series.lose_power(rng.uniform(0, ends_at))
    inside = [event for event in series.events if event.at < ends_at]
    in_order = sorted(inside, key=lambda event: event.at)
    return LargeFaults(tuple(in_order), ends_at)


class _Series:
    """Draws series of faults of one runner, its agent and the owner."""

    def __init__(self, rng, fleet):
        self.rng = rng
        self.fleet = fleet
        self.events = []

    def draw(self, at):
        """Draw up to three faults around one agent."""
        agent = self.rng.choice(self.fleet.agents)
        kinds = [
            self._lose_orders,
            self._lose_orders,
            self._lose_polls,
            self._be_slow,
            self._hit_at_start,
            self._hit_at_start,
            self._pause_at_start,
            self._pause_at_start,
            self._set_back_at_start,
            self._set_back_at_start,
            self._cut,
            self._crash,
        ]
        for _index in range(self.rng.randint(1, 3)):
            self.rng.choice(kinds)(at, agent)
            at += self.rng.uniform(0, 1)

    def roll(self, at):
        """Restart all entries, or all agents, in turn and as planned."""
        names = self.fleet.entries
        apart_s = self.rng.choice(ENTRIES_APART_S)
        if self.rng.random() < 0.3:
            names = self.fleet.agents
            apart_s = self.rng.choice(AGENTS_APART_S)
        for name in self.rng.sample(names, len(names)):
            self._add(at, 'term', name, self.rng.uniform(*RESTART_S))
            at += apart_s

    def lose_power(self, at):
        """End all programs and runners at one moment."""
        for entry in self.fleet.entries:
            self._add(at, 'kill', entry, self.rng.uniform(*POWER_BACK_S))
        for agent in self.fleet.agents:
            self._add(at, 'away', agent, self.rng.uniform(*POWER_BACK_S))

    def _lose_orders(self, at, agent):
        count = self.rng.randint(1, MAX_LOST_CALLS)
        self._add(at, 'lose-orders', agent, count, self.rng.choice(LATE_S))

    def _lose_polls(self, at, agent):
        count = self.rng.randint(1, MAX_LOST_CALLS)
        self._add(at, 'lose-polls', agent, count, self.rng.choice(LATE_S))

    def _be_slow(self, at, agent):
        slow_s = self.rng.choice(SLOW_S)
        self._add(at, 'be-slow', agent, slow_s, self.rng.uniform(*PAUSE_S))

    def _hit_at_start(self, at, agent):
        """Kill or pause the agent or the owner when a start has come."""
        rng = self.rng
        is_owner = rng.random() < OWNER_PROBABILITY
        target = self.fleet.owner if is_owner else agent
        seconds = round(rng.uniform(*RESTART_S), 2)
        name = rng.choice(['kill', 'kill', 'term', 'pause'])
        if name == 'pause':
            seconds = round(rng.uniform(*PAUSE_S), 2)
        hit = Event(at, name, target, (seconds,))
        self._add(at, 'at-start', agent, hit, rng.choice(HIT_DELAY_S))

    def _pause_at_start(self, at, agent):
        """Pause an agent whose runner does not carry out a start."""
        rng = self.rng
        seconds = round(rng.uniform(*LONG_PAUSE_S), 2)
        self._add(at, 'dark', agent, rng.uniform(*DARK_S))
        pause = Event(at, 'pause', agent, (seconds,))
        self._add(at, 'at-start', agent, pause, rng.choice(HIT_DELAY_S))
        if rng.random() < 0.4:
            name, *arguments = rng.choice(STORE_FAULTS)
            resumes_at = at + seconds - 0.5
            link = f'{self.fleet.owner}>store'
            self._add(resumes_at, name, link, *arguments, STORE_FAULT_S)

    def _set_back_at_start(self, at, agent):
        """Kill an agent after a start that is carried out late.

        The next process has an earlier time of day.
        """
        rng = self.rng
        self._add(at, 'be-slow', agent, rng.choice(SHORT_DELAYS_S), STEP_S)
        self._add(at, 'lose-orders', agent, MAX_LOST_CALLS, rng.choice(LATE_S))
        offset_s = round(rng.uniform(*SET_BACK_S), 2)
        back_s = round(rng.uniform(*SHORT_RESTART_S), 2)
        hit = Event(at, 'set_back', agent, (offset_s, STEP_S, back_s))
        self._add(at, 'at-start', agent, hit, rng.choice(HIT_DELAY_S))

    def _cut(self, at, agent):
        rng = self.rng
        peer = rng.choice([*self.fleet.entries, self.fleet.owner, '*'])
        seconds = round(rng.uniform(*PAUSE_S), 2)
        faults = [
            ('delay', rng.choice(LINK_DELAY_S), seconds),
            ('hold', 'up', seconds),
            ('hold', 'down', seconds),
            ('refuse', seconds),
            ('reset',),
        ]
        name, *arguments = rng.choice(faults)
        self._add(at, name, f'{agent}>{peer}', *arguments)

    def _crash(self, at, agent):
        if self.rng.random() < 0.5:
            self._add(at, 'crash', agent)
        else:
            self._add(at, 'away', agent, self.rng.uniform(*RESTART_S))

    def _add(self, at, name, target, *arguments):
        rounded = tuple(
            round(each, 3) if isinstance(each, float) else each
            for each in arguments
        )
        self.events.append(Event(round(at, 2), name, target, rounded))
