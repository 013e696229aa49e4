"""When an owner last knew that it has its shard, and checks of that."""

from typing import Callable

from hyssopring.clock import Clock
from hyssopring.jobs.grant_origin import GrantOrigin
from hyssopring.jobs.times import OWNER_LEASE_MS

__all__ = ('Ownership',)


class Ownership:
    """The newest read of the owner row that showed this owner.

    An owner may act for ``OWNER_LEASE_MS`` after it. Another entry may take
    the shard meanwhile, extend the leases of agents and record ends. What this
    owner infers from silence, or from an agent that may have obeyed another
    owner, holds only if a later read shows that there has been none.

    Attributes:
        grant_origin: From when grants to agents count.
    """

    def __init__(
        self,
        clock: Clock,
        confirmed_at: float,
        request_check: Callable[[], None],
        grant_origin: GrantOrigin,
    ) -> None:
        """Start from the takeover.

        Args:
            confirmed_at: When the call was sent that took the shard.
            request_check: Reads the owner row and calls ``confirm``.
            grant_origin: Its writes confirm the ownership as well.
        """
        self.grant_origin = grant_origin
        grant_origin.on_confirmed = self.confirm
        grant_origin.on_conflict = request_check
        self._clock = clock
        self._confirmed_at = confirmed_at
        self._request_check = request_check

    @property
    def age_ms(self) -> float:
        """Milliseconds since the read was sent."""
        return self._clock.now() - self._confirmed_at

    @property
    def is_recent(self) -> bool:
        """Whether the owner may act.

        The entry's own row does not prove that it owns the shard. An owner
        that was frozen, or refused by the store for a while, renews that row
        later and would act on long after its successor stopped waiting.
        """
        return self.age_ms < OWNER_LEASE_MS

    def confirm(self, sent_at: float) -> None:
        """Record that a read sent at ``sent_at`` showed this owner."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def check_since(self, at: float) -> bool:
        """Return whether no other owner can have acted until ``at``.

        If that is unknown, request a read of the owner row; call again when it
        has succeeded. It may fail, so call again periodically as well.
        """
        if self._confirmed_at >= at:
            return True
        self._request_check()
        return False
