"""Which lives of workers may run a step, as far as the service has said."""

from dataclasses import dataclass, field
from typing import Container, Final

__all__ = ('StepTickets', 'Ticket')

# A worker that has not taken a ticket is asked for again after this long, and
# twice as long each time: a start that is turned down has its price.
_FIRST_BAR_MS: Final = 400.0
_MAX_BAR_MS: Final = 12_800.0


@dataclass(frozen=True, slots=True)
class Ticket:
    """Lets tasks of a step start on a life of a worker.

    Attributes:
        until: When it is not used any more, by the owner's clock.
    """

    text: str
    until: float


@dataclass(slots=True)
class StepTickets:
    """What is known of one step.

    The service's answer for a life of a worker never changes: those that may
    not run the step are not asked for again.

    Attributes:
        approved: Lives that may run the step; their tickets run out.
        denied: Lives that may not.
        retry_at: Until then nothing is asked for the step.
        followed_since: Since when all tasks before the step run or are done.
    """

    ticket_by_boot: dict[str, Ticket] = field(default_factory=dict)
    approved: set[str] = field(default_factory=set)
    denied: set[str] = field(default_factory=set)
    retry_at: float = 0
    followed_since: float | None = None
    _bar_ms_by_boot: dict[str, float] = field(default_factory=dict)
    _barred_until: dict[str, float] = field(default_factory=dict)

    def lasting(self, until: float) -> dict[str, str]:
        """Return the tickets, by boot, that are good until then."""
        return {
            boot: ticket.text
            for boot, ticket in self.ticket_by_boot.items()
            if ticket.until > until
        }

    def answered(
        self,
        asked: tuple[str, ...],
        tickets: dict[str, Ticket],
    ) -> None:
        """Take an answer; what it says of others was not asked."""
        for boot in asked:
            ticket = tickets.get(boot)
            if ticket is None:
                self.approved.discard(boot)
                self.ticket_by_boot.pop(boot, None)
                self.denied.add(boot)
            else:
                self.approved.add(boot)
                self.ticket_by_boot[boot] = ticket

    def rejected(self, boot: str, now: float) -> None:
        """A worker has not taken its ticket: drop it, ask again later."""
        if self.ticket_by_boot.pop(boot, None) is None:
            return
        bar_ms = self._bar_ms_by_boot.get(boot, _FIRST_BAR_MS)
        self._barred_until[boot] = now + bar_ms
        self._bar_ms_by_boot[boot] = min(2 * bar_ms, _MAX_BAR_MS)

    def may_ask(self, boot: str, now: float) -> bool:
        """Whether an answer for this life would say something new."""
        is_barred = self._barred_until.get(boot, now) > now
        return boot not in self.denied and not is_barred

    def keep(self, boots: Container[str]) -> None:
        """Forget all lives of workers but these."""
        self.approved = {boot for boot in self.approved if boot in boots}
        self.denied = {boot for boot in self.denied if boot in boots}
        for table in (
            self.ticket_by_boot,
            self._bar_ms_by_boot,
            self._barred_until,
        ):
            for boot in list(table):
                if boot not in boots:
                    table.pop(boot)
