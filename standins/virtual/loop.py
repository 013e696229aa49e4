"""The event queue of a virtual deployment, and its clocks."""

import heapq
import itertools

from hyssopring.clock import ManualClock

__all__ = ('Loop', 'RateClock')


class Loop:
    """An event queue with a virtual clock.

    Attributes:
        steps: Number of events that have run.
        on_step: Called after each event, if set.
    """

    def __init__(self, start=1000.0):
        self.clock = ManualClock(start)
        self.steps = 0
        self.on_step = None
        self._events = []
        self._order = itertools.count()

    @property
    def now(self):
        return self.clock.now()

    def later(self, millis, action, *arguments):
        """Call an action after ms; ties run in the order of the calls."""
        event = (self.now + millis, next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def every(self, millis, action, is_alive=lambda: True):
        """Call an action at intervals of ms while ``is_alive`` holds."""

        def repeat():
            if is_alive():
                action()
                self.later(millis, repeat)

        self.later(millis, repeat)

    def run(self, millis):
        """Advance the clock by ms and run the events due."""
        end_at = self.now + millis
        while self._events and self._events[0][0] <= end_at:
            due_at, _, action, arguments = heapq.heappop(self._events)
            self.clock.advance(max(due_at - self.now, 0))
            action(*arguments)
            self.steps += 1
            if self.on_step is not None:
                self.on_step()
        self.clock.advance(max(end_at - self.now, 0))


class RateClock:
    """A clock that runs faster or slower than the event queue's."""

    def __init__(self, loop, rate=1.0):
        self._loop = loop
        self._rate = rate

    def now(self):
        """Return the time in ms."""
        return self._loop.now * self._rate
