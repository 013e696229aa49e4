"""Simulated connections that hold messages back for a while."""

from standins.jobs.slow_links import SlowLinks


class HeldLinks(SlowLinks):
    """Slow connections, some of which deliver nothing for a while.

    A process may be suspended in the middle of a step: what it sends in that
    step leaves when it resumes.

    Attributes:
        in_step: How long each process is suspended at its next message.
    """

    def __init__(self, random, seconds, find):
        """Read the time with ``seconds``, and find processes with ``find``."""
        super().__init__(random)
        self._seconds = seconds
        self._find = find
        self._held_until = {}
        self.in_step = {}

    @property
    def is_slow(self):
        latest = max(self._held_until.values(), default=0)
        return super().is_slow or latest > self._seconds()

    def hold(self, sender, receiver, until):
        """Hold back the messages from one process to another."""
        pair = (sender, receiver)
        self._held_until[pair] = max(until, self._held_until.get(pair, 0))

    def is_held(self, one, other):
        """Whether messages between two processes are held back now."""
        held = (self._held_until.get(pair, 0) for pair in _ways(one, other))
        return max(held) > self._seconds()

    def reopen(self, one, other):
        """Forget what is held back, as a new connection has its own order."""
        for pair in _ways(one, other):
            self._held_until.pop(pair, None)
            self._arrival_by_pair.pop(pair, None)

    def heal_all(self):
        super().heal_all()
        self._held_until.clear()
        self.in_step.clear()

    def __call__(self, now, sender, receiver):
        if sender in self.in_step:
            self._find(sender).thaws_at = now + self.in_step.pop(sender)
        return super().__call__(now, sender, receiver)

    def _delay_s(self, sender, receiver):
        held_until = max(
            self._held_until.get((sender, receiver), 0),
            self._find(sender).thaws_at or 0,
        )
        held_s = max(0, held_until - self._seconds())
        return held_s + super()._delay_s(sender, receiver)


def _ways(one, other):
    return (one, other), (other, one)
