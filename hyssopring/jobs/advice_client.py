"""The interface to the service that approves workers for a step."""

from dataclasses import dataclass, field
from typing import Any, Mapping, Protocol

from twisted.internet.defer import fail

__all__ = (
    'AdviceAnswer',
    'AdviceClient',
    'AdviceQuery',
    'AdviceUnavailable',
    'UnconfiguredAdviceClient',
)


class AdviceUnavailable(Exception):
    """The service gave no usable answer; queries may safely be repeated.

    The text names the cause.
    """


@dataclass(frozen=True, slots=True)
class AdviceQuery:
    """A query for the workers that may run a step.

    Attributes:
        step: The step's name, the same for all its tasks.
        boots: Incarnations of the workers to choose from.
        expected_ms: How long the answer takes if no other query is in flight.
    """

    step: str
    boots: tuple[str, ...]
    expected_ms: float


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """A ticket for each incarnation of a worker that may run the step.

    Attributes:
        valid_ms: How long the tickets are valid; 0 if the answer does not
            contain it.
    """

    ticket_by_boot: Mapping[str, str] = field(default_factory=dict)
    valid_ms: float = 0


class AdviceClient(Protocol):
    """Query the service; implementations have a timeout."""

    def ask(self, query: AdviceQuery) -> Any:
        """Return a deferred ``AdviceAnswer``; fails with AdviceUnavailable."""


class UnconfiguredAdviceClient:
    """Fail all queries, because the settings name no service.

    Steps that need a ticket wait.
    """

    def ask(self, query: AdviceQuery) -> Any:
        """See ``AdviceClient``."""
        return fail(
            AdviceUnavailable('no advice service is configured in the settings')
        )
