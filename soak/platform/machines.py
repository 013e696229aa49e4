"""Losses of whole VMs and the stable periods after them, drawn from a seed.

They have their own random generator, so that they don't change the other faults
of a seed. Other faults within a stable period are omitted.
"""

from dataclasses import dataclass, replace
from itertools import count

# The duration of a permanent loss of a VM, in an event.
FOR_GOOD = None
AWAY_S = (5, 25)
# After a power outage each process is restarted within this time.
POWER_BACK_S = (0.5, 3)
OWNERS_APART_S = (2, 5)
# Minimum and maximum time until a killed owner is restarted.
OWNER_BACK_S = (0, 4)
STORM_S = (3, 7)
# Long enough for a takeover, and for tasks that wait for a lost VM.
CALMS_S = ((9, 14), (20, 26))
# Jobs of long-running tasks that fail repeatedly.
FAILING_JOBS = 2
FAILING_TASKS = 3
FAILING_CPU = 200
FAILS_MS = (3000, 15_000)
# Additional agents that the other faults do not target.
MORE_AGENTS = (2, 3, 4)


@dataclass(frozen=True)
class Event:
    """A fault or change.

    Attributes:
        at: Time in s since the faults began.
        name: Kind of event.
        target: Pattern of the names that are affected.
        arguments: Arguments of the kind.
    """

    at: float
    name: str
    target: str
    arguments: tuple = ()

    def __str__(self):
        arguments = ' '.join(map(str, self.arguments))
        return f'{self.at:6.2f} {self.name} {self.target} {arguments}'.rstrip()


@dataclass(frozen=True)
class Fleet:
    """The names of the programs that a power outage ends."""

    entries: tuple
    agents: tuple
    owner: str


class Losses:
    """Draws losses for a run.

    Attributes:
        calms: Start and end of the periods without other faults, in s.
    """

    def __init__(self, rng, fleet, seconds):
        self.rng = rng
        self.fleet = fleet
        self.seconds = seconds
        self.has_calms = rng.random() < 2 / 3
        self.is_replaced = False
        self.events = []
        self.calms = []

    def draw(self):
        """Draw times with faults, losses and stable periods for the run."""
        at = 0
        for _round in count():
            at += self.rng.uniform(*STORM_S)
            if at >= self.seconds:
                return
            begins_at = round(at, 2)
            self._add(begins_at, 'heal', 'all')
            at = self._series(begins_at + 0.1) + 0.1
            at += self.rng.uniform(*self.rng.choice(CALMS_S))
            self.calms.append((begins_at, at))

    def merged_with(self, others):
        """Return the losses and the other events outside stable periods."""
        if not self.has_calms:
            own = [event for event in self.events if event.name != 'heal']
            return [*others, *own]
        kept = (self._moved(event) for event in others)
        return [*(event for event in kept if event), *self.events]

    def _moved(self, event):
        """Move a join or leave to the start of a stable period; omit faults."""
        for begins_at, ended in self.calms:
            if begins_at <= event.at < ended:
                is_change = event.name in {'join', 'leave'}
                return replace(event, at=begins_at) if is_change else None
        return event

    def _add(self, at, name, target, *arguments):
        self.events.append(Event(round(at, 2), name, target, arguments))

    def _series(self, at):
        """Draw lost VMs, killed owners or both; return the last time."""
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
        """Draw the loss of one or two VMs, seconds apart."""
        for agent in self.rng.sample(
            self.fleet.agents, self.rng.choice([1, 2])
        ):
            self._add(at, 'away', agent, self._away_s())
            at += self.rng.uniform(0, 3)
        return at

    def _power(self, at):
        """Draw a power outage; a VM may stay lost, or be replaced."""
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
        """Return an entry to restart under another name, once a run at most."""
        if self.is_replaced or self.rng.random() < 0.5:
            return ''
        self.is_replaced = True
        return self.rng.choice(self.fleet.entries[1:])

    def _owners(self, at):
        for index in range(self.rng.randint(2, 4)):
            at += self.rng.uniform(*OWNERS_APART_S) if index else 0
            back = round(self.rng.uniform(*OWNER_BACK_S), 2)
            self._add(at, 'kill', self.fleet.owner, back)
        return at
