"""Losses of whole machines, and the calm after them, drawn from a seed.

They have a random stream of their own, so that the other faults of a seed stay
what they are; those that fall into a calm are left out.
"""

from dataclasses import dataclass, replace
from itertools import count

# A machine that stays away for good, in an event.
FOR_GOOD = None
AWAY_S = (5, 25)
# After a loss of all power each process is back within this time.
POWER_BACK_S = (0.5, 3)
OWNERS_APART_S = (2, 5)
# How long an owner that is killed takes to come back, at least and at most.
OWNER_BACK_S = (0, 4)
STORM_S = (3, 7)
# Long enough for a takeover, and for what waits for a VM that stays away.
CALMS_S = ((9, 14), (20, 26))
# Tasks that last and fail by themselves, of so many jobs.
FAILING_JOBS = 2
FAILING_TASKS = 3
FAILING_CPU = 200
FAILS_MS = (3000, 15_000)
# More agents than those that the other faults aim at.
MORE_AGENTS = (2, 3, 4)


@dataclass(frozen=True)
class Event:
    """At ``at`` seconds ``name`` happens to all that ``target`` matches."""

    at: float
    name: str
    target: str
    given: tuple = ()

    def __str__(self):
        given = ' '.join(map(str, self.given))
        return f'{self.at:6.2f} {self.name} {self.target} {given}'.rstrip()


@dataclass(frozen=True)
class Fleet:
    """The names of the programs that a loss of power ends."""

    entries: tuple
    agents: tuple
    owner: str


class Losses:
    """Draws losses for a run; ``calms`` are the spans without other faults."""

    def __init__(self, rng, fleet, seconds):
        self.rng = rng
        self.fleet = fleet
        self.seconds = seconds
        self.has_calms = rng.random() < 2 / 3
        self.is_replaced = False
        self.events = []
        self.calms = []

    def draw(self):
        """Draw storms, losses and calms in turn until the time is up."""
        at = 0
        for _turn in count():
            at += self.rng.uniform(*STORM_S)
            if at >= self.seconds:
                return
            begun = round(at, 2)
            self._add(begun, 'heal', 'all')
            at = self._series(begun + 0.1) + 0.1
            at += self.rng.uniform(*self.rng.choice(CALMS_S))
            self.calms.append((begun, at))

    def thinned(self, others):
        """Return all events: the others outside of the calms, if any."""
        if not self.has_calms:
            own = [each for each in self.events if each.name != 'heal']
            return [*others, *own]
        kept = (self._moved(each) for each in others)
        return [*(each for each in kept if each), *self.events]

    def _moved(self, event):
        """Runners join and leave at a calm's begin, if they would within it."""
        for begun, ended in self.calms:
            if begun <= event.at < ended:
                is_change = event.name in {'join', 'leave'}
                return replace(event, at=begun) if is_change else None
        return event

    def _add(self, at, name, target, *given):
        self.events.append(Event(round(at, 2), name, target, given))

    def _series(self, at):
        """Draw machines lost, owners killed or both; return the last time."""
        lost = self.rng.choice([self._away, self._power, self._power])
        kind = self.rng.choice(['lost', 'owners', 'both', 'both'])
        if kind != 'owners':
            at = lost(at)
        if kind != 'lost':
            at = self._owners(at + self.rng.uniform(0, OWNERS_APART_S[1]))
        return at

    def _away_s(self):
        return self.rng.choice(
            [*[round(self.rng.uniform(*AWAY_S), 2)] * 3, None]
        )

    def _away(self, at):
        """One machine or two, apart by seconds, stay away."""
        for agent in self.rng.sample(
            self.fleet.agents, self.rng.choice([1, 2])
        ):
            self._add(at, 'away', agent, self._away_s())
            at += self.rng.uniform(0, 3)
        return at

    def _power(self, at):
        """All is lost at once; a machine may stay away, or be replaced."""
        low, high = POWER_BACK_S
        stays = self.rng.choice(
            [None, *[self.rng.choice(self.fleet.agents)] * 2]
        )
        replaced = self._replaced()
        for entry in self.fleet.entries:
            back = round(self.rng.uniform(low, high), 2)
            name = 'replace' if entry == replaced else 'kill'
            self._add(at, name, entry, back)
        for agent in self.fleet.agents:
            back = round(self.rng.uniform(low, high), 2)
            away_s = self._away_s() if agent == stays else back
            self._add(at, 'away', agent, away_s)
        return at + high

    def _replaced(self):
        """One entry of a run may come back under another name."""
        if self.is_replaced or self.rng.random() < 0.5:
            return ''
        self.is_replaced = True
        return self.rng.choice(self.fleet.entries[1:])

    def _owners(self, at):
        for turn in range(self.rng.randint(2, 4)):
            at += self.rng.uniform(*OWNERS_APART_S) if turn else 0
            back = round(self.rng.uniform(*OWNER_BACK_S), 2)
            self._add(at, 'kill', self.fleet.owner, back)
        return at
