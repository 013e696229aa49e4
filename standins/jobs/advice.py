"""A simulated platform advice service in virtual time.

It handles one query at a time per calling machine and rejects queries when 32
are pending. Its decision for a step and an incarnation of a worker does not
change, but each answer contains new tickets.
"""

import itertools
from collections import defaultdict, deque

from twisted.internet.defer import Deferred

from hyssopring.jobs.advice_client import AdviceAnswer, AdviceUnavailable

LINK_S = 0.001
MAX_WAITING = 32
MILLIS = 1000
PATIENCE = 2
TIMEOUT_MS = 600


class SimAdvice:
    """The service, with fault injection.

    Attributes:
        allows: Returns whether the worker of a name may run a step.
        refuses: A status with which it rejects all queries, 0 for none.
        is_silent: It accepts queries but does not answer them.
        late_s: Additional delay of its answers.
        names_former: It also approves the former incarnation of each worker.
        voids: Tickets are expired when they are issued.
        questions: All accepted queries, as (time, caller, query).
    """

    def __init__(self, reactor, decision_ms=50, per_worker_ms=5, valid_ms=3000):
        self.reactor = reactor
        self.decision_ms = decision_ms
        self.per_worker_ms = per_worker_ms
        self.valid_ms = valid_ms
        self.allows = lambda step, worker: True
        self.refuses = 0
        self.is_silent = False
        self.late_s = 0
        self.names_former = False
        self.voids = False
        self.questions = []
        self.refused = []
        self.most_at_once = 0
        self.rejected_starts = []
        self._waiting = defaultdict(deque)
        self._busy = set()
        self._numbers = itertools.count(1)
        self._tickets = {}

    def accepts(self, task, boot, ticket):
        """Return whether a worker may start a task with this ticket."""
        step = task.rpartition('.')[0]
        until = self._tickets.get((step, boot, ticket), 0)
        if self.reactor.seconds() < until:
            return True
        self.rejected_starts.append(
            (self.reactor.seconds(), task, boot, ticket)
        )
        return False

    def take(self, caller, query, answer):
        """Accept or reject a query."""
        now = self.reactor.seconds()
        if self.refuses or len(self._waiting[caller]) >= MAX_WAITING:
            self.refused.append((now, caller, query))
            answer(self.refuses or 429, None)
            return
        self.questions.append((now, caller, query))
        self._waiting[caller].append((query, answer))
        at_once = len(self._waiting[caller]) + (caller in self._busy)
        self.most_at_once = max(self.most_at_once, at_once)
        self._next(caller)

    def _next(self, caller):
        if caller in self._busy or not self._waiting[caller]:
            return
        self._busy.add(caller)
        query, answer = self._waiting[caller].popleft()
        took_ms = self.decision_ms + self.per_worker_ms * len(query.boots)
        self.reactor.callLater(
            took_ms / MILLIS + self.late_s,
            self._decide,
            caller,
            query,
            answer,
        )

    def _decide(self, caller, query, answer):
        self._busy.discard(caller)
        if not self.is_silent:
            answer(200, self._advised(query))
        self._next(caller)

    def _advised(self, query):
        tickets = {}
        for boot in query.boots:
            worker, _dash, number = boot.rpartition('-')
            if self.allows(query.step, worker):
                tickets[boot] = self._ticket(query.step, boot)
                if self.names_former:
                    former = f'{worker}-{int(number) - 1}'
                    tickets[former] = self._ticket(query.step, former)
        return AdviceAnswer(tickets, self.valid_ms)

    def _ticket(self, step, boot):
        text = f't-{next(self._numbers)}'
        valid_s = 0 if self.voids else self.valid_ms / MILLIS
        self._tickets[step, boot, text] = self.reactor.seconds() + valid_s
        return text


class AdviceLink:
    """One machine's queries; a dead or frozen process gets no answer."""

    def __init__(self, service, caller, process_reactor):
        self.service = service
        self.caller = caller
        self.process_reactor = process_reactor

    def ask(self, query):
        result = Deferred()
        later = self.service.reactor.callLater
        limit_ms = PATIENCE * query.expected_ms + TIMEOUT_MS
        limit = later(limit_ms / MILLIS, self._time_out, result)

        def answered(status, advised):
            later(LINK_S, self._deliver, result, limit, status, advised)

        later(LINK_S, self.service.take, self.caller, query, answered)
        return result

    def _deliver(self, result, limit, status, advised):
        if not limit.active():
            return
        limit.cancel()
        if advised is None:
            self._fail(result, f'the service answered {status}')
        else:
            self.process_reactor.run(result.callback, advised)

    def _time_out(self, result):
        self._fail(result, 'no answer in time')

    def _fail(self, result, reason):
        self.process_reactor.run(result.errback, AdviceUnavailable(reason))
