"""Asks in time which workers may run the steps of the owned shards.

One question at a time, for the most urgent step first. Tickets are kept in
memory only: the next owner of a shard asks anew.
"""

from dataclasses import replace
from typing import Any, Callable, Final, Iterator, Mapping

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.advice_choice import Inquiry, Seat, whom_to_ask
from hyssopring.jobs.advice_client import (
    AdviceClient,
    AdviceUnavailable,
    AdviceAnswer,
    AdviceQuery,
)
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.model import AdviceTiming, TaskName
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.tickets import StepTickets, Ticket
from hyssopring.jobs.urgency import Urgency, urgency
from hyssopring.logs import Event, log_event

__all__ = ('TicketManager',)

# A ticket is not used in its last part: its start is still to reach the
# worker, and is repeated there until it is answered.
_MARGIN_MS: Final = 250.0
_MARGIN_PART: Final = 0.1
# Tickets are asked for again so long before they run out.
_RENEWED_PART: Final = 0.3
# After a question without an answer nothing is asked for this long, twice as
# long each time, and nothing for the same step for twice that.
_FIRST_PAUSE_MS: Final = 100.0
_MAX_PAUSE_MS: Final = 1600.0
# The share of workers that may run a step, before anything is known, and how
# fast what was answered replaces it.
_FIRST_SHARE: Final = 0.5
_LEARNED: Final = 0.2
_LEAST_SHARE: Final = 0.05
# Which steps of a priority come first.
_NO_TICKET: Final = 0
_FEW_TICKETS: Final = 1
_AHEAD: Final = 2

_Order = tuple[int, int, Urgency]


class TicketManager:
    """Keeps tickets for the steps that need them.

    Attributes:
        on_tickets: Called when tickets came.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        port: AdviceClient,
        fleet: Fleet,
        shards: OwnedShards,
        may_act: Callable[[], bool],
        wall_ms: Callable[[], float],
    ) -> None:
        """Ask by ``port`` while ``may_act`` says that this owner may."""
        self._reactor = reactor
        self._clock = clock
        self._port = port
        self._fleet = fleet
        self._shards = shards
        self._may_act = may_act
        self._wall_ms = wall_ms
        self.on_tickets: Callable[[], None] = _nothing
        self._tickets_by_step: dict[str, StepTickets] = {}
        self._share_by_queue: dict[str, float] = {}
        self._is_asking = False
        self._is_look_due = False
        self._paused_until: float = 0
        self._pause_ms = _FIRST_PAUSE_MS

    def permitted(
        self,
        record: JobRecord,
        run: StepRun,
    ) -> Mapping[str, str] | None:
        """Return tickets by the boots that may run a step, None for any."""
        if record.job.queue.advice is None:
            return None
        tickets = self._tickets_by_step.get(_step_name(record, run))
        return tickets.lasting(self._clock.now()) if tickets else {}

    def permitted_for(self, name: TaskName) -> Mapping[str, str] | None:
        """See ``permitted``; for a task that runs."""
        tickets = self._tickets_by_step.get(_step_of(name))
        return tickets.lasting(self._clock.now()) if tickets else None

    def record_rejection(self, name: TaskName, boot: str) -> None:
        """A worker has not taken the ticket that a start came with."""
        tickets = self._tickets_by_step.get(_step_of(name))
        if tickets is not None:
            tickets.rejected(boot, self._clock.now())

    def look_soon(self) -> None:
        """Look once for all that happens in this turn of the reactor."""
        if not self._is_look_due:
            self._is_look_due = True
            self._reactor.callLater(0, self.check)

    def check(self) -> None:
        """Ask what is most urgent, unless a question is under way."""
        self._is_look_due = False
        records = [
            record
            for record in self._shards.live_jobs()
            if record.job.queue.advice is not None
        ]
        self._forget(records)
        now = self._clock.now()
        is_held = self._is_asking or now < self._paused_until
        if records and not is_held and self._may_act():
            self._ask_first(records, now)

    def _forget(self, records: list[JobRecord]) -> None:
        """Forget ended steps, lost shards and former lives of workers."""
        if not self._tickets_by_step:
            return
        steps = {
            _step_name(record, run)
            for record in records
            for run in record.step_runs.values()
            if not run.is_done
        }
        boots = {worker.boot for worker in self._fleet.by_agent.values()}
        for step in list(self._tickets_by_step):
            if step in steps:
                self._tickets_by_step[step].keep(boots)
            else:
                self._tickets_by_step.pop(step)

    def _ask_first(self, records: list[JobRecord], now: float) -> None:
        seats = [
            Seat.from_worker(worker)
            for worker in self._fleet.schedulable_workers()
        ]
        inquiries = [
            inquiry
            for record in records
            for inquiry in self._inquiries(record, now)
        ]
        inquiries.sort(key=self._order)
        for inquiry in inquiries:
            boots = whom_to_ask(inquiry, seats, now)
            if boots:
                self._ask(inquiry, boots)
                return

    def _inquiries(self, record: JobRecord, now: float) -> Iterator[Inquiry]:
        """The steps of a job whose turn has come or comes next."""
        in_turn = {run.name for run in record.open_runs()}
        for run in record.step_runs.values():
            if run.is_done:
                continue
            name = _step_name(record, run)
            tickets = self._tickets_by_step.setdefault(name, StepTickets())
            inquiry = self._inquiry(record, run, tickets, run.name in in_turn)
            if run.waiting and _is_due(inquiry, now):
                yield inquiry

    def _inquiry(
        self,
        record: JobRecord,
        run: StepRun,
        tickets: StepTickets,
        is_in_turn: bool,
    ) -> Inquiry:
        queue = record.job.queue
        assert queue.advice is not None, 'only such jobs are looked at'
        renewed_ms = _RENEWED_PART * queue.advice.valid_ms
        return Inquiry(
            _step_name(record, run),
            record,
            run,
            queue.advice,
            tickets,
            is_in_turn,
            self._clock.now() + renewed_ms,
            self._share_by_queue.get(queue.name, _FIRST_SHARE),
        )

    def _order(self, inquiry: Inquiry) -> _Order:
        rank = _FEW_TICKETS if inquiry.is_in_turn else _AHEAD
        if inquiry.is_in_turn and not inquiry.tickets.lasting(
            self._clock.now(),
        ):
            rank = _NO_TICKET
        urgent = urgency(inquiry.record, inquiry.run, self._wall_ms())
        return urgent.priority, rank, urgent

    def _ask(self, inquiry: Inquiry, boots: tuple[str, ...]) -> None:
        self._is_asking = True
        expected_ms = inquiry.advice.question_ms(len(boots))
        question = AdviceQuery(inquiry.name, boots, expected_ms)
        asking = self._port.ask(question)
        sent_at = self._clock.now()
        asking.addCallbacks(
            self._answered,
            self._unanswered,
            callbackArgs=(question, inquiry, sent_at),
            errbackArgs=(question, inquiry),
        )

    def _answered(
        self,
        advised: AdviceAnswer,
        question: AdviceQuery,
        inquiry: Inquiry,
        sent_at: float,
    ) -> None:
        self._is_asking = False
        self._pause_ms = _FIRST_PAUSE_MS
        until = self._good_until(advised, inquiry.advice, question, sent_at)
        tickets = {
            boot: Ticket(text, until)
            for boot, text in advised.ticket_by_boot.items()
        }
        approved = sum(boot in tickets for boot in question.boots)
        log_event(
            Event.ADVICE_GIVEN,
            step=question.step,
            asked=len(question.boots),
            approved=approved,
            took_ms=int(self._clock.now() - sent_at),
        )
        # A step that was forgotten meanwhile has no use for the answer.
        inquiry.tickets.answered(question.boots, tickets)
        queue = inquiry.record.job.queue.name
        share = approved / len(question.boots)
        learned = inquiry.share + _LEARNED * (share - inquiry.share)
        self._share_by_queue[queue] = max(_LEAST_SHARE, learned)
        self.on_tickets()
        self.look_soon()

    def _good_until(
        self,
        advised: AdviceAnswer,
        advice: AdviceTiming,
        question: AdviceQuery,
        sent_at: float,
    ) -> float:
        """Count from the sending: an answer may have been under way for long.

        Where questions take most of a ticket's time, that would leave none,
        and it is counted from the answer.
        """
        if advised.valid_ms:
            advice = replace(advice, valid_ms=advised.valid_ms)
        valid_ms = advice.valid_ms
        is_short = question.expected_ms < valid_ms / 2
        begun_at = sent_at if is_short else self._clock.now()
        margin_ms = _MARGIN_MS + _MARGIN_PART * valid_ms
        return begun_at + valid_ms - min(margin_ms, valid_ms / 2)

    def _unanswered(
        self,
        failure: TwistedFailure,
        question: AdviceQuery,
        inquiry: Inquiry,
    ) -> None:
        failure.trap(AdviceUnavailable)
        self._is_asking = False
        now = self._clock.now()
        log_event(
            Event.ADVICE_UNAVAILABLE,
            step=question.step,
            asked=len(question.boots),
            detail=str(failure.value),
            pause_ms=int(self._pause_ms),
        )
        self._paused_until = now + self._pause_ms
        # Asked next for another step: it may be this question that fails.
        inquiry.tickets.retry_at = now + 2 * self._pause_ms
        self._pause_ms = min(2 * self._pause_ms, _MAX_PAUSE_MS)


def _step_name(record: JobRecord, run: StepRun) -> str:
    return f'{record.job.job_id}.{run.name}'


def _step_of(name: TaskName) -> str:
    return f'{name.job_id}.{name.occurrence}.{name.step}'


def _is_due(inquiry: Inquiry, now: float) -> bool:
    if now < inquiry.tickets.retry_at:
        return False
    return inquiry.is_in_turn or _comes_next(inquiry, now)


def _comes_next(inquiry: Inquiry, now: float) -> bool:
    """Whether a step's turn comes soon, by the estimates of those before it.

    Asked earlier its tickets would run out before they are used.
    """
    run, tickets = inquiry.run, inquiry.tickets
    before = [
        inquiry.record.step_runs[f'{run.occurrence}.{number}']
        for number in run.step.after
    ]
    if any(earlier.waiting for earlier in before):
        tickets.followed_since = None
        return False
    if tickets.followed_since is None:
        tickets.followed_since = now
    estimate_ms = max(
        (each.step.estimate_ms for each in before if not each.is_done),
        default=0,
    )
    ahead_ms = inquiry.advice.valid_ms / 2
    return now - tickets.followed_since >= estimate_ms - ahead_ms


def _nothing() -> None:
    """Nobody waits for tickets."""
