"""Tickets of a step: the workers that the advice service has approved."""

from dataclasses import dataclass, field
from typing import Container, Final

__all__ = ('StepTickets', 'Ticket')

# The pause before a worker that has rejected its ticket is queried again. It
# doubles each time, as rejected starts are expensive.
_INITIAL_BACKOFF_MS: Final = 400.0
_MAX_BACKOFF_MS: Final = 12_800.0


@dataclass(frozen=True, slots=True)
class Ticket:
    """The permission to start tasks of a step on an incarnation of a worker.

    Attributes:
        until_ms: When the ticket is no longer used, by the owner's clock.
    """

    text: str
    until_ms: float


@dataclass(slots=True)
class StepTickets:
    """The answers of the advice service for one step.

    The answer for an incarnation of a worker never changes, so that denied ones
    are not queried again. An incarnation is identified by its boot ID.

    Attributes:
        approved: Incarnations that may run the step; their tickets expire.
        denied: Incarnations that may not run the step.
        retry_at_ms: Until this time no query is sent for the step.
        predecessors_running_since_ms: Since when all tasks of the steps before
            this one have been running or done, None if they are not.
    """

    ticket_by_boot: dict[str, Ticket] = field(default_factory=dict)
    approved: set[str] = field(default_factory=set)
    denied: set[str] = field(default_factory=set)
    retry_at_ms: float = 0
    predecessors_running_since_ms: float | None = None
    _backoff_ms_by_boot: dict[str, float] = field(default_factory=dict)
    _retry_at_ms_by_boot: dict[str, float] = field(default_factory=dict)

    def valid_at(self, time_ms: float) -> dict[str, str]:
        """Return the texts of the tickets that are valid at a time, by boot."""
        return {
            boot: ticket.text
            for boot, ticket in self.ticket_by_boot.items()
            if ticket.until_ms > time_ms
        }

    def record_answer(
        self,
        queried: tuple[str, ...],
        ticket_by_boot: dict[str, Ticket],
    ) -> None:
        """Record an answer; ignore incarnations that were not queried."""
        for boot in queried:
            ticket = ticket_by_boot.get(boot)
            if ticket is None:
                self.approved.discard(boot)
                self.ticket_by_boot.pop(boot, None)
                self.denied.add(boot)
            else:
                self.approved.add(boot)
                self.ticket_by_boot[boot] = ticket

    def record_rejection(self, boot: str, now_ms: float) -> None:
        """Drop a ticket that its worker has rejected; retry after a backoff."""
        if self.ticket_by_boot.pop(boot, None) is None:
            return
        backoff_ms = self._backoff_ms_by_boot.get(boot, _INITIAL_BACKOFF_MS)
        self._retry_at_ms_by_boot[boot] = now_ms + backoff_ms
        self._backoff_ms_by_boot[boot] = min(2 * backoff_ms, _MAX_BACKOFF_MS)

    def can_query(self, boot: str, now_ms: float) -> bool:
        """Return whether an incarnation is neither denied nor in backoff."""
        is_in_backoff = self._retry_at_ms_by_boot.get(boot, now_ms) > now_ms
        return boot not in self.denied and not is_in_backoff

    def retain(self, boots: Container[str]) -> None:
        """Drop all incarnations except these."""
        self.approved = {boot for boot in self.approved if boot in boots}
        self.denied = {boot for boot in self.denied if boot in boots}
        for by_boot in (
            self.ticket_by_boot,
            self._backoff_ms_by_boot,
            self._retry_at_ms_by_boot,
        ):
            for boot in list(by_boot):
                if boot not in boots:
                    by_boot.pop(boot)
