"""The announced state of one incarnation of a worker."""

from hyssopring.clock import Clock
from hyssopring.jobs.model import Size
from hyssopring.jobs.times import CAPACITY_TTL_MS
from hyssopring.jobs.worker_port import Announcement
from hyssopring.logs import Event, log_event

__all__ = ('AnnouncedState',)


class AnnouncedState:
    """Tracks a worker's announcements and ignores those out of order.

    Attributes:
        service: The service that the worker belongs to.
        labels: The labels of its VM; the kind comes first, the rack last.
        deregistered_at: When the worker deregistered, None before that.
    """

    def __init__(self, clock: Clock) -> None:
        """Begin without any announcement."""
        self._clock = clock
        self._boot = ''
        self.service = ''
        self.labels: tuple[str, ...] = ()
        self._capacity = Size()
        self._announced_at = clock.now()
        self._sequence = 0
        self._is_leaving = False
        self._leaves_at = clock.now()
        self.deregistered_at: float | None = None

    @classmethod
    def from_announcement(
        cls,
        clock: Clock,
        announcement: Announcement,
        announced_at: float,
    ) -> 'AnnouncedState':
        """Begin with the announcement received at ``announced_at``."""
        state = cls(clock)
        state.update(announcement)
        state._announced_at = announced_at
        return state

    @property
    def capacity(self) -> Size:
        """Total resources of the worker; 0 if announced too long ago."""
        age_ms = self._clock.now() - self._announced_at
        return self._capacity if age_ms <= CAPACITY_TTL_MS else Size()

    @property
    def is_leaving(self) -> bool:
        """Whether the worker accepts no more tasks."""
        return self._is_leaving

    @property
    def remaining_ms(self) -> int:
        """How long a leaving worker will run at least."""
        return max(0, int(self._leaves_at - self._clock.now()))

    def update(self, announcement: Announcement) -> bool:
        """Apply an announcement; return whether the resources changed.

        A delayed one, with a lower sequence number than the last, is ignored,
        unless the last is too old to count: a wrong number that is far too high
        would otherwise make all later announcements void.
        """
        age_ms = self._clock.now() - self._announced_at
        is_delayed = announcement.sequence < self._sequence
        if is_delayed and age_ms <= CAPACITY_TTL_MS:
            return False
        self._boot = announcement.boot
        self._sequence = announcement.sequence
        self.service = announcement.service
        self.labels = announcement.labels
        self._announced_at = self._clock.now()
        has_changed = announcement.capacity != self._capacity
        self._capacity = announcement.capacity
        if announcement.is_leaving:
            self._leave(announcement.remaining_ms)
        return has_changed

    def deregister(self) -> None:
        """Apply a deregistration: the worker leaves at once."""
        self.deregistered_at = self._clock.now()
        self._leave(0)

    def _leave(self, remaining_ms: int) -> None:
        if not self._is_leaving:
            self._is_leaving = True
            log_event(
                Event.BACKEND_LEAVING,
                boot=self._boot,
                remaining_ms=remaining_ms,
            )
        self._leaves_at = self._clock.now() + remaining_ms
