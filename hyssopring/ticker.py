"""A timer that runs only while something waits (Twisted shell)."""

from typing import Any, Callable

__all__ = ('Ticker',)


class Ticker:
    """Repeats an action while there is work, and sleeps otherwise.

    A timer that always runs wakes an idle process 50 times a second, which
    costs it more than all that it has to do.
    """

    def __init__(
        self,
        reactor: Any,
        seconds: float,
        action: Callable[[], None],
        has_work: Callable[[], bool],
    ) -> None:
        """Run ``action`` each ``seconds`` from ``wake`` until work is done."""
        self._reactor = reactor
        self._seconds = seconds
        self._action = action
        self._has_work = has_work
        self._is_armed = False

    def wake(self) -> None:
        """Something waits from now on."""
        if not self._is_armed:
            self._arm()

    def _arm(self) -> None:
        self._is_armed = True
        self._reactor.callLater(self._seconds, self._run)

    def _run(self) -> None:
        try:  # noqa: WPS501 -- an error goes on to the reactor
            self._action()
        finally:
            # Re-armed also after an error: the next deadline still counts.
            self._is_armed = False
            if self._has_work():
                self._arm()
