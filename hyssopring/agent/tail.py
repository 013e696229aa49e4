"""Tail latency of one backend server over a short window."""

from dataclasses import dataclass, field

__all__ = ('TailWindow',)

_WINDOW_MS = 4000.0
_MAX_SAMPLES = 1024
_MIN_SAMPLES = 20
_TAIL_FRACTION = 0.95


@dataclass(slots=True)
class TailWindow:
    """The 95th percentile over the last 4 to 8 seconds.

    It covers a complete window and the one that is being filled. At the load
    of one VM, a higher percentile would be computed from too few calls.

    Attributes:
        started_at: When the current window began, in ms.
        current: Latencies of the window that is being filled, in ms.
        previous: Latencies of the window before it, in ms.
    """

    started_at: float = 0
    current: list[float] = field(default_factory=list)
    previous: list[float] = field(default_factory=list)

    def add(self, now_ms: float, took_ms: float) -> None:
        """Add the latency of one call."""
        self._rotate(now_ms)
        if len(self.current) < _MAX_SAMPLES:
            self.current.append(took_ms)

    def latency_ms(self, now_ms: float) -> float:
        """Return the tail latency, or 0 if too few calls have finished."""
        self._rotate(now_ms)
        samples = sorted(self.previous + self.current)
        if len(samples) < _MIN_SAMPLES:
            return 0
        return samples[int(len(samples) * _TAIL_FRACTION)]

    def _rotate(self, now_ms: float) -> None:
        age = now_ms - self.started_at
        if age < _WINDOW_MS:
            return
        self.previous = self.current if age < 2 * _WINDOW_MS else []
        self.current = []
        self.started_at = now_ms
