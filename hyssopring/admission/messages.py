"""Messages about waiting work and rejected jobs, between entries."""

from hyssopring.protocol.structs import struct

__all__ = (
    'QueueOutlook',
    'QueueOutlookNotice',
    'RejectionNotice',
    'ServiceOutlook',
)


@struct
class ServiceOutlook:
    """The cores of a service's workers, in thousandths of a core.

    Attributes:
        rate_millis: The work that is expected to end, in core-ms a second.
        running_millis: What running tasks request, without keepers.
        usable_millis: What workers that accept tasks have for such tasks.
    """

    service: str
    rate_millis: int
    running_millis: int
    usable_millis: int


@struct
class QueueOutlook:
    """The work of a queue that is not done.

    Attributes:
        label: Label of the workers that may run it, empty for all workers.
        work: The work in core-ms, without keepers.
        rate_millis: The work that has ended, in core-ms a second.
        jobs: The number of jobs with such work.
        is_waiting: Whether ready tasks found no worker in the last planning
            round.
    """

    queue: str
    service: str
    label: str
    priority: int
    work: int
    rate_millis: int
    jobs: int
    is_waiting: bool


@struct
class QueueOutlookNotice:
    """The owner's outlook on the work of all queues.

    Attributes:
        epoch: The epoch of the sender as owner.
        sequence: Number of the notice; grows within an epoch.
    """

    epoch: int
    sequence: int
    services: list[ServiceOutlook]
    queues: list[QueueOutlook]


@struct
class RejectionNotice:
    """What the sender has answered to the submission of a job.

    Attributes:
        first_asked_ms: When the job was first submitted, in ms since 1970.
        come_back_ms: When it is accepted if submitted again, in ms since
            1970; 0 if it was not rejected.
        service: With the next two: what is reserved for it at that time.
        work: Its work in core-ms.
        may_be_stored: The sender stores the job, which must not be rejected
            from now on.
    """

    job_id: str
    first_asked_ms: int
    come_back_ms: int
    service: str = ''
    priority: int = 0
    work: int = 0
    may_be_stored: bool = False
