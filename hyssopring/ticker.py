"""A periodic timer that runs only while there is work, on Twisted."""

from typing import Any, Callable

__all__ = ('Ticker',)


class Ticker:
    """Calls an action periodically while there is work.

    A permanent timer would wake an idle process 50 times a second, which takes
    more processor time than the rest of its work.
    """

    def __init__(
        self,
        reactor: Any,
        interval_s: float,
        action: Callable[[], None],
        has_work: Callable[[], bool],
    ) -> None:
        """Initialize the ticker; ``wake`` starts it.

        Args:
            reactor: Schedules the calls.
            interval_s: Time between calls.
            action: Called periodically.
            has_work: Whether to go on after a call.
        """
        self._reactor = reactor
        self._interval_s = interval_s
        self._action = action
        self._has_work = has_work
        self._is_scheduled = False

    def wake(self) -> None:
        """Start the timer unless it runs."""
        if not self._is_scheduled:
            self._schedule()

    def _schedule(self) -> None:
        self._is_scheduled = True
        self._reactor.callLater(self._interval_s, self._run)

    def _run(self) -> None:
        try:  # noqa: WPS501 -- the reactor handles the error
            self._action()
        finally:
            # Goes on after an error: later deadlines must still be enforced.
            self._is_scheduled = False
            if self._has_work():
                self._schedule()
