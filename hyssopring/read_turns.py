"""A limit on the time that reading takes in one turn of the reactor."""

from collections import deque
from typing import Any, Callable, Final, Protocol

from hyssopring.clock import Clock

__all__ = ('ReadTurns', 'Reader')

_MAX_MS: Final = 20.0


class Reader(Protocol):
    """A connection with bytes that it has not parsed."""

    def read_on(self) -> None:
        """Parse the bytes, with a call of ``ReadTurns.run``."""


class ReadTurns:
    """Lets connections parse in turn, so that timers and others run between.

    A body in very small chunks takes far longer to parse than its size
    suggests, and many connections may have bytes in the same turn.
    """

    def __init__(self, reactor: Any, clock: Clock) -> None:
        """Start with nothing to read."""
        self._reactor = reactor
        self._clock = clock
        self._used_ms: float = 0
        self._waiting: deque[Reader] = deque()
        self._is_scheduled = False

    @property
    def is_over(self) -> bool:
        """Whether reading has to wait for the next turn."""
        return self._used_ms >= _MAX_MS

    def run(self, parse: Callable[[], None]) -> None:
        """Parse, and count its time."""
        begun_ms = self._clock.now()
        parse()
        self._used_ms += self._clock.now() - begun_ms

    def wait(self, reader: Reader) -> None:
        """Call a reader in a later turn, after those that wait already."""
        self._waiting.append(reader)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.callLater(0, self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._used_ms = 0
        while self._waiting and not self.is_over:
            self._waiting.popleft().read_on()
        if self._waiting:
            self._schedule()
