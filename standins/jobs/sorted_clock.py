"""A virtual reactor for deployments with many pending calls."""

import bisect

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock


class SortedClock(Clock):
    """A ``Clock`` that inserts calls in order instead of sorting them anew.

    The order is the same, as no call is delayed or reset.
    """

    def callLater(self, seconds, action, *given, **named):
        call = DelayedCall(
            self.seconds() + seconds,
            action,
            given,
            named,
            self.calls.remove,
            _refuse,
            self.seconds,
        )
        bisect.insort_right(self.calls, call, key=DelayedCall.getTime)
        return call

    def _sortCalls(self):
        """Do nothing: the calls are sorted."""


def _refuse(_call):
    raise NotImplementedError('calls are not reset here')
