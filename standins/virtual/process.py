"""The base of all processes of a virtual deployment."""

__all__ = ('Process',)


class Process:
    """A process that can be paused and killed.

    While it is paused, calls to it are queued in order; once it is killed
    they are lost.
    """

    def __init__(self):
        self.is_alive = True
        self._is_paused = False
        self._queued_calls = []

    @property
    def is_paused(self):
        return self._is_paused

    @is_paused.setter
    def is_paused(self, is_paused):
        self._is_paused = is_paused
        while self._queued_calls and not self._is_paused:
            action, arguments = self._queued_calls.pop(0)
            self.deliver(action, *arguments)

    def deliver(self, action, *arguments):
        """Call an action in this process; queue it during a pause."""
        if self._is_paused:
            self._queued_calls.append((action, arguments))
        elif self.is_alive:
            action(*arguments)

    def _every(self, loop, millis, action):
        """Call an action at intervals while alive and not paused."""

        def run_unless_paused():
            if not self._is_paused:
                action()

        loop.every(millis, run_unless_paused, lambda: self.is_alive)
