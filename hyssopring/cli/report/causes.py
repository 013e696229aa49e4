"""Why credit is lost."""

import enum
from collections import defaultdict

__all__ = ('Cause', 'Units')


class Cause(enum.Enum):
    """Why a job is late, or a lasting task does not serve its users.

    Attributes:
        WORK: Its own run time is longer than its objective allows; also
            slow workers and estimates that were too low.
    """

    WAITS_FOR_ROOM = 'waits for room'
    PARTLY_STARTED = 'begun in part, the rest waits'
    THROTTLED = 'throttled'
    RUN_LOST = 'run lost and begun anew'
    NO_OWNER = 'no owner'
    WORK = 'its own run time'
    FAILED = 'failed'
    AWAY = 'lasting task away'
    OVER_BY_NEIGHBOURS = 'over target by neighbours'
    OVER_BY_WORKER = 'over target by worker or own load'


class Units(defaultdict[Cause, float]):
    """Amounts by cause, in seconds or in jobs; 0 for a cause without one."""

    def __init__(self) -> None:
        """Start without amounts."""
        super().__init__(float)

    @property
    def total(self) -> float:
        """The sum of all amounts."""
        return sum(self.values())

    @property
    def largest(self) -> Cause:
        """The cause with the largest amount; there must be one."""
        return max(self, key=self.__getitem__)
