"""How soon a look is repeated, and how long each one may take."""

from typing import Final

__all__ = ('ANSWER_MS', 'PollBackoff')

# The worker is on the same VM and answers within a few ms, unless the VM is
# overloaded.
ANSWER_MS: Final = 700.0
_FIRST_ANSWER_MS: Final = 100.0
_FIRST_PAUSE_MS: Final = 20.0
_MAX_PAUSE_MS: Final = 150.0
# More make no difference.
_MAX_DOUBLINGS: Final = 8


class PollBackoff:
    """Doubles time limit and pause with each look that gets no answer.

    Until a new incarnation has taken a look it carries out what was sent to
    the former one. So the first looks are repeated at once.
    """

    def __init__(self) -> None:
        """Begin with the shortest times."""
        self._failed = 0

    def answered(self) -> None:
        """Begin anew."""
        self._failed = 0

    def failed(self) -> None:
        """A look got no answer."""
        self._failed += 1

    @property
    def answer_ms(self) -> float:
        """How long the next answer may take."""
        return min(_FIRST_ANSWER_MS * self._factor, ANSWER_MS)

    @property
    def pause_ms(self) -> float:
        """How long the next look waits."""
        return min(_FIRST_PAUSE_MS * self._factor, _MAX_PAUSE_MS)

    @property
    def _factor(self) -> float:
        return 2.0 ** min(self._failed, _MAX_DOUBLINGS)
