"""The predicted end of a job, from the owner's outlook."""

from dataclasses import dataclass
from typing import Final

from hyssopring.admission.demand import JobDemand
from hyssopring.admission.messages import QueueOutlook, QueueOutlookNotice
from hyssopring.clock import MILLIS_PER_SECOND

__all__ = ('Prediction', 'is_waiting', 'predict')

_MIN_RATE_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True)
class Prediction:
    """How long a job that is accepted now takes.

    Attributes:
        work_ahead: The work in core-ms that comes before the job's.
        rate_millis: The work in core-ms that ends a second.
        duration_ms: From now to the end of the job.
        alone_ms: The same without any work ahead.
    """

    work_ahead: float
    rate_millis: float
    duration_ms: float
    alone_ms: float


def is_waiting(notice: QueueOutlookNotice, demand: JobDemand) -> bool:
    """Whether tasks wait for capacity that the job needs as well."""
    return any(queue.is_waiting for queue in _queues_ahead(notice, demand))


def predict(
    notice: QueueOutlookNotice,
    demand: JobDemand,
    unlisted_work: float,
) -> Prediction | None:
    """Predict the end of a job.

    All work of its priority counts, also that of larger and of late jobs. If
    these did not count, they would wait as long as new jobs are accepted.

    Args:
        unlisted_work: Work ahead of the job that the notice does not contain.

    Returns:
        The prediction; None if nothing is known about the rate at which work
        ends.
    """
    rate_millis = _rate_millis(notice, demand)
    if not rate_millis:
        return None
    work_ahead = unlisted_work + sum(
        max(0, queue.work) for queue in _queues_ahead(notice, demand)
    )
    to_ms = MILLIS_PER_SECOND / rate_millis
    return Prediction(
        work_ahead,
        rate_millis,
        max(demand.critical_path_ms, (work_ahead + demand.work) * to_ms),
        max(demand.critical_path_ms, demand.work * to_ms),
    )


def _rate_millis(notice: QueueOutlookNotice, demand: JobDemand) -> float:
    """Return what more urgent queues leave of the service's rate.

    They go on to get new work, but a burst of it may be over soon.
    """
    rate_millis = sum(
        max(0, service.rate_millis)
        for service in notice.services
        if service.service == demand.service
    )
    urgent_rate_by_queue = {
        queue.queue: max(0, queue.rate_millis)
        for queue in notice.queues
        if queue.service == demand.service and queue.priority < demand.priority
    }
    left_millis = rate_millis - sum(urgent_rate_by_queue.values())
    return max(left_millis, _MIN_RATE_SHARE * rate_millis)


def _queues_ahead(
    notice: QueueOutlookNotice, demand: JobDemand
) -> list[QueueOutlook]:
    """Return the queues whose work is not less urgent than the job."""
    return [
        queue
        for queue in notice.queues
        if queue.service == demand.service
        and queue.priority <= demand.priority
        and demand.may_wait_behind(queue.label)
    ]
