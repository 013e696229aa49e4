"""Watches that tasks which last run again: the rule's own bound, all the time.

A task is missed when for 3 s nothing runs of it, from 6 s after its last run
on, if these 3 s and the 4 s before them are calm, with room for it twice over.
"""

from dataclasses import dataclass

from twisted.internet import reactor

from hyssopring.jobs.model import Size
from soak.platform.callers import tasks_of

MISSED_S = 3
AFTER_RUN_S = 6
CALM_BEFORE_S = 4
# What ran on a machine that is lost may run there until the machine's grant is
# surely over: so long after the loss if all former owners are known to be dead,
# and so long where one that is silent may still grant.
GRANT_S = 8.4
DOUBT_S = 18.4


@dataclass
class Last:
    """The last run of a task: where it began, and when it was last seen."""

    worker: str
    seen_at: float


class LastingWatch:
    """Looks at all tasks that last; call ``look`` several times a second.

    Attributes:
        longest_s: How long tasks were missed at the worst, of the 3 s: those
            whose last run was on a machine that is away, and all others.
        missed: One line for each task and time that it was missed too long.
        waits_s: How long tasks waited in calm at the worst, in the same lists.
        calm_s: For how long in all a task could have been missed.
    """

    def __init__(self, world, callers, calm):
        self.world = world
        self.book = world.book
        self.callers = callers
        self.calm = calm
        self.last_by_task = {}
        self.room_since = {}
        self.read_starts = 0
        self.owner = ''
        self.taken_at = 0
        self.longest_s = {'away': 0, 'elsewhere': 0}
        self.waits_s = {'away': 0, 'elsewhere': 0}
        self.calm_s = 0
        self.looked_at = reactor.seconds()
        self.reported = set()
        self.missed = []

    def look(self):
        now = reactor.seconds()
        self._read_starts()
        self._look_at_owner(now)
        if now - self.calm.since > CALM_BEFORE_S + MISSED_S:
            self.calm_s += now - self.looked_at
        self.looked_at = now
        free = [self._free(worker) for worker in self._takers()]
        for job_id in self.callers.accepted:
            job = self.callers.jobs[job_id]
            if job.is_keeper:
                self._look_at_job(now, job, free)

    def _read_starts(self):
        for at, worker, task, _number in self.book.starts[self.read_starts :]:
            self.last_by_task[task] = Last(worker, at)
        self.read_starts = len(self.book.starts)

    def _look_at_owner(self, now):
        row = self.world.owner_row()
        if row is not None and row.text != self.owner:
            self.owner, self.taken_at = row.text, now

    def _look_at_job(self, now, job, free):
        size = self.book.sizes[job.job_id]
        has_room = sum(_times(size, each) for each in free) >= 2
        for task in tasks_of(job):
            last = self.last_by_task.setdefault(task, Last('', now))
            if not has_room:
                self.room_since[task] = now
            if self.book.running.get(task):
                last.seen_at = now
                self.reported.discard(task)
            else:
                self._look_at_task(now, task, last)

    def _look_at_task(self, now, task, last):
        lost_at = self._lost_at(last.worker)
        place = 'elsewhere' if lost_at is None else 'away'
        due_at = max(
            last.seen_at + AFTER_RUN_S,
            self.calm.since + CALM_BEFORE_S,
            self.room_since.get(task, 0),
        )
        if lost_at is not None:
            due_at = max(due_at, lost_at + self._wait_s(lost_at))
        missed_s = now - due_at
        begun = max(last.seen_at, self.calm.since)
        self.longest_s[place] = max(self.longest_s[place], missed_s)
        self.waits_s[place] = max(self.waits_s[place], now - begun)
        if missed_s > MISSED_S and task not in self.reported:
            self.reported.add(task)
            self.missed.append(self._line(now, task, last, place, lost_at))

    def _line(self, now, task, last, place, lost_at):
        away = sorted(
            name
            for name in self.world.agents
            if self._lost_at(name) is not None
        )
        lost = '' if lost_at is None else f', lost for {now - lost_at:.1f} s'
        return (
            f'{now:.3f} {place}: {task} does not run for '
            f'{now - last.seen_at:.1f} s, '
            f'last on {last.worker or "none"}{lost}; '
            f'calm for {now - self.calm.since:.1f} s, '
            f'before it: {self.calm.why}; '
            f'owner {self.world.owner()} for {now - self.taken_at:.1f} s, '
            f'away {away}'
        )

    def _lost_at(self, name):
        """Since when a machine, or its agent alone, is away; else None."""
        program = self.world.programs.get(name)
        if program is None or program.is_alive or not program.starts:
            return None
        return program.down_at

    def _wait_s(self, lost_at):
        """How long the last grant of a machine lost at that time may last."""
        entries = [*self.world.fronts, *self.world.replaced_at]
        for name in entries:
            program = self.world.programs[name]
            was_there = program.down_at > lost_at - DOUBT_S
            if not program.is_up and was_there:
                return DOUBT_S
        return GRANT_S

    def _takers(self):
        for name, worker in self.world.workers.items():
            is_up = self.world.programs[name].is_up
            is_off = worker.is_dark or worker.is_down or worker.is_gone
            if is_up and not is_off and not worker.is_leaving:
                yield worker

    def _free(self, worker):
        used = Size()
        for run in worker.runs.values():
            used = used.plus(self.book.sizes[run.task.split('.')[0]])
        return worker.room.minus(used)


def _times(size, free):
    """How often a size fits."""
    return min(
        free.cpu_millis // size.cpu_millis, free.memory_mb // size.memory_mb
    )
