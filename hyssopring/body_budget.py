"""A limit on the bytes of all request bodies that a process holds."""

from typing import Final, Protocol

__all__ = ('BodyBudget', 'RefusableBody')

# Refusals go on until this share is free, so that a full budget is not searched
# for the largest body at each read.
_FREE_SHARE: Final = 0.125


class RefusableBody(Protocol):
    """An unfinished body, by the connection that it arrives on."""

    def refuse_body(self) -> None:
        """Respond that the request was not accepted; discard its bytes."""


class BodyBudget:
    """The bytes of bodies that the sites of one process hold.

    When they exceed the budget, the unfinished bodies that hold the most are
    refused. Small requests are read on beside large ones that have stalled.

    Attributes:
        max_bytes: The budget, at least one largest body.
        refused_count: How many bodies were refused.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start without bodies."""
        self.max_bytes = max_bytes
        self.refused_count = 0
        self._total_bytes = 0
        self._bytes_by_unfinished: dict[RefusableBody, int] = {}
        self._bytes_by_settled: dict[RefusableBody, int] = {}

    @property
    def held_bytes(self) -> int:
        """The bytes of all bodies."""
        return self._total_bytes

    def hold(self, body: RefusableBody, body_bytes: int) -> None:
        """Set the bytes that an unfinished body has so far.

        It may be refused within this call.
        """
        self.release(body)
        if body_bytes:
            self._bytes_by_unfinished[body] = body_bytes
            self._total_bytes += body_bytes
        if self._total_bytes > self.max_bytes:
            self._make_room()

    def settle(self, body: RefusableBody) -> None:
        """Count a body until its release, but refuse it no more.

        Called before its request is handed on, which a refusal would deny.
        """
        body_bytes = self._bytes_by_unfinished.pop(body, 0)
        if body_bytes:
            self._bytes_by_settled[body] = body_bytes

    def release(self, body: RefusableBody) -> None:
        """Forget a body that is no longer held."""
        self._total_bytes -= self._bytes_by_unfinished.pop(body, 0)
        self._total_bytes -= self._bytes_by_settled.pop(body, 0)

    def _make_room(self) -> None:
        wanted_bytes = self.max_bytes * (1 - _FREE_SHARE)
        while self._bytes_by_unfinished and self._total_bytes > wanted_bytes:
            largest = max(
                self._bytes_by_unfinished,
                key=self._bytes_by_unfinished.__getitem__,
            )
            self.release(largest)
            self.refused_count += 1
            largest.refuse_body()
