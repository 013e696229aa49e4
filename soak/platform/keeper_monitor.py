"""Checks that long-running tasks (keepers) restart in time.

A task is missed if it does not run for 3 s, counted from 6 s after its last
run on. These 3 s and the 4 s before them must be without disturbances, and
there must be free capacity for two such tasks.
"""

from dataclasses import dataclass

from twisted.internet import reactor

from hyssopring.jobs.model import Size
from soak.platform.callers import tasks_of

MISSED_S = 3
AFTER_RUN_S = 6
STABLE_BEFORE_S = 4
# A task of a lost VM may run there until the VM's grant has surely expired:
# this long after the loss if all former owners are known to have crashed, and
# longer if a silent former owner may still renew the grant.
GRANT_S = 8.4
UNCONFIRMED_GRANT_S = 18.4


@dataclass
class LastRun:
    """The last run of a task: its worker, and when it last ran, in s."""

    worker: str
    seen_at: float


class KeeperMonitor:
    """Checks all keepers; call ``check`` several times a second.

    Attributes:
        longest_s: The longest times for which tasks were missed: 'away' for
            tasks whose last run was on a lost VM, 'elsewhere' for others.
        missed: One line for each time that a task was missed too long.
        waits_s: The longest waits of tasks without disturbances, likewise.
        calm_s: The total time in which a task could have been missed.
    """

    def __init__(self, world, callers, stability):
        self.world = world
        self.run_recorder = world.run_recorder
        self.callers = callers
        self.stability = stability
        self.last_by_task = {}
        self.no_capacity_at = {}
        self.read_starts = 0
        self.owner = ''
        self.owned_since = 0
        self.longest_s = {'away': 0, 'elsewhere': 0}
        self.waits_s = {'away': 0, 'elsewhere': 0}
        self.calm_s = 0
        self.checked_at = reactor.seconds()
        self.reported = set()
        self.missed = []

    def check(self):
        """Update the figures and record the tasks that are missed now."""
        now_s = reactor.seconds()
        self._read_starts()
        self._check_owner(now_s)
        if now_s - self.stability.since > STABLE_BEFORE_S + MISSED_S:
            self.calm_s += now_s - self.checked_at
        self.checked_at = now_s
        free = [self._free(worker) for worker in self._schedulable_workers()]
        for job_id in self.callers.accepted:
            job = self.callers.jobs[job_id]
            if job.is_keeper:
                self._check_job(now_s, job, free)

    def _read_starts(self):
        for at, worker, task, _number in self.run_recorder.starts[
            self.read_starts :
        ]:
            self.last_by_task[task] = LastRun(worker, at)
        self.read_starts = len(self.run_recorder.starts)

    def _check_owner(self, now_s):
        row = self.world.owner_row()
        if row is not None and row.text != self.owner:
            self.owner, self.owned_since = row.text, now_s

    def _check_job(self, now_s, job, free):
        size = self.run_recorder.sizes[job.job_id]
        has_capacity = sum(_fit_count(size, capacity) for capacity in free) >= 2
        for task in tasks_of(job):
            last = self.last_by_task.setdefault(task, LastRun('', now_s))
            if not has_capacity:
                self.no_capacity_at[task] = now_s
            if self.run_recorder.running.get(task):
                last.seen_at = now_s
                self.reported.discard(task)
            else:
                self._check_task(now_s, task, last)

    def _check_task(self, now_s, task, last):
        lost_at = self._lost_at(last.worker)
        place = 'elsewhere' if lost_at is None else 'away'
        due_at = max(
            last.seen_at + AFTER_RUN_S,
            self.stability.since + STABLE_BEFORE_S,
            self.no_capacity_at.get(task, 0),
        )
        if lost_at is not None:
            due_at = max(due_at, lost_at + self._grant_s(lost_at))
        missed_s = now_s - due_at
        waiting_since = max(last.seen_at, self.stability.since)
        self.longest_s[place] = max(self.longest_s[place], missed_s)
        self.waits_s[place] = max(self.waits_s[place], now_s - waiting_since)
        if missed_s > MISSED_S and task not in self.reported:
            self.reported.add(task)
            self.missed.append(self._line(now_s, task, last, place, lost_at))

    def _line(self, now_s, task, last, place, lost_at):
        away = sorted(
            name
            for name in self.world.agents
            if self._lost_at(name) is not None
        )
        lost = '' if lost_at is None else f', lost for {now_s - lost_at:.1f} s'
        return (
            f'{now_s:.3f} {place}: {task} does not run for '
            f'{now_s - last.seen_at:.1f} s, '
            f'last on {last.worker or "none"}{lost}; '
            f'calm for {now_s - self.stability.since:.1f} s, '
            f'before it: {self.stability.why}; '
            f'owner {self.world.owner()} for {now_s - self.owned_since:.1f} s, '
            f'away {away}'
        )

    def _lost_at(self, name):
        """Return when a VM or its agent was lost, None if it was not."""
        if name in self.world.departed:
            return None
        program = self.world.programs.get(name)
        if program is None or program.is_alive or not program.starts:
            return None
        return program.down_at

    def _grant_s(self, lost_at):
        """Return the remaining s of the last grant of a VM lost at a time."""
        entries = [*self.world.fronts, *self.world.replaced_at]
        for name in entries:
            program = self.world.programs[name]
            may_have_granted = program.down_at > lost_at - UNCONFIRMED_GRANT_S
            if not program.is_up and may_have_granted:
                return UNCONFIRMED_GRANT_S
        return GRANT_S

    def _schedulable_workers(self):
        for name, worker in self.world.workers.items():
            is_up = self.world.programs[name].is_up
            is_unavailable = (
                worker.is_unresponsive or worker.is_down or worker.is_gone
            )
            if is_up and not is_unavailable and not worker.is_leaving:
                yield worker

    def _free(self, worker):
        used = Size()
        for run in worker.runs.values():
            used = used.plus(self.run_recorder.sizes[run.task.split('.')[0]])
        return worker.room.minus(used)


def _fit_count(size, free):
    """Return how many tasks of a size fit into a free capacity."""
    return min(
        free.cpu_millis // size.cpu_millis, free.memory_mb // size.memory_mb
    )
