"""Whom to ask for: the few workers on which a step's tasks would start.

A question takes longer with each worker that it names, and the service takes
one at a time: few are named first, and more while too few of them may run the
step.
"""

import math
import zlib
from dataclasses import dataclass
from functools import partial
from typing import Final, Iterable

from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.model import AdviceTiming, Size, Step
from hyssopring.jobs.tickets import StepTickets

__all__ = ('Inquiry', 'Seat', 'whom_to_ask')

# Fewer are never named at first, even for a single task, if there are more.
_FEWEST: Final = 4
# More are named while they make a question at most half as long again.
_WORTH: Final = 0.5
_MOST_FIRST: Final = 15
# Longer questions hold up those of more urgent steps.
_MOST: Final = 30
# And a question takes this part of the tickets' time at most.
_PART_OF_VALID: Final = 0.25
_FREE_CLASSES: Final = 4


@dataclass(frozen=True, slots=True)
class Seat:
    """A worker that takes tasks, looked at once for all steps."""

    worker: Worker
    boot: str
    free: Size
    room: Size

    @classmethod
    def from_worker(cls, worker: Worker) -> 'Seat':
        """Look at a worker."""
        return cls(worker, worker.boot, worker.free(), worker.room)

    def suits(self, service: str, step: Step) -> bool:
        """Whether the worker could run a task of the step when empty."""
        report = self.worker.report
        if report is None or report.service != service:
            return False
        has_label = not step.label or step.label in report.labels
        return has_label and step.reserved_size.fits_in(self.room)


@dataclass(frozen=True, slots=True)
class Inquiry:
    """A step for which the service may be asked.

    Attributes:
        lasting_until: Tickets that run out before are asked for again.
        share: About which share of the workers may run such a step.
    """

    name: str
    record: JobRecord
    run: StepRun
    advice: AdviceTiming
    tickets: StepTickets
    is_in_turn: bool
    lasting_until: float
    share: float

    def suits(self, seat: Seat) -> bool:
        """Whether a worker could run a task of the step when empty."""
        return seat.suits(self.record.job.queue.service, self.run.step)

    def fit(self, seat: Seat, is_empty: bool) -> int:
        """How many tasks of the step start on a worker, now or when empty."""
        step = self.run.step
        worker = seat.worker
        if step.fills and not is_empty:
            return int(
                not worker.best_effort_tasks()
                and not worker.latency_critical_tasks()
            )
        count = _times(step.size, seat.room if is_empty else seat.free)
        if step.fills:
            count = max(1, count)
        if step.max_per_worker:
            left = step.max_per_worker - self._placed_on(worker)
            count = min(count, left)
        return max(0, min(count, step.count))

    def _placed_on(self, worker: Worker) -> int:
        return sum(
            placed.name.job_id == self.record.job.job_id
            and placed.name.occurrence == self.run.occurrence
            and placed.name.step == self.run.step_index
            for placed in worker.placed_by_task.values()
        )


def whom_to_ask(
    inquiry: Inquiry,
    seats: Iterable[Seat],
    now: float,
) -> tuple[str, ...]:
    """Return the lives of workers to ask for, none if enough are known."""
    lasting = inquiry.tickets.lasting(inquiry.lasting_until)
    suited = [seat for seat in seats if inquiry.suits(seat)]
    known = [seat for seat in suited if seat.boot in lasting]
    unknown = [
        seat
        for seat in suited
        if seat.boot not in lasting and inquiry.tickets.may_ask(seat.boot, now)
    ]
    # Those with room now come first; where none has any, tickets are kept
    # ready for the moment when room becomes free.
    picked: tuple[str, ...] = ()
    if inquiry.is_in_turn:
        picked = _missing(inquiry, known, unknown, is_empty=False)
    return picked or _missing(inquiry, known, unknown, is_empty=True)


def _missing(
    inquiry: Inquiry,
    known: list[Seat],
    unknown: list[Seat],
    is_empty: bool,
) -> tuple[str, ...]:
    """Pick workers for the tasks that go on none of the known ones."""
    missing = len(inquiry.run.waiting) - sum(
        inquiry.fit(seat, is_empty) for seat in known
    )
    if missing <= 0 or not any(inquiry.fit(seat, is_empty) for seat in unknown):
        return ()
    return _pick(
        inquiry,
        sorted(unknown, key=partial(_rank, inquiry)),
        missing,
        is_empty,
    )


def _pick(
    inquiry: Inquiry,
    ranked: list[Seat],
    missing: int,
    is_empty: bool,
) -> tuple[str, ...]:
    """Name workers until enough of them are likely to be approved.

    Those without room come last: they are named only to make up a question
    that would cost as much again later.
    """
    fewest = _fewest(inquiry)
    picked: list[str] = []
    likely: float = 0
    for seat in ranked[: _most(inquiry.advice)]:
        fits = inquiry.fit(seat, is_empty)
        if len(picked) >= fewest and (likely >= missing or not fits):
            break
        picked.append(seat.boot)
        is_approved = seat.boot in inquiry.tickets.approved
        chance = 1 if is_approved else inquiry.share
        likely += chance * fits
    return tuple(picked)


def _fewest(inquiry: Inquiry) -> int:
    """How many are named at least: twice as many while none was approved."""
    if inquiry.tickets.approved:
        return 1
    advice = inquiry.advice
    if advice.per_worker_ms:
        worth = int(_WORTH * advice.decision_ms / advice.per_worker_ms)
    else:
        worth = _MOST_FIRST
    first = min(max(worth, _FEWEST), _MOST_FIRST)
    return max(first, len(inquiry.tickets.denied))


def _most(advice: AdviceTiming) -> int:
    if not advice.per_worker_ms or not advice.valid_ms:
        return _MOST
    longest_ms = _PART_OF_VALID * advice.valid_ms - advice.decision_ms
    return max(_FEWEST, min(_MOST, int(longest_ms / advice.per_worker_ms)))


def _rank(inquiry: Inquiry, seat: Seat) -> tuple[float, ...]:
    """Order workers as the placement would, steps apart from each other."""
    step, worker = inquiry.run.step, seat.worker
    free_class = math.ceil(
        _FREE_CLASSES * seat.free.cpu_millis / max(1, seat.room.cpu_millis),
    )
    rack = 0
    if step.rack:
        rack = int(worker.rack != step.rack)
    elif step.is_local:
        # Members of one step are asked for on one rack after the other.
        rack = _mix(inquiry.name, worker.rack)
    return (
        int(not inquiry.fit(seat, is_empty=False)),
        rack,
        int(seat.boot not in inquiry.tickets.approved),
        -free_class,
        _mix(inquiry.name, seat.boot),
    )


def _mix(step: str, place: str) -> int:
    return zlib.crc32(f'{step} {place}'.encode())


def _times(size: Size, room: Size) -> int:
    """How many times a size goes into a room."""
    pairs = (
        (size.cpu_millis, room.cpu_millis),
        (size.memory_mb, room.memory_mb),
        (size.accelerators, room.accelerators),
    )
    return min((has // asks for asks, has in pairs if asks), default=_MOST)
