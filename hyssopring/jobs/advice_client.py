"""What an owner asks of the service that knows who may run a step."""

from dataclasses import dataclass, field
from typing import Any, Mapping, Protocol

from twisted.internet.defer import fail

__all__ = (
    'AdviceClient',
    'AdviceUnavailable',
    'AdviceAnswer',
    'UnconfiguredAdviceClient',
    'AdviceQuery',
)


class AdviceUnavailable(Exception):
    """No usable answer came; the text says why. Asking again is harmless."""


@dataclass(frozen=True, slots=True)
class AdviceQuery:
    """Which of these lives of workers may run a step.

    Attributes:
        step: The step's name, the same for all its tasks.
        boots: Lives of workers.
        expected_ms: How long the answer takes while nobody else asks.
    """

    step: str
    boots: tuple[str, ...]
    expected_ms: float


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """An answer: a ticket for each life of a worker that may run the step.

    Attributes:
        valid_ms: How long the tickets are good; 0 if the answer says nothing.
    """

    ticket_by_boot: Mapping[str, str] = field(default_factory=dict)
    valid_ms: float = 0


class AdviceClient(Protocol):
    """Asks the service; an implementation gives up by itself in time."""

    def ask(self, question: AdviceQuery) -> Any:
        """Return a deferred ``AdviceAnswer``; fails with AdviceUnavailable."""


class UnconfiguredAdviceClient:
    """Stands where the settings name no service: steps that need it wait."""

    def ask(self, question: AdviceQuery) -> Any:
        """See ``AdviceClient``."""
        return fail(AdviceUnavailable('the settings name no service'))
