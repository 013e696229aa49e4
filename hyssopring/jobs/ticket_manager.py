"""Management of the tickets that steps need from the advice service.

One query is in flight at a time, for the most urgent step first. Tickets are
kept in memory only: the next owner of a shard queries again.
"""

from dataclasses import replace
from typing import Any, Callable, Final, Iterator, Mapping

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.advice_client import (
    AdviceAnswer,
    AdviceClient,
    AdviceQuery,
    AdviceUnavailable,
)
from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.job_times import CallerEstimates, JobTimeSource
from hyssopring.jobs.model import AdviceTiming, TaskName
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.ticket_requests import (
    CandidateWorker,
    TicketRequest,
    workers_to_query,
)
from hyssopring.jobs.tickets import StepTickets, Ticket
from hyssopring.jobs.urgency import Urgency, urgency
from hyssopring.logs import Event, log_event

__all__ = ('TicketManager',)

# A ticket is not used at the end of its validity: the start still has to reach
# the worker, and is repeated there until it is answered.
_MARGIN_MS: Final = 250.0
_MARGIN_SHARE: Final = 0.1
# Tickets are renewed this share of their validity before they expire.
_RENEWAL_SHARE: Final = 0.3
# The backoff of all queries after a failed one. It doubles each time, and is
# twice as long for the step that was queried.
_INITIAL_BACKOFF_MS: Final = 100.0
_MAX_BACKOFF_MS: Final = 1600.0
# The share of workers that may run a step: the initial estimate, the weight of
# a new answer, and the lower limit.
_INITIAL_APPROVED_SHARE: Final = 0.5
_ANSWER_WEIGHT: Final = 0.2
_MIN_APPROVED_SHARE: Final = 0.05
# The order of queries for steps of equal priority.
_NO_TICKETS: Final = 0
_SOME_TICKETS: Final = 1
_NOT_READY: Final = 2

_QueryOrder = tuple[int, int, Urgency]


class TicketManager:
    """Obtain tickets for the steps that need them.

    Attributes:
        on_tickets: Called after tickets were received.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        advice_client: AdviceClient,
        fleet: Fleet,
        shards: OwnedShards,
        may_act: Callable[[], bool],
        wall_ms: Callable[[], float],
        job_times: JobTimeSource | None = None,
    ) -> None:
        """Start without tickets.

        Args:
            may_act: Returns whether this owner may start tasks now; no query
                is sent otherwise.
            wall_ms: Returns the milliseconds since 1970.
            job_times: Tells how long steps take; None for the callers'
                estimates.
        """
        self._job_times = job_times or CallerEstimates()
        self._reactor = reactor
        self._clock = clock
        self._advice_client = advice_client
        self._fleet = fleet
        self._shards = shards
        self._may_act = may_act
        self._wall_ms = wall_ms
        self.on_tickets: Callable[[], None] = _ignore_tickets
        self._tickets_by_step: dict[str, StepTickets] = {}
        self._approved_share_by_queue: dict[str, float] = {}
        self._is_query_in_flight = False
        self._is_check_scheduled = False
        self._backoff_until_ms: float = 0
        self._backoff_ms = _INITIAL_BACKOFF_MS

    def valid_tickets(
        self,
        record: JobRecord,
        run: StepRun,
    ) -> Mapping[str, str] | None:
        """Return a step's valid tickets by boot, None if it needs none."""
        if record.job.queue.advice is None:
            return None
        tickets = self._tickets_by_step.get(_step_name(record, run))
        return tickets.valid_at(self._clock.now()) if tickets else {}

    def valid_tickets_for(
        self, task_name: TaskName
    ) -> Mapping[str, str] | None:
        """Return the valid tickets for a task's step, by boot.

        None if no tickets of the step are known.
        """
        tickets = self._tickets_by_step.get(_step_name_of(task_name))
        return tickets.valid_at(self._clock.now()) if tickets else None

    def record_rejection(self, task_name: TaskName, boot: str) -> None:
        """Record that a worker rejected the ticket of a task's start."""
        tickets = self._tickets_by_step.get(_step_name_of(task_name))
        if tickets is not None:
            tickets.record_rejection(boot, self._clock.now())

    def schedule_check(self) -> None:
        """Schedule one check for all calls in this reactor iteration."""
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            self._reactor.callLater(0, self.check)

    def check(self) -> None:
        """Send the most urgent query, unless one is in flight."""
        self._is_check_scheduled = False
        records = [
            record
            for record in self._shards.live_jobs()
            if record.job.queue.advice is not None
        ]
        self._discard_unused(records)
        now_ms = self._clock.now()
        is_blocked = self._is_query_in_flight or now_ms < self._backoff_until_ms
        if records and not is_blocked and self._may_act():
            self._send_first_query(records, now_ms)

    def _discard_unused(self, records: list[JobRecord]) -> None:
        """Discard tickets of ended steps, lost shards and old incarnations."""
        if not self._tickets_by_step:
            return
        step_names = {
            _step_name(record, run)
            for record in records
            for run in record.step_runs.values()
            if not run.is_done
        }
        boots = {worker.boot for worker in self._fleet.by_agent.values()}
        for step_name in list(self._tickets_by_step):
            if step_name in step_names:
                self._tickets_by_step[step_name].retain(boots)
            else:
                self._tickets_by_step.pop(step_name)

    def _send_first_query(
        self, records: list[JobRecord], now_ms: float
    ) -> None:
        candidates = [
            CandidateWorker.from_worker(worker)
            for worker in self._fleet.schedulable_workers()
        ]
        requests = [
            request
            for record in records
            for request in self._due_requests(record, now_ms)
        ]
        requests.sort(key=self._query_order)
        for request in requests:
            boots = workers_to_query(request, candidates, now_ms)
            if boots:
                self._send_query(request, boots)
                return

    def _due_requests(
        self, record: JobRecord, now_ms: float
    ) -> Iterator[TicketRequest]:
        """Yield requests for the steps of a job that start now or next."""
        ready_names = {run.name for run in record.open_runs()}
        for run in record.step_runs.values():
            if run.is_done:
                continue
            step_name = _step_name(record, run)
            tickets = self._tickets_by_step.setdefault(step_name, StepTickets())
            request = self._request(
                record, run, tickets, run.name in ready_names
            )
            if run.waiting and _is_due(request, now_ms):
                yield request

    def _request(
        self,
        record: JobRecord,
        run: StepRun,
        tickets: StepTickets,
        is_ready: bool,
    ) -> TicketRequest:
        queue = record.job.queue
        assert queue.advice is not None, 'only such jobs need tickets'
        renewal_ms = _RENEWAL_SHARE * queue.advice.valid_ms
        return TicketRequest(
            _step_name(record, run),
            record,
            run,
            queue.advice,
            tickets,
            is_ready,
            self._clock.now() + renewal_ms,
            self._approved_share_by_queue.get(
                queue.name, _INITIAL_APPROVED_SHARE
            ),
        )

    def _query_order(self, request: TicketRequest) -> _QueryOrder:
        rank = _SOME_TICKETS if request.is_ready else _NOT_READY
        if request.is_ready and not request.tickets.valid_at(
            self._clock.now(),
        ):
            rank = _NO_TICKETS
        step_urgency = urgency(
            request.record, request.run, self._wall_ms(), self._job_times
        )
        return step_urgency.priority, rank, step_urgency

    def _send_query(
        self, request: TicketRequest, boots: tuple[str, ...]
    ) -> None:
        self._is_query_in_flight = True
        expected_ms = request.timing.query_ms(len(boots))
        query = AdviceQuery(request.step_name, boots, expected_ms)
        pending_answer = self._advice_client.ask(query)
        sent_at_ms = self._clock.now()
        pending_answer.addCallbacks(
            self._record_answer,
            self._back_off,
            callbackArgs=(query, request, sent_at_ms),
            errbackArgs=(query, request),
        )

    def _record_answer(
        self,
        answer: AdviceAnswer,
        query: AdviceQuery,
        request: TicketRequest,
        sent_at_ms: float,
    ) -> None:
        self._is_query_in_flight = False
        self._backoff_ms = _INITIAL_BACKOFF_MS
        until_ms = self._valid_until_ms(
            answer, request.timing, query, sent_at_ms
        )
        ticket_by_boot = {
            boot: Ticket(text, until_ms)
            for boot, text in answer.ticket_by_boot.items()
        }
        approved_count = sum(boot in ticket_by_boot for boot in query.boots)
        log_event(
            Event.ADVICE_GIVEN,
            step=query.step,
            asked=len(query.boots),
            approved=approved_count,
            took_ms=int(self._clock.now() - sent_at_ms),
        )
        # No effect if the step's tickets were discarded in the meantime.
        request.tickets.record_answer(query.boots, ticket_by_boot)
        queue_name = request.record.job.queue.name
        share = approved_count / len(query.boots)
        approved_share = request.approved_share + _ANSWER_WEIGHT * (
            share - request.approved_share
        )
        self._approved_share_by_queue[queue_name] = max(
            _MIN_APPROVED_SHARE, approved_share
        )
        self.on_tickets()
        self.schedule_check()

    def _valid_until_ms(
        self,
        answer: AdviceAnswer,
        timing: AdviceTiming,
        query: AdviceQuery,
        sent_at_ms: float,
    ) -> float:
        """Return when tickets are no longer used.

        Their validity counts from the sending of the query, as the answer may
        have been delayed. If queries take most of the validity, nothing of it
        would remain, and it counts from the answer.
        """
        if answer.valid_ms:
            timing = replace(timing, valid_ms=answer.valid_ms)
        valid_ms = timing.valid_ms
        is_query_short = query.expected_ms < valid_ms / 2
        valid_from_ms = sent_at_ms if is_query_short else self._clock.now()
        margin_ms = _MARGIN_MS + _MARGIN_SHARE * valid_ms
        return valid_from_ms + valid_ms - min(margin_ms, valid_ms / 2)

    def _back_off(
        self,
        failure: TwistedFailure,
        query: AdviceQuery,
        request: TicketRequest,
    ) -> None:
        """Delay further queries after one has failed."""
        failure.trap(AdviceUnavailable)
        self._is_query_in_flight = False
        now_ms = self._clock.now()
        log_event(
            Event.ADVICE_UNAVAILABLE,
            step=query.step,
            asked=len(query.boots),
            detail=str(failure.value),
            pause_ms=int(self._backoff_ms),
        )
        self._backoff_until_ms = now_ms + self._backoff_ms
        # The next query is for another step, as this step may be the cause.
        request.tickets.retry_at_ms = now_ms + 2 * self._backoff_ms
        self._backoff_ms = min(2 * self._backoff_ms, _MAX_BACKOFF_MS)


def _step_name(record: JobRecord, run: StepRun) -> str:
    return f'{record.job.job_id}.{run.name}'


def _step_name_of(task_name: TaskName) -> str:
    return f'{task_name.job_id}.{task_name.occurrence}.{task_name.step}'


def _is_due(request: TicketRequest, now_ms: float) -> bool:
    if now_ms < request.tickets.retry_at_ms:
        return False
    return request.is_ready or _starts_soon(request, now_ms)


def _starts_soon(request: TicketRequest, now_ms: float) -> bool:
    """Return whether a step probably starts while its tickets are valid.

    The estimate is based on the steps before it: all their tasks must run or be
    done. Tickets that are requested earlier would expire unused.
    """
    run, tickets = request.run, request.tickets
    predecessors = [
        request.record.step_runs[f'{run.occurrence}.{step_index}']
        for step_index in run.step.after
    ]
    if any(predecessor.waiting for predecessor in predecessors):
        tickets.predecessors_running_since_ms = None
        return False
    if tickets.predecessors_running_since_ms is None:
        tickets.predecessors_running_since_ms = now_ms
    estimate_ms = max(
        (
            predecessor.step.estimate_ms
            for predecessor in predecessors
            if not predecessor.is_done
        ),
        default=0,
    )
    lead_ms = request.timing.valid_ms / 2
    return (
        now_ms - tickets.predecessors_running_since_ms >= estimate_ms - lead_ms
    )


def _ignore_tickets() -> None:
    """Do nothing: no callback is set."""
