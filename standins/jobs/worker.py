"""A simulated platform runner in virtual time, with fault injection."""

import contextlib
import itertools

from twisted.internet.defer import Deferred

from hyssopring.jobs.model import AttemptEnd, Size
from hyssopring.jobs.worker_port import (
    Announcement,
    EndRow,
    Listing,
    StartOutcome,
    WorkerFenced,
    WorkerReplaced,
    WorkerRow,
    WorkerUnreachable,
)
from standins.jobs.run_recorder import Run

CALL_S = 0.001
TIMEOUT_S = 0.4
HOLD_MAX_MS = 10_000
STOP_S = 0.2
# How often a poll that waits looks for ends.
WAIT_S = 0.05
SECOND_MS = 1000
FIRST_CLOCK_MS = 1000
# A listing has this many ends at most, the oldest ones.
ENDS_LISTED = 500
BORN_BASE_MS = 1_700_000_000_000
# Smaller resources are enforced after this time: 3 s and one announcement.
SHRINK_S = 4.5


class SimWorker:
    """A runner without admission control: it starts whatever it is asked to.

    Attributes:
        rate: Speed of its monotonic clock.
        labels: The labels that it announces.
        is_unresponsive: It answers no request and keeps running.
        is_gone: It has left permanently and announces nothing any more.
        lose_next: The number of next start, stop and pace requests that are
            carried out but not answered.
        late_s: The delay before these are carried out.
        slow_s: The time that each request takes; it is carried out after half
            of that. The agent waits no longer than its timeout.
        is_unhealthy: It refuses all starts.
        leaves_at: When its VM is removed, None for never.
        kills: Returns whether the worker crashes when it starts a task.
        kill_s: The time from such a start to the crash.
        away_s: The downtime after such a crash.
        can_announce: Whether its announcements reach its agent.
        keeps_id: Each incarnation has the same ID, and all counters restart.
        clocks_ms: The initial clock readings of its incarnations.
        lose_polls: The number of next polls that are carried out but not
            answered.
        answers_when_fenced: It answers a poll even if its fence is too low.
        speed: Its speed relative to other workers.
        shows_progress: Its listings show how far tasks have come; otherwise
            they show 50%.
        ready_s: The time from the start of a keeper's task until it shows 100%.
        load_of: Returns the load that a listing shows for a task.
        announces_born: Whether it announces its start time.
        late_call_count: The number of requests that arrived late.
        late_start_count: The number of starts that were carried out late.
        waits: A poll that may wait is answered when a task ends, or then.
        drops_former_calls: It never carries out late what was sent to an
            earlier incarnation, even under the same ID.
    """

    def __init__(
        self,
        reactor,
        name,
        run_recorder,
        work_ms,
        room=None,
        rate=1,
        keeps_id=False,
    ):
        self.reactor = reactor
        self.name = name
        self.keeps_id = keeps_id
        self.run_recorder = run_recorder
        self.work_ms = work_ms
        self.room = room or Size(16_000, 64_000, 0)
        self.rate = rate
        self.labels = ('a', 'r1')
        self.is_unresponsive = False
        self.is_leaving = False
        self.is_gone = False
        self.lose_next = 0
        self.late_s = 0
        self.slow_s = 0
        self.is_unhealthy = False
        self.leaves_at = None
        self.incarnation_count = 0
        self.sequence = 0
        self.fails = lambda task: False
        self.kills = lambda task: False
        self.kill_s = 0.01
        self.away_s = 3
        self.is_down = False
        # The resources before it shrank, while agents may still rely on them.
        self.kept_room = None
        self.can_announce = True
        self.clocks_ms = itertools.repeat(FIRST_CLOCK_MS)
        self.lose_polls = 0
        self.announces_born = keeps_id
        self.answers_when_fenced = True
        self.fill_tasks = set()
        self.speed = 1
        self.shows_progress = False
        self.ready_s = 0
        self.load_of = lambda task: 0
        self.advice = None
        self.late_call_count = 0
        self.late_start_count = 0
        self.waits = False
        self.drops_former_calls = False
        self.begin()

    def begin(self):
        """Begin a new incarnation."""
        self.incarnation_count += 1
        self.boot = self.name
        if self.keeps_id:
            self.sequence = 0
        else:
            self.boot = f'{self.name}-{self.incarnation_count}'
        self.born_at = self.reactor.seconds()
        self.first_clock_ms = next(self.clocks_ms)
        self.fence = 0
        self.hold_ms = 0
        self.runs = {}
        self.ends = []
        # The runs by the numbers of their ends, since the hold last lapsed.
        self.run_by_end = {}
        self.listed = set()
        self.number = 0
        self.highest_by_task = {}

    def crash(self):
        now = self.reactor.seconds()
        for run in self.runs.values():
            self.run_recorder.ended(now, self, run, 'crash')
        self.runs = {}
        self.begin()

    def set_speed(self, speed):
        """Change the speed of all runs, also of those that have begun."""
        now = self.reactor.seconds()
        for run in self.runs.values():
            run.ends_at = now + (run.ends_at - now) * self.speed / speed
        self.speed = speed

    def percent_of(self, run):
        """Return how far a run has come."""
        if run.task in self.run_recorder.keepers:
            is_ready = self.reactor.seconds() - run.started_at >= self.ready_s
            return 100 if is_ready else 0
        if not self.shows_progress:
            return 50
        left_s = (run.ends_at - self.reactor.seconds()) * self.speed
        return max(0, min(99, int(100 * (1 - left_s / run.work_s))))

    def go_down(self, away_s):
        """Crash, unless it is down, and restart later."""
        if self.is_down:
            return
        self.crash()
        self.is_down = True
        self.reactor.callLater(away_s, self._come_back)

    def _come_back(self):
        self.is_down = False
        self.begin()

    def _crash_if_same(self, task, incarnation_count):
        if incarnation_count == self.incarnation_count:
            self.run_recorder.killed(task, self)
            self.go_down(self.away_s)

    def resize(self, room):
        """Change the resources; smaller ones are enforced some time later."""
        before, self.room = self.room, room
        if not before.fits_in(room):
            self.kept_room = before
            self.reactor.callLater(SHRINK_S, self._enforce_capacity, room)

    def _enforce_capacity(self, room):
        if self.room is room:
            self.kept_room = None

    def stop_all(self):
        """End all runs as stopped."""
        for run in list(self.runs.values()):
            self.end(run, AttemptEnd.STOPPED)

    def fail_all(self):
        """End all runs as failed."""
        for run in list(self.runs.values()):
            self.end(run, AttemptEnd.FAILED)

    def clock_ms(self):
        return (
            int((self.reactor.seconds() - self.born_at) * SECOND_MS * self.rate)
            + self.first_clock_ms
        )

    def born_fields(self):
        """Return the fields of its start time in announcements and listings."""
        if not self.announces_born:
            return {}
        return {'born': BORN_BASE_MS + int(self.born_at * SECOND_MS)}

    def announcement(self):
        self.sequence += 1
        return Announcement(
            self.boot,
            'service',
            self.room,
            self.labels,
            self.is_leaving,
            self._remaining_ms(),
            self.sequence,
            self.clock_ms(),
            self.boot,
        )

    def _remaining_ms(self):
        if self.leaves_at is None:
            return 0
        left_s = self.leaves_at - self.reactor.seconds()
        return max(0, int(left_s * SECOND_MS))

    def poll(self, request):
        timeout_s = request.timeout_ms / SECOND_MS
        if self.lose_polls and not self.is_unresponsive:
            self.lose_polls -= 1
            return self._carry_out_unanswered(
                request.boot, lambda: self._poll(request), timeout_s
            )
        answer = self._call(
            request.boot, lambda: self._poll(request), timeout_s
        )
        if self.waits and request.wait_ms:
            until = self.reactor.seconds() + request.wait_ms / SECOND_MS
            answer.addCallback(self._wait_for_end, request, until)
        return answer

    def _wait_for_end(self, listing, request, until):
        if listing.ends or self.reactor.seconds() >= until:
            return listing
        answer = Deferred()
        self.reactor.callLater(WAIT_S, answer.callback, None)
        answer.addCallback(lambda _waited: self._list_again(request))
        return answer.addCallback(self._wait_for_end, request, until)

    def _list_again(self, request):
        if self.is_down or self.is_unresponsive:
            return self._fail(WorkerUnreachable('reset'), CALL_S)
        if request.boot != self.boot:
            return self._fail(WorkerReplaced(), CALL_S)
        self.settle()
        return self._poll(request)

    def start(self, start):
        return self._order(start.boot, lambda: self._start(start))

    def stop(self, boot, fence, task, attempt):
        return self._order(boot, lambda: self._stop(fence, task, attempt))

    def set_pace(self, boot, fence, task, attempt, percent):
        return self._order(boot, lambda: None)

    def settle(self):
        """End the runs that are due; call before reading the listing."""
        now = self.reactor.seconds()
        if self.hold_ms and self.clock_ms() > self.hold_ms:
            self.run_by_end.clear()
            for run in list(self.runs.values()):
                self.end(run, AttemptEnd.LOST)
        for run in list(self.runs.values()):
            if run.stops_at is not None and run.stops_at <= now:
                self.end(run, AttemptEnd.STOPPED)
            elif run.ends_at <= now:
                failed = self.fails(run.task)
                self.end(run, AttemptEnd.FAILED if failed else AttemptEnd.DONE)

    def _order(self, boot, action):
        if self.lose_next and not self.is_unresponsive:
            self.lose_next -= 1
            return self._carry_out_unanswered(boot, action)
        return self._call(boot, action)

    def _carry_out_unanswered(self, boot, action, timeout_s=TIMEOUT_S):
        self.reactor.callLater(
            self.late_s,
            self._carry_out_if_current,
            boot,
            self.incarnation_count,
            action,
        )
        return self._fail(WorkerUnreachable('lost'), timeout_s)

    def _carry_out_if_current(self, boot, incarnation_count, action):
        is_same = incarnation_count == self.incarnation_count
        if self.drops_former_calls and not is_same:
            return
        if boot == self.boot and not self.is_down:
            self.settle()
            self.late_call_count += bool(self.late_s)
            started = len(self.run_recorder.starts)
            with contextlib.suppress(WorkerUnreachable):
                action()
            self.late_start_count += len(self.run_recorder.starts) - started

    def _call(self, boot, action, timeout_s=TIMEOUT_S):
        if self.is_unresponsive:
            return self._fail(WorkerUnreachable('dark'), TIMEOUT_S)
        if self.is_down:
            return self._fail(WorkerUnreachable('refused'), CALL_S)
        if self.slow_s:
            return self._call_slowly(boot, action, timeout_s)
        if boot != self.boot:
            return self._fail(WorkerReplaced(), CALL_S)
        answer = Deferred()
        self.reactor.callLater(CALL_S, self._answer, answer, boot, action)
        return answer

    def _call_slowly(self, boot, action, timeout_s):
        """Carry out a request late; the caller may have timed out by then."""
        answer = Deferred()
        done = Deferred()
        half_s = self.slow_s / 2
        later = self.reactor.callLater
        if self.slow_s > timeout_s:
            later(timeout_s, answer.errback, WorkerUnreachable('slow'))
            done.addBoth(_ignore)
        else:
            done.addBoth(
                lambda outcome: later(half_s, answer.callback, outcome)
            )
        later(half_s, self._answer, done, boot, action)
        return answer

    def _answer(self, answer, boot, action):
        if self.is_down:
            answer.errback(WorkerUnreachable('reset'))
            return
        if boot != self.boot:
            answer.errback(WorkerReplaced())
            return
        self.settle()
        try:
            outcome = action()
        except WorkerUnreachable as error:
            answer.errback(error)
        else:
            answer.callback(outcome)

    def _fail(self, error, seconds):
        answer = Deferred()
        self.reactor.callLater(seconds, answer.errback, error)
        return answer

    def _hold(self, until_ms):
        if until_ms is not None:
            most = self.clock_ms() + HOLD_MAX_MS
            self.hold_ms = max(self.hold_ms, min(until_ms, most))

    def _poll(self, request):
        if request.fence < self.fence and not self.answers_when_fenced:
            raise WorkerFenced('a higher fence was seen')
        if request.fence >= self.fence:
            self.fence = request.fence
            self._hold(request.hold_until_ms)
            self._acknowledge(request.acked_through)
        rows = tuple(
            WorkerRow(
                run.task,
                run.number,
                run.checkpoint,
                self.percent_of(run),
                self.load_of(run.task),
            )
            for run in self.runs.values()
        )
        ends = tuple(self.ends[:ENDS_LISTED])
        self.listed.update(end.number for end in ends)
        has_more_ends = len(ends) >= ENDS_LISTED
        return Listing(
            self.clock_ms(),
            rows,
            ends,
            not has_more_ends,
            has_more_ends=has_more_ends,
        )

    def _acknowledge(self, recorded):
        for end in self.ends:
            if end.number > recorded:
                continue
            if end.number not in self.listed:
                self.run_recorder.broken.append(
                    f'{self.name}: unread {end} is dropped'
                )
            self.run_recorder.noted(
                end.task,
                end.attempt,
                end.how,
                self.run_by_end.get(end.number),
            )
        self.ends = [end for end in self.ends if end.number > recorded]

    def _start(self, start):
        if start.fence < self.fence:
            return StartOutcome.FENCED
        self.fence = start.fence
        self._hold(start.hold_until_ms)
        known = self.runs.get(start.task)
        if known is not None and known.number == start.attempt:
            return StartOutcome.STARTED
        if start.attempt <= self.highest_by_task.get(start.task, 0):
            return StartOutcome.OLD
        if start.hold_until_ms <= self.clock_ms():
            return StartOutcome.LATE
        if self.is_unhealthy:
            return StartOutcome.UNHEALTHY
        if not self._has_ticket(start):
            return StartOutcome.BAD_TICKET
        self.highest_by_task[start.task] = start.attempt
        work_s = self.work_ms(start.task) / SECOND_MS
        ends_at = self.reactor.seconds() + work_s / self.speed
        run = Run(
            start.task,
            start.attempt,
            ends_at,
            start.checkpoint,
            work_s=work_s,
            started_at=self.reactor.seconds(),
        )
        self.runs[start.task] = run
        self.run_recorder.started(self.reactor.seconds(), self, run)
        self._check_room()
        if self.kills(start.task):
            self.reactor.callLater(
                self.kill_s,
                self._crash_if_same,
                start.task,
                self.incarnation_count,
            )
        return StartOutcome.STARTED

    def _has_ticket(self, start):
        if start.task.split('.')[0] not in self.run_recorder.advised:
            return True
        return self.advice.accepts(start.task, self.boot, start.ticket)

    def _check_room(self):
        used = Size()
        for run in self.runs.values():
            used = used.plus(self.run_recorder.sizes[run.task.split('.')[0]])
        room = self.kept_room or self.room
        if not used.fits_in(room):
            self.run_recorder.broken.append(
                f'{self.name} is over its room: {used}'
            )

    def _stop(self, fence, task, attempt):
        if fence < self.fence:
            raise WorkerFenced('a higher fence was seen')
        highest = self.highest_by_task.get(task, 0)
        self.highest_by_task[task] = max(highest, attempt)
        run = self.runs.get(task)
        if run is not None and run.number <= attempt and run.stops_at is None:
            run.stops_at = self.reactor.seconds() + STOP_S

    def end(self, run, how):
        """End a run and list its end."""
        self.runs.pop(run.task)
        self.number += 1
        self.ends.append(
            EndRow(self.number, run.task, run.number, how, run.checkpoint)
        )
        self.run_by_end[self.number] = run
        self.run_recorder.ended(self.reactor.seconds(), self, run, how)


def _ignore(_outcome):
    """Drop an answer that came after the timeout."""
