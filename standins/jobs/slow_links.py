"""Simulated connections with delays that keep messages in order."""

LINK_S = 0.001
# Minimum time between two messages of a connection.
GAP_S = 1e-6


class SlowLinks:
    """Draws the delay of each message; set as ``Deployment.link_s``.

    A process can be slow to send, to receive or both. Each message then draws
    its own delay, and none overtakes an earlier one of the same connection.
    """

    def __init__(self, random):
        self._random = random
        self._sent = {}
        self._received = {}
        self._arrival_by_pair = {}

    @property
    def is_slow(self):
        """Whether any process's messages are delayed now."""
        return bool(self._sent or self._received)

    def slow(self, name, range_s, is_sent=True, is_received=True):
        """Delay what a process sends, receives or both by ``range_s``."""
        if is_sent:
            self._sent[name] = range_s
        if is_received:
            self._received[name] = range_s

    def heal(self, name):
        """Stop delaying the messages of a process."""
        self._sent.pop(name, None)
        self._received.pop(name, None)

    def heal_all(self):
        self._sent.clear()
        self._received.clear()

    def __call__(self, now, sender, receiver):
        pair = (sender, receiver)
        earliest = self._arrival_by_pair.get(pair, 0) + GAP_S
        arrives_at = max(now + self._delay_s(sender, receiver), earliest)
        self._arrival_by_pair[pair] = arrives_at
        return arrives_at - now

    def _delay_s(self, sender, receiver):
        ranges = (self._sent.get(sender), self._received.get(receiver))
        drawn = [self._random.uniform(*each) for each in ranges if each]
        return LINK_S + max(drawn, default=0)
