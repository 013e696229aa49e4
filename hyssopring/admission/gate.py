"""The decision of an entry about each submitted job."""

import math
from collections import defaultdict
from typing import Any, Callable, Final

from result import Err, Ok, Result
from twisted.internet.defer import inlineCallbacks

from hyssopring.admission.known_outlook import (
    AcceptedWork,
    KnownOutlook,
    StaleLog,
)
from hyssopring.admission.decision import Decision, Knowledge, Reason, decide
from hyssopring.admission.demand import (
    ExpectedMs,
    JobDemand,
    estimate_of,
)
from hyssopring.admission.messages import QueueOutlookNotice, RejectionNotice
from hyssopring.admission.peers import share_with_entries
from hyssopring.admission.rejections import JobAnswers, Rejection
from hyssopring.admission.reservations import MAX_WAIT_MS, Reservations
from hyssopring.admission.stored_jobs import StoredJobs, StoredState
from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.errors import ErrorKind, Failure
from hyssopring.jobs.model import Job
from hyssopring.jobs.relay import RelayPeers
from hyssopring.jobs.rows import RowStore
from hyssopring.jobs.scheduling_options import AdmissionOptions
from hyssopring.logs import Event, log_event

__all__ = ('AdmissionGate',)

_PRUNE_INTERVAL_MS: Final = 5000.0


class AdmissionGate:
    """Accepts or rejects jobs by the owner's outlook.

    Attributes:
        outlook: The owner's newest outlook.
        answers: The answers of all entries to recent submissions.
        expected_ms: Returns the expected run time of a task.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        wall_ms: Callable[[], float],
        store: RowStore,
        peers: RelayPeers,
        options: AdmissionOptions,
    ) -> None:
        """Start without an outlook: everything is accepted."""
        self._clock = clock
        self._wall_ms = wall_ms
        self._peers = peers
        self._options = options
        self.outlook = KnownOutlook(clock)
        self.answers = JobAnswers()
        self.expected_ms: ExpectedMs = estimate_of
        self._stored_jobs = StoredJobs(reactor, clock, store)
        self._accepted_work = AcceptedWork()
        self._stale_log = StaleLog(clock)
        self._reservations_by_service: defaultdict[str, Reservations] = (
            defaultdict(Reservations)
        )
        self._prune_at = clock.now()

    def tick(self) -> None:
        """Remove what has expired; call a few times a second."""
        if self._clock.now() >= self._prune_at:
            self._prune_at = self._clock.now() + _PRUNE_INTERVAL_MS
            self.answers.prune(self._wall_ms())
            for reservations in self._reservations_by_service.values():
                reservations.prune(self._clock.now())

    def handle_outlook(self, notice: QueueOutlookNotice) -> None:
        """Apply an outlook of the owner."""
        if self.outlook.apply(notice):
            self._accepted_work.on_notice(self._clock.now())

    def handle_rejection(self, notice: RejectionNotice) -> None:
        """Record the answer of another entry."""
        if notice.may_be_stored:
            self._record_storing(notice.job_id)
        # A peer whose wall clock is far ahead names a time that never comes.
        ahead_ms = notice.come_back_ms - self._wall_ms()
        if notice.come_back_ms > 0 and ahead_ms <= MAX_WAIT_MS:
            rejection = Rejection.from_notice(notice)
            self._record_rejection(notice.job_id, rejection)

    @property
    def outlook_age_ms(self) -> float:
        """The age of the owner's outlook, 0 while there is none."""
        return self.outlook.age_ms if self.outlook.notice else 0

    @property
    def outlook_work(self) -> int:
        """The work in core-ms of all queues by the owner's outlook."""
        notice = self.outlook.notice
        return sum(queue.work for queue in notice.queues) if notice else 0

    def first_asked_ms(self, job_id: str) -> float:
        """Return when a job that was rejected was first submitted, or 0."""
        rejection = self.answers.rejection_of(job_id, self._wall_ms())
        return rejection.first_asked_ms if rejection else 0

    @inlineCallbacks
    def check(self, job: Job) -> Any:
        """Decide about a submitted job.

        Returns:
            A deferred of the answer to the caller; None if the job is to be
            stored.
        """
        if job.is_keeper or job.schedule.times:
            return None
        demand = JobDemand.from_job(job, self.expected_ms)
        decision = self._decide(job.job_id, demand)
        if decision.is_rejection:
            # Callers submit a job again if an answer was lost. A job that is
            # stored runs, so it must not be answered as not run.
            state = yield self._stored_jobs.find(job.job_id)
            if state is StoredState.STORED:
                return Ok(None)
            if state is StoredState.ABSENT and not self._may_be_stored(job):
                return self._reject(job, demand, decision)
        self._accept(job, demand, decision)
        return None

    def _decide(self, job_id: str, demand: JobDemand) -> Decision:
        wall_ms = self._wall_ms()
        rejection = self.answers.rejection_of(job_id, wall_ms)
        has_returned = rejection is not None and rejection.has_returned(wall_ms)
        reservations = self._reservations_by_service[demand.service]
        knowledge = Knowledge(
            self.outlook.notice,
            self.outlook.age_ms,
            self._accepted_work.ahead_of(demand),
            reservations.due_work(self._clock.now(), demand.priority),
            has_returned,
            self.answers.may_be_stored(job_id, wall_ms),
        )
        return decide(demand, knowledge, self._options)

    def _may_be_stored(self, job: Job) -> bool:
        return self.answers.may_be_stored(job.job_id, self._wall_ms())

    def _accept(self, job: Job, demand: JobDemand, decision: Decision) -> None:
        """Tell all entries that the job may be stored from now on.

        If this entry is lost while it stores the job, its caller submits it to
        another one, where the store may not show it yet.
        """
        if decision.reason is Reason.STALE:
            self._stale_log.record(self.outlook.age_ms)
        if self._record_storing(job.job_id):
            self._accepted_work.add(demand, self._clock.now())
            notice = RejectionNotice(job.job_id, 0, 0, may_be_stored=True)
            share_with_entries(self._peers, notice)

    def _record_storing(self, job_id: str) -> bool:
        """Record that a job may be stored; return False if that was known."""
        wall_ms = self._wall_ms()
        is_new = self.answers.add_storing(job_id, wall_ms)
        rejection = self.answers.rejection_of(job_id, wall_ms)
        if is_new and rejection is not None:
            self._reservations_by_service[rejection.service].release(
                self._clock.now(), rejection.priority, rejection.work
            )
        return is_new

    def _record_rejection(self, job_id: str, rejection: Rejection) -> None:
        """Record a rejection and reserve the room for the job's return."""
        self.answers.add_rejection(job_id, rejection)
        wait_ms = rejection.come_back_ms - self._wall_ms()
        self._reservations_by_service[rejection.service].add(
            self._clock.now() + wait_ms, rejection.priority, rejection.work
        )

    def _reject(
        self, job: Job, demand: JobDemand, decision: Decision
    ) -> Result[None, Failure]:
        wall_ms = self._wall_ms()
        rejection = self.answers.rejection_of(job.job_id, wall_ms)
        if rejection is None or rejection.has_returned(wall_ms):
            first_asked_ms = rejection.first_asked_ms if rejection else wall_ms
            rejection = Rejection(
                first_asked_ms,
                wall_ms + self._wait_ms(demand, decision),
                demand.service,
                demand.priority,
                demand.work,
            )
            self._record_rejection(job.job_id, rejection)
            share_with_entries(self._peers, rejection.to_notice(job.job_id))
        retry_after_ms = math.ceil(rejection.come_back_ms - wall_ms)
        self._log_rejection(job, decision, retry_after_ms)
        detail = f'no room before {retry_after_ms} ms from now'
        return Err(
            Failure(ErrorKind.OVERLOADED_QUEUE, detail, max(1, retry_after_ms))
        )

    def _wait_ms(self, demand: JobDemand, decision: Decision) -> float:
        """Return the time until a rejected job has room, in whole seconds."""
        assert decision.prediction is not None, 'needed for a rejection'
        reservations = self._reservations_by_service[demand.service]
        now_ms, priority = self._clock.now(), demand.priority
        wait_s = reservations.find(
            now_ms,
            max(0, decision.excess_work - decision.reserved_work),
            priority,
            decision.prediction.rate_millis,
        )
        return wait_s * MILLIS_PER_SECOND

    def _log_rejection(
        self, job: Job, decision: Decision, retry_after_ms: int
    ) -> None:
        assert decision.prediction is not None, 'needed for a rejection'
        log_event(
            Event.JOB_REJECTED,
            job=job.job_id,
            queue=job.queue.name,
            why=decision.reason.value,
            outlook_age_ms=int(self.outlook.age_ms),
            work_ahead=int(decision.prediction.work_ahead),
            rate=int(decision.prediction.rate_millis),
            predicted_ms=int(decision.prediction.duration_ms),
            limit_ms=int(decision.limit_ms),
            retry_after_ms=retry_after_ms,
        )
