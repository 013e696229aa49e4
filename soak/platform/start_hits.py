"""Faults of processes that follow a start which has come to a runner."""

from twisted.internet import reactor

from standins.jobs.worker import SimWorker


class HitWorker(SimWorker):
    """A runner whose next starts are each followed by a fault.

    Attributes:
        hits: Faults and the times in s from a start to each.
        apply_event: Applies a fault.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.hits = []
        self.apply_event = None

    def hit_at_start(self, event, delay_s):
        """Apply a fault once the next start has come, answered or not."""
        self.hits.append((event, delay_s))

    def start(self, start):
        if self.hits:
            event, delay_s = self.hits.pop(0)
            reactor.callLater(delay_s, self.apply_event, event)
        return super().start(start)
