"""A simulated runner whose keepers and best-effort tasks share processors."""

import math
import random
from collections import Counter
from dataclasses import dataclass, replace

from twisted.internet.defer import Deferred

from hyssopring.jobs.model import Size, Step
from hyssopring.jobs.worker_port import StartOutcome, WorkerRow
from standins.jobs.worker import CALL_S, SimWorker

# Times of the platform: measurements cover 500 ms, a pace takes effect after
# 100 ms, and a keeper serves requests 500 ms after its start.
MEASUREMENT_S = 0.5
PACE_DELAY_S = 0.1
KEEPER_START_S = 0.5
FULL_PACE = 100
MILLIS = 1000


@dataclass
class SharedRun:
    """A run that shares its worker's processors.

    Attributes:
        work: Core-seconds that it needs, infinite for a keeper.
        appetite: The share of its request that it uses.
        done: Core-seconds that it has used.
        cores: The cores that it uses now.
        tail_ms: A keeper's tail latency now.
        alone_ms: That tail latency without any best-effort task.
        measured_sum: Sum of the current measurement: thousandths of a core
            times seconds, or for a keeper with a target ms times seconds.
        measurement: The last complete measurement.
    """

    step: Step
    number: int
    begun_at: float
    work: float
    job_id: str
    appetite: float = 1
    done: float = 0
    pace: int = FULL_PACE
    cores: float = 0
    tail_ms: float = 0
    alone_ms: float = 0
    measured_sum: float = 0
    measurement: int = 0

    def is_at_work(self, now):
        return now - self.begun_at >= KEEPER_START_S


@dataclass
class KeeperTimes:
    """Seconds of keepers: serving, over target, over it by interference."""

    at_work: float = 0
    over: float = 0
    harmed: float = 0


class SharedWorker(SimWorker):
    """Runs tasks at their pace and reports tail latencies like the platform.

    Attributes:
        interference: The model of interference between images.
        site: Describes the tasks and accumulates the keepers' times.
        used_core_s: Core-seconds used by best-effort tasks.
    """

    def __init__(self, reactor, name, run_recorder, room, interference, site):
        """Run the tasks that ``site`` describes on the resources ``room``."""
        self.interference = interference
        self.site = site
        self.used_core_s = 0
        self._shared_by_task = {}
        self._pending_polls = []
        self._settled_at = reactor.seconds()
        self._measured_at = reactor.seconds()
        self._random = random.Random(f'worker {name}')
        super().__init__(
            reactor, name, run_recorder, lambda _task: math.inf, room
        )

    def begin(self):
        super().begin()
        self._shared_by_task = {}

    def poll(self, request):
        """Answer a poll when a task has ended, or after its wait time."""
        if self.is_unresponsive or self.slow_s or request.boot != self.boot:
            return super().poll(request)
        answer = Deferred()
        due = self.reactor.seconds() + max(CALL_S, request.wait_ms / MILLIS)
        self._pending_polls.append((due, answer, request))
        return answer

    def settle(self):
        """Advance the tasks by the time since the last call."""
        now = self.reactor.seconds()
        elapsed_s = now - self._settled_at
        self._settled_at = now
        if elapsed_s > 0:
            self._work(now, elapsed_s)
            if now - self._measured_at >= MEASUREMENT_S:
                self._complete_measurements(now)
        super().settle()
        self._answer_polls(now)

    def set_pace(self, boot, fence, task, attempt, percent):
        return self._order(boot, lambda: self._pace(task, attempt, percent))

    def _pace(self, task, attempt, percent):
        shared = self._shared_by_task.get(task)
        if shared is not None and shared.number == attempt:
            self.reactor.callLater(
                PACE_DELAY_S, setattr, shared, 'pace', percent
            )

    def _work(self, now, elapsed_s):
        self._share_cores(now)
        use = Counter()
        for task, run in list(self.runs.items()):
            shared = self._shared_by_task[task]
            if run.stops_at is not None:
                shared.cores = 0
            if shared.step.fills:
                use[shared.step.image] += shared.cores
            shared.done += shared.cores * elapsed_s
            self.used_core_s += shared.cores * elapsed_s * shared.step.fills
            if shared.done >= shared.work:
                run.ends_at = now
        for task in self.runs:
            self._measure(self._shared_by_task[task], use, now, elapsed_s)

    def _share_cores(self, now):
        """Divide the remaining cores among best-effort tasks by request."""
        left = self.room.cpu_millis / MILLIS
        asked = 0
        for shared in self._shared_by_task.values():
            cores = shared.step.size.cpu_millis / MILLIS * shared.appetite
            if shared.step.fills:
                asked += cores * shared.pace / FULL_PACE
                continue
            shared.cores = cores
            if shared.step.target_ms:
                load = self.interference.load_of(
                    shared.step.image, shared.job_id
                )
                shared.cores *= load.at(now)
            left -= shared.cores
        part = min(1, max(0, left) / asked) if asked else 0
        for shared in self._shared_by_task.values():
            if shared.step.fills:
                cores = shared.step.size.cpu_millis / MILLIS * shared.appetite
                shared.cores = cores * shared.pace / FULL_PACE * part

    def _measure(self, shared, use, now, elapsed_s):
        if not shared.step.target_ms:
            shared.measured_sum += shared.cores * elapsed_s * MILLIS
            return
        if not shared.is_at_work(now):
            return
        image, target = shared.step.image, shared.step.target_ms
        shared.tail_ms = self.interference.tail_ms(
            image, use, now, shared.job_id
        )
        shared.alone_ms = self.interference.tail_ms(
            image, {}, now, shared.job_id
        )
        shared.measured_sum += shared.tail_ms * elapsed_s
        times = self.site.times
        times.at_work += elapsed_s
        if shared.tail_ms > target:
            times.over += elapsed_s
            if shared.alone_ms <= target:
                times.harmed += elapsed_s

    def _complete_measurements(self, now):
        elapsed_s = now - self._measured_at
        self._measured_at = now
        for shared in self._shared_by_task.values():
            measurement = shared.measured_sum / elapsed_s
            if shared.step.target_ms:
                measurement *= self._random.gauss(1, self.interference.noise)
            shared.measurement = max(0, round(measurement))
            shared.measured_sum = 0

    def _answer_polls(self, now):
        polls, self._pending_polls = self._pending_polls, []
        for due, answer, request in polls:
            has_news = any(
                end.number > request.acked_through for end in self.ends
            )
            if now >= due or has_news:
                self._answer(
                    answer,
                    request.boot,
                    lambda request=request: self._poll(request),
                )
            else:
                self._pending_polls.append((due, answer, request))

    def _poll(self, request):
        listing = super()._poll(request)
        rows = tuple(self._row(row) for row in listing.rows)
        return replace(listing, rows=rows)

    def _row(self, row):
        shared = self._shared_by_task[row.task]
        percent = FULL_PACE
        if not shared.step.is_keeper:
            percent = int(FULL_PACE * shared.done / shared.work)
        return WorkerRow(
            row.task,
            row.attempt,
            self._checkpoint(shared),
            min(FULL_PACE, percent),
            shared.measurement,
        )

    @staticmethod
    def _checkpoint(shared):
        """Return the checkpoint, which contains the core-seconds done."""
        return f'{shared.done:.3f}' if shared.step.saves else ''

    def _start(self, start):
        outcome = super()._start(start)
        if (
            outcome is not StartOutcome.STARTED
            or start.task in self._shared_by_task
        ):
            return outcome
        step = self.site.step_of(start.task)
        work, appetite = math.inf, 1
        if not step.is_keeper:
            appetite = self.site.appetite(start.task) if step.fills else 1
            cores = step.size.cpu_millis / MILLIS * appetite
            work = self.site.work_s(start.task) * cores
        self._shared_by_task[start.task] = SharedRun(
            step,
            start.attempt,
            self.reactor.seconds(),
            work,
            start.task.partition('.')[0],
            appetite,
            float(start.checkpoint or 0),
        )
        return outcome

    def end(self, run, how):
        shared = self._shared_by_task.pop(run.task)
        run.checkpoint = self._checkpoint(shared)
        super().end(run, how)

    def _check_room(self):
        used = Size()
        for shared in self._shared_by_task.values():
            used = used.plus(shared.step.reserved_size)
        if not used.fits_in(self.room):
            self.run_recorder.broken.append(
                f'{self.name} is over its room: {used}'
            )
