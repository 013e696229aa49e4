"""The newest outlook of the owner that an entry has received."""

from typing import Final

from hyssopring.admission.messages import QueueOutlookNotice
from hyssopring.clock import Clock

__all__ = ('KnownOutlook',)

# An outlook that was not followed by another one for this long says nothing
# about the present owner, which may have had nothing to publish.
_FORGET_MS: Final = 30_000.0


class KnownOutlook:
    """Keeps the notice with the highest epoch and sequence number."""

    def __init__(self, clock: Clock) -> None:
        """Start without an outlook."""
        self._clock = clock
        self._notice: QueueOutlookNotice | None = None
        self._received_at = clock.now()

    def apply(self, notice: QueueOutlookNotice) -> bool:
        """Keep a notice; return False if a newer one is known."""
        known = self._notice
        if known is not None and _order(notice) <= _order(known):
            return False
        self._notice = notice
        self._received_at = self._clock.now()
        return True

    @property
    def notice(self) -> QueueOutlookNotice | None:
        """The newest notice, None if there is none of some recent time."""
        return self._notice if self.age_ms <= _FORGET_MS else None

    @property
    def age_ms(self) -> float:
        """The time since the newest notice arrived."""
        return self._clock.now() - self._received_at


def _order(notice: QueueOutlookNotice) -> tuple[int, int]:
    return notice.epoch, notice.sequence
