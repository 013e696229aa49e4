"""The event queue of a virtual deployment, and the clocks that it drives."""

import heapq
import itertools

from hyssopring.clock import ManualClock

__all__ = ('Loop', 'RateClock')


class Loop:
    """The event queue and the clock that it drives."""

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
        entry = (self.now + millis, next(self._order), action, arguments)
        heapq.heappush(self._events, entry)

    def every(self, millis, action, is_alive=lambda: True):
        def again():
            if is_alive():
                action()
                self.later(millis, again)

        self.later(millis, again)

    def run(self, millis):
        end = self.now + millis
        while self._events and self._events[0][0] <= end:
            when, _, action, arguments = heapq.heappop(self._events)
            self.clock.advance(max(when - self.now, 0))
            action(*arguments)
            self.steps += 1
            if self.on_step is not None:
                self.on_step()
        self.clock.advance(max(end - self.now, 0))


class RateClock:
    """A clock that runs fast or slow against the event queue's."""

    def __init__(self, loop, rate=1.0):
        self._loop = loop
        self._rate = rate

    def now(self):
        return self._loop.now * self._rate
