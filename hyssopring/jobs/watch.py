"""Watches one worker: its boot, its lists, and the hold on its tasks."""

from collections import deque
from typing import Any, Callable, Final

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.model import Size
from hyssopring.jobs.stalls import StallWatch
from hyssopring.jobs.times import CLOCK_DRIFT, HOLD_MS, ROOM_MS
from hyssopring.jobs.worker_lives import PastLife
from hyssopring.jobs.worker_port import (
    Announcement,
    Listing,
    Look,
    WorkerPort,
    WorkerReplaced,
    WorkerUnreachable,
)
from hyssopring.logs import Event, log_event

__all__ = ('WorkerWatch',)

# How long an answer waits for an end: the figures of tail latency are for
# half a second, and are read as often.
_WAIT_MS: Final = 500
# An answer with ends that are not durable yet comes at once; the next look
# leaves time for their recording.
_UNRECORDED_PAUSE_MS: Final = 60.0
_RETRY_MS: Final = 150.0
# Two looks were not answered.
_SILENT_MS: Final = 1500
# A worker that withdraws ends at once; a look under way is answered or fails
# within this time.
_ENDED_MS: Final = 500.0
_PAST_BOOTS: Final = 16


class WorkerWatch:
    """Keeps the newest boot of a worker in sight.

    Attributes:
        boot: The boot whose lists are known, empty for none.
        fence: The number that each order carries; it is taken from the
            worker's own clock, so that a new agent's is above those of the
            agent before it, without anything kept anywhere.
    """

    def __init__(self, reactor: Any, clock: Clock, port: WorkerPort) -> None:
        """See ``begin``; the callbacks are set by the owner before it."""
        self._reactor = reactor
        self._clock = clock
        self._port = port
        self.on_boot: Callable[[], None] = _nothing
        self.on_listing: Callable[[Listing, float], None] = _ignore
        self.on_lapse: Callable[[], None] = _nothing
        self.on_room: Callable[[], None] = _nothing
        self.hold_limit: Callable[[], float] = float
        self.has_unrecorded: Callable[[], bool] = bool
        self.recorded: Callable[[], int] = int
        self.boot = ''
        self.fence = 0
        self.service = ''
        self._room = Size()
        self._announced_at = clock.now()
        self.labels: tuple[str, ...] = ()
        self.leaving_since: float | None = None
        self._withdrawn_at: float | None = None
        self._leaves_at = clock.now()
        self._sequence = 0
        self._candidate: Announcement | None = None
        self._candidate_at = clock.now()
        self.past: PastLife | None = None
        self._past_boots: deque[str] = deque(maxlen=_PAST_BOOTS)
        self._clock_base = float()
        self._held_until = clock.now()
        # Until when a former agent of this VM may have held the tasks.
        self._inherited_until = clock.now()
        self._has_lapsed = False
        self._stalls = StallWatch(clock)
        self._is_looking = False
        self._heard_at = clock.now()
        self._failing_since: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether the worker gets no new tasks any more."""
        return self.leaving_since is not None

    @property
    def room(self) -> Size:
        """What the worker has, as it has announced a short while ago."""
        age_ms = self._clock.now() - self._announced_at
        return self._room if age_ms <= ROOM_MS else Size()

    @property
    def has_ended(self) -> bool:
        """Whether the worker withdrew, and has answered nothing since."""
        if self._withdrawn_at is None:
            return False
        since_ms = self._clock.now() - self._withdrawn_at
        return _ENDED_MS < since_ms <= self.silent_ms

    @property
    def remaining_ms(self) -> int:
        """How long a leaving worker still runs at least."""
        return max(0, int(self._leaves_at - self._clock.now()))

    @property
    def silent_ms(self) -> int:
        """For how long no worker has answered this agent."""
        return int(self._clock.now() - self._heard_at)

    def announce(self, announced: Announcement) -> None:
        """Take a worker's report about itself."""
        if announced.boot in self._past_boots:
            return
        if announced.boot == self.boot:
            self._update(announced)
            return
        # A report may have been held up and speak of a life that is over:
        # a boot counts only once the worker itself has answered under it.
        self._candidate = announced
        self._candidate_at = self._clock.now()
        self.look()

    def withdraw(self, boot: str) -> None:
        """The worker says that this boot ends."""
        if boot == self.boot:
            self._withdrawn_at = self._clock.now()
            self._leave(0)

    def worker_time(self, at: float) -> int:
        """Return a reading that the worker's clock has not passed at ``at``.

        A worker's clock may be slow: what is set by it must end in time by
        the agent's.
        """
        millis = (at - self._heard_at) * (1 - CLOCK_DRIFT)
        return int(self._clock_base + millis)

    def hold_until(self) -> float:
        """Until when (own clock) tasks may be held now.

        What a silent worker is sent may arrive all the same: its hold would
        be extended again and again, and its tasks could never be given up.
        """
        if self.silent_ms > _SILENT_MS:
            return self._held_until
        now = self._clock.now()
        until = min(self.hold_limit(), now + HOLD_MS)
        self._held_until = max(self._held_until, until)
        return until

    def look(self) -> None:
        """Ask for the lists, unless that is under way."""
        if self._is_looking:
            return
        candidate = self._candidate
        if candidate is not None:
            self._send(Look(candidate.boot, candidate.clock_ms, 0, None, 0))
        elif self.boot:
            self._look_again()

    def check(self) -> None:
        """Notice a worker that is silent past its hold; call regularly."""
        # After a freeze an answer may lie unread: then silence says nothing.
        has_kept_up = self._stalls.has_kept_up()
        if not self.boot or self._has_lapsed or not has_kept_up:
            return
        held_until = max(self._held_until, self._inherited_until)
        lapse = held_until + CLOCK_DRIFT * HOLD_MS
        if self.silent_ms > _WAIT_MS and self._clock.now() > lapse:
            self._has_lapsed = True
            log_event(
                Event.WORKER_SILENT,
                boot=self.boot,
                silent_ms=self.silent_ms,
            )
            self.on_lapse()

    def raise_fence(self) -> None:
        """Make all orders void that were sent and not yet carried out."""
        self.fence = max(self.fence + 1, self.worker_time(self._clock.now()))

    def _look_again(self) -> None:
        self._send(
            Look(
                self.boot,
                self.fence,
                self.recorded(),
                self._extension(),
                _WAIT_MS,
            ),
        )

    def _extension(self) -> int | None:
        """Until when a look extends the hold, None if there is no right."""
        until = self.hold_until()
        return self.worker_time(until) if until > self._clock.now() else None

    def _send(self, look: Look) -> None:
        self._is_looking = True
        sent_at = self._clock.now()
        asked = self._port.look(look)
        asked.addCallbacks(
            self._listed,
            self._failed,
            callbackArgs=(look, sent_at),
            errbackArgs=(look,),
        )
        asked.addErrback(self._broken)

    def _listed(self, listing: Listing, look: Look, sent_at: float) -> None:
        self._is_looking = False
        if listing.boot not in {'', look.boot}:
            self._met_another(look)
            return
        if look.boot != self.boot:
            self._adopt(look)
        self._heard_at = self._clock.now()
        self._failing_since = None
        self._clock_base = listing.clock_ms
        self._has_lapsed = False
        self.on_listing(listing, sent_at)
        pause = _UNRECORDED_PAUSE_MS if self.has_unrecorded() else 0
        self._later(pause)

    def _failed(self, failure: TwistedFailure, look: Look) -> None:
        self._is_looking = False
        reason = failure.trap(WorkerReplaced, WorkerUnreachable)
        if reason is WorkerReplaced:
            self._met_another(look)
        else:
            self._look_failed()

    def _met_another(self, look: Look) -> None:
        """Another incarnation has answered a look."""
        if look.boot != self.boot:
            self._candidate = None
        self._look_failed()

    def _look_failed(self) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.now()
        self._later(_RETRY_MS)

    def _broken(self, failure: TwistedFailure) -> None:
        """An error of ours in handling a list: say so, and go on looking."""
        self._is_looking = False
        log_event(
            Event.PEER_ERROR,
            peer='worker',
            detail=repr(failure.value),
            trace=failure.getBriefTraceback(),
        )
        self._later(_RETRY_MS)

    def _later(self, pause_ms: float) -> None:
        self._reactor.callLater(pause_ms / MILLIS_PER_SECOND, self.look)

    def _adopt(self, look: Look) -> None:
        assert self._candidate is not None, 'only a candidate is adopted'
        if self.boot:
            self._past_boots.append(self.boot)
            self.past = PastLife(
                self.boot,
                self._heard_at,
                self._failing_since,
                self.is_leaving,
            )
            log_event(Event.WORKER_REPLACED, boot=look.boot, before=self.boot)
        else:
            # A former agent may have extended the hold until now. Taken for
            # over as this one never gave it, running tasks would be reported
            # as gone by the first late answer, and start a second time.
            self._inherited_until = self._clock.now() + HOLD_MS
        announced = self._candidate
        self._candidate = None
        self.boot = look.boot
        self.fence = look.fence
        self.leaving_since = None
        self._withdrawn_at = None
        self._sequence = 0
        self._held_until = self._clock.now()
        self._update(announced)
        self._announced_at = self._candidate_at
        self.on_boot()

    def _update(self, announced: Announcement) -> None:
        if announced.sequence < self._sequence:
            return
        self._sequence = announced.sequence
        self.service = announced.service
        self.labels = announced.labels
        self._announced_at = self._clock.now()
        has_changed = announced.room != self._room
        self._room = announced.room
        if has_changed:
            self.on_room()
        if announced.is_leaving:
            self._leave(announced.remaining_ms)

    def _leave(self, remaining_ms: int) -> None:
        if self.leaving_since is None:
            self.leaving_since = self._clock.now()
            log_event(
                Event.BACKEND_LEAVING,
                boot=self.boot,
                remaining_ms=remaining_ms,
            )
        self._leaves_at = self._clock.now() + remaining_ms


def _nothing() -> None:
    """No owner is set yet."""


def _ignore(_listing: Listing, _sent_at: float) -> None:
    """No owner is set yet."""
