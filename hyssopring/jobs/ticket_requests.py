"""Selection of the workers for which the advice service is queried.

The service takes one query at a time, and a query takes longer with each worker
that it names. Queries therefore name the few workers on which the tasks would
be placed, and more of them while too few are approved.
"""

import math
import zlib
from dataclasses import dataclass
from functools import partial
from typing import Final, Iterable

from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.model import AdviceTiming, Size, Step
from hyssopring.jobs.tickets import StepTickets

__all__ = ('CandidateWorker', 'TicketRequest', 'workers_to_query')

# A step's first query names at least this many workers, even for one task.
_MIN_FIRST: Final = 4
# A first query names more workers as long as they take at most this share of
# the time that the query takes in any case.
_EXTRA_TIME_SHARE: Final = 0.5
_MAX_FIRST: Final = 15
# Longer queries delay those of more urgent steps.
_MAX_WORKERS: Final = 30
# A query takes at most this share of the validity of its tickets.
_MAX_VALIDITY_SHARE: Final = 0.25
# Workers whose share of free CPU is in the same class rank equal.
_FREE_CPU_CLASSES: Final = 4


@dataclass(frozen=True, slots=True)
class CandidateWorker:
    """A worker that accepts tasks.

    Attributes:
        free: The capacity that no placed attempt takes.
        capacity: The total capacity.
    """

    worker: Worker
    boot: str
    free: Size
    capacity: Size

    @classmethod
    def from_worker(cls, worker: Worker) -> 'CandidateWorker':
        """Take the capacity from a worker's latest report."""
        return cls(worker, worker.boot, worker.free(), worker.capacity)

    def can_run(self, service: str, step: Step) -> bool:
        """Return whether the worker, if empty, could run a task of a step."""
        report = self.worker.report
        if report is None or report.service != service:
            return False
        has_label = not step.label or step.label in report.labels
        return has_label and step.reserved_size.fits_in(self.capacity)


@dataclass(frozen=True, slots=True)
class TicketRequest:
    """A step for which the service may be queried.

    Attributes:
        is_ready: Whether the step's tasks may start now, not only soon.
        renew_before_ms: Tickets that expire before this time are renewed.
        approved_share: The expected share of workers that may run the step.
    """

    step_name: str
    record: JobRecord
    run: StepRun
    timing: AdviceTiming
    tickets: StepTickets
    is_ready: bool
    renew_before_ms: float
    approved_share: float

    def is_possible_on(self, candidate: CandidateWorker) -> bool:
        """Return whether the worker, if empty, could run the step."""
        return candidate.can_run(self.record.job.queue.service, self.run.step)

    def task_count_on(self, candidate: CandidateWorker, is_empty: bool) -> int:
        """Return how many tasks of the step a worker has capacity for.

        Args:
            is_empty: Whether to count as if the worker ran no tasks.
        """
        step = self.run.step
        worker = candidate.worker
        if step.fills and not is_empty:
            return int(
                not worker.best_effort_tasks()
                and not worker.latency_critical_tasks()
            )
        count = _fit_count(
            step.size, candidate.capacity if is_empty else candidate.free
        )
        if step.fills:
            count = max(1, count)
        if step.max_per_worker:
            remaining = step.max_per_worker - self._placed_on(worker)
            count = min(count, remaining)
        return max(0, min(count, step.count))

    def _placed_on(self, worker: Worker) -> int:
        """Count the tasks of the step that are placed on a worker."""
        return sum(
            placed.name.job_id == self.record.job.job_id
            and placed.name.occurrence == self.run.occurrence
            and placed.name.step == self.run.step_index
            for placed in worker.placed_by_task.values()
        )


def workers_to_query(
    request: TicketRequest,
    candidates: Iterable[CandidateWorker],
    now_ms: float,
) -> tuple[str, ...]:
    """Return the incarnations of workers to query, empty if none are needed."""
    valid_tickets = request.tickets.valid_at(request.renew_before_ms)
    possible = [
        candidate
        for candidate in candidates
        if request.is_possible_on(candidate)
    ]
    approved = [
        candidate for candidate in possible if candidate.boot in valid_tickets
    ]
    unknown = [
        candidate
        for candidate in possible
        if candidate.boot not in valid_tickets
        and request.tickets.can_query(candidate.boot, now_ms)
    ]
    # Workers with free capacity come first. If none has any, tickets are
    # obtained in advance for when capacity becomes free.
    selected: tuple[str, ...] = ()
    if request.is_ready:
        selected = _select_missing(request, approved, unknown, is_empty=False)
    return selected or _select_missing(
        request, approved, unknown, is_empty=True
    )


def _select_missing(
    request: TicketRequest,
    approved: list[CandidateWorker],
    unknown: list[CandidateWorker],
    is_empty: bool,
) -> tuple[str, ...]:
    """Select workers for the tasks that approved workers cannot take."""
    missing_count = len(request.run.waiting) - sum(
        request.task_count_on(candidate, is_empty) for candidate in approved
    )
    if missing_count <= 0 or not any(
        request.task_count_on(candidate, is_empty) for candidate in unknown
    ):
        return ()
    return _select(
        request,
        sorted(unknown, key=partial(_rank, request)),
        missing_count,
        is_empty,
    )


def _select(
    request: TicketRequest,
    ranked: list[CandidateWorker],
    missing_count: int,
    is_empty: bool,
) -> tuple[str, ...]:
    """Select workers until enough of them are likely to be approved.

    Workers without capacity are selected only to reach the minimum: naming
    them in a later query would cost as much again.
    """
    min_count = _min_count(request)
    selected: list[str] = []
    expected_count: float = 0
    for candidate in ranked[: _max_count(request.timing)]:
        task_count = request.task_count_on(candidate, is_empty)
        if len(selected) >= min_count and (
            expected_count >= missing_count or not task_count
        ):
            break
        selected.append(candidate.boot)
        is_approved = candidate.boot in request.tickets.approved
        probability = 1 if is_approved else request.approved_share
        expected_count += probability * task_count
    return tuple(selected)


def _min_count(request: TicketRequest) -> int:
    """Return how many workers to name at least.

    The number doubles with each query until one is approved.
    """
    if request.tickets.approved:
        return 1
    timing = request.timing
    if timing.per_worker_ms:
        affordable = int(
            _EXTRA_TIME_SHARE * timing.decision_ms / timing.per_worker_ms
        )
    else:
        affordable = _MAX_FIRST
    first_count = min(max(affordable, _MIN_FIRST), _MAX_FIRST)
    return max(first_count, len(request.tickets.denied))


def _max_count(timing: AdviceTiming) -> int:
    """Return how many workers to name at most."""
    if not timing.per_worker_ms or not timing.valid_ms:
        return _MAX_WORKERS
    max_ms = _MAX_VALIDITY_SHARE * timing.valid_ms - timing.decision_ms
    return max(
        _MIN_FIRST, min(_MAX_WORKERS, int(max_ms / timing.per_worker_ms))
    )


def _rank(
    request: TicketRequest, candidate: CandidateWorker
) -> tuple[float, ...]:
    """Return a sort key that is similar to the order of placement.

    Equal workers are ordered by a hash that differs between steps, so that the
    steps query different workers.
    """
    step, worker = request.run.step, candidate.worker
    free_cpu_class = math.ceil(
        _FREE_CPU_CLASSES
        * candidate.free.cpu_millis
        / max(1, candidate.capacity.cpu_millis),
    )
    rack_rank = 0
    if step.rack:
        rack_rank = int(worker.rack != step.rack)
    elif step.is_local:
        # Query one rack after the other for the tasks of one step.
        rack_rank = _hash(request.step_name, worker.rack)
    return (
        int(not request.task_count_on(candidate, is_empty=False)),
        rack_rank,
        int(candidate.boot not in request.tickets.approved),
        -free_cpu_class,
        _hash(request.step_name, candidate.boot),
    )


def _hash(step_name: str, location: str) -> int:
    return zlib.crc32(f'{step_name} {location}'.encode())


def _fit_count(size: Size, capacity: Size) -> int:
    """Return how many tasks of a size fit into a capacity."""
    pairs = (
        (size.cpu_millis, capacity.cpu_millis),
        (size.memory_mb, capacity.memory_mb),
        (size.accelerators, capacity.accelerators),
    )
    return min(
        (available // required for required, available in pairs if required),
        default=_MAX_WORKERS,
    )
