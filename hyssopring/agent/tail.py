"""A short-window latency tail of one backend server."""

from dataclasses import dataclass, field

__all__ = ('TailWindow',)

_WINDOW_MS = 4000.0
_MAX_SAMPLES = 1024
_MIN_SAMPLES = 20
_TAIL = 0.95


@dataclass(slots=True)
class TailWindow:
    """The 95th percentile over the last 4 to 8 seconds.

    Two windows take turns: the older one is whole, the newer one fills. A
    higher percentile would rest on too few calls at the loads of one VM.
    """

    started_at: float = 0
    filling: list[float] = field(default_factory=list)
    whole: list[float] = field(default_factory=list)

    def add(self, now: float, took_ms: float) -> None:
        """Take one call's latency."""
        self._turn(now)
        if len(self.filling) < _MAX_SAMPLES:
            self.filling.append(took_ms)

    def latency_ms(self, now: float) -> float:
        """Return the tail, or 0 when too few calls ended."""
        self._turn(now)
        samples = sorted(self.whole + self.filling)
        if len(samples) < _MIN_SAMPLES:
            return 0
        return samples[int(len(samples) * _TAIL)]

    def _turn(self, now: float) -> None:
        age = now - self.started_at
        if age < _WINDOW_MS:
            return
        self.whole = self.filling if age < 2 * _WINDOW_MS else []
        self.filling = []
        self.started_at = now
