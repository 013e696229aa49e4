"""Exponential backoff of the polls of a worker."""

from typing import Final

__all__ = ('MAX_TIMEOUT_MS', 'PollBackoff')

# Longest timeout of a poll. The worker is on the same VM and answers within a
# few ms unless the VM is overloaded.
MAX_TIMEOUT_MS: Final = 700.0
_FIRST_TIMEOUT_MS: Final = 100.0
_FIRST_PAUSE_MS: Final = 20.0
_MAX_PAUSE_MS: Final = 150.0
# Further doublings exceed both limits.
_MAX_DOUBLINGS: Final = 8


class PollBackoff:
    """Doubles timeout and pause with each unanswered poll.

    The first pauses are short, because a new incarnation accepts requests sent
    to the former one until it has received its first poll.
    """

    def __init__(self) -> None:
        """Begin with the shortest timeout and pause."""
        self._failures = 0

    def reset(self) -> None:
        """Reset timeout and pause after an answer."""
        self._failures = 0

    def record_failure(self) -> None:
        """Count an unanswered poll."""
        self._failures += 1

    @property
    def timeout_ms(self) -> float:
        """Timeout of the next poll."""
        return min(_FIRST_TIMEOUT_MS * self._factor, MAX_TIMEOUT_MS)

    @property
    def pause_ms(self) -> float:
        """Delay before the next poll."""
        return min(_FIRST_PAUSE_MS * self._factor, _MAX_PAUSE_MS)

    @property
    def _factor(self) -> float:
        return 2.0 ** min(self._failures, _MAX_DOUBLINGS)
