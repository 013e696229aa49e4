"""Whether a submitted job is accepted."""

import enum
from dataclasses import dataclass
from typing import Final

from hyssopring.admission.demand import JobDemand
from hyssopring.admission.messages import QueueOutlookNotice
from hyssopring.admission.prediction import Prediction, is_waiting, predict
from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.jobs.scheduling_options import AdmissionOptions

__all__ = ('Decision', 'Knowledge', 'Reason', 'decide')

# A job that returns at the time that it was told is rejected only if it would
# end later than this many times the limit. The wrong prediction was ours.
_FAR_WORSE: Final = 2


class Reason(enum.Enum):
    """Why a job is accepted or rejected.

    MAY_BE_STORED: An entry tries, or has tried, to store the job.
    NO_OUTLOOK: Nothing is known of an owner.
    NOTHING_WAITS: All ready tasks have found a worker.
    STALE: The outlook is too old.
    NO_OBJECTIVE: The job's queue states none.
    NO_RATE: Nothing is known about the rate at which work ends.
    IN_TIME: The job can end before its limit.
    RETURNED: It was rejected before, and returned at the time that was named.
    TOO_LATE: It would end after its limit.
    FAR_WORSE: It returned in time, and would end far too late nevertheless.
    """

    MAY_BE_STORED = 'may-be-stored'
    NO_OUTLOOK = 'no-outlook'
    NOTHING_WAITS = 'nothing-waits'
    STALE = 'stale'
    NO_OBJECTIVE = 'no-objective'
    NO_RATE = 'no-rate'
    IN_TIME = 'in-time'
    RETURNED = 'returned'
    TOO_LATE = 'too-late'
    FAR_WORSE = 'far-worse'


_REJECTIONS: Final = frozenset((Reason.TOO_LATE, Reason.FAR_WORSE))


@dataclass(frozen=True, slots=True)
class Knowledge:
    """What an entry knows when a job is submitted.

    Attributes:
        notice: The newest outlook, None if there is none.
        age_ms: The time since it arrived.
        accepted_work: Work ahead of the job that was accepted since then.
        reserved_work: Work of jobs that are about to return.
        has_returned: Whether the job was rejected before, and returned at the
            time that it was told.
        may_be_stored: Whether an entry tries, or has tried, to store the job.
    """

    notice: QueueOutlookNotice | None
    age_ms: float
    accepted_work: float = 0
    reserved_work: float = 0
    has_returned: bool = False
    may_be_stored: bool = False


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision with its reason.

    Attributes:
        limit_ms: The longest duration for which the job is accepted.
        prediction: The job's predicted end, None if it was not needed.
        reserved_work: The part of the work ahead that is only reserved.
    """

    reason: Reason
    limit_ms: float = 0
    prediction: Prediction | None = None
    reserved_work: float = 0

    @property
    def is_rejection(self) -> bool:
        """Whether the job is rejected."""
        return self.reason in _REJECTIONS

    @property
    def excess_work(self) -> float:
        """The work in core-ms that must end before the job is in time."""
        if self.prediction is None:
            return 0
        excess_ms = max(0, self.prediction.duration_ms - self.limit_ms)
        return excess_ms * self.prediction.rate_millis / MILLIS_PER_SECOND


def decide(
    demand: JobDemand, knowledge: Knowledge, options: AdmissionOptions
) -> Decision:
    """Decide about a job that runs once and has no keepers."""
    if knowledge.may_be_stored:
        return Decision(Reason.MAY_BE_STORED)
    notice = knowledge.notice
    if notice is None:
        return Decision(Reason.NO_OUTLOOK)
    if not is_waiting(notice, demand):
        return Decision(Reason.NOTHING_WAITS)
    if knowledge.age_ms > options.max_outlook_age_ms:
        return Decision(Reason.STALE)
    return _decide_by_prediction(notice, demand, knowledge, options)


def _decide_by_prediction(
    notice: QueueOutlookNotice,
    demand: JobDemand,
    knowledge: Knowledge,
    options: AdmissionOptions,
) -> Decision:
    if not demand.objective_ms:
        return Decision(Reason.NO_OBJECTIVE)
    # Jobs that return at their time go before new ones.
    reserved_work = 0 if knowledge.has_returned else knowledge.reserved_work
    prediction = predict(
        notice, demand, knowledge.accepted_work + reserved_work
    )
    if prediction is None:
        return Decision(Reason.NO_RATE)
    # A job that takes longer than its objective even alone is not rejected
    # for its size, but for what is ahead of it.
    limit_ms = options.max_objectives * max(
        demand.objective_ms, prediction.alone_ms
    )
    return Decision(
        _reason(prediction, limit_ms, knowledge.has_returned),
        limit_ms,
        prediction,
        reserved_work,
    )


def _reason(
    prediction: Prediction, limit_ms: float, has_returned: bool
) -> Reason:
    if has_returned:
        is_far_worse = prediction.duration_ms > _FAR_WORSE * limit_ms
        return Reason.FAR_WORSE if is_far_worse else Reason.RETURNED
    if prediction.duration_ms > limit_ms:
        return Reason.TOO_LATE
    return Reason.IN_TIME
