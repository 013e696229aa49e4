"""What a paused and a killed process have in common."""

__all__ = ('Process',)


class Process:
    """What a pause and a kill do: its mail waits, in order, or is lost."""

    def __init__(self):
        self.is_alive = True
        self._is_paused = False
        self._mail = []

    @property
    def is_paused(self):
        return self._is_paused

    @is_paused.setter
    def is_paused(self, is_paused):
        self._is_paused = is_paused
        while self._mail and not self._is_paused:
            action, arguments = self._mail.pop(0)
            self.take(action, *arguments)

    def take(self, action, *arguments):
        """Let something arrive at this process."""
        if self._is_paused:
            self._mail.append((action, arguments))
        elif self.is_alive:
            action(*arguments)

    def _every(self, loop, millis, action):
        """Do something at intervals while alive, but not while paused."""

        def act():
            if not self._is_paused:
                action()

        loop.every(millis, act, lambda: self.is_alive)
