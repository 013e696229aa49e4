"""Records all runs of tasks in a deployment and checks invariants."""

from dataclasses import dataclass

from hyssopring.jobs.model import AttemptEnd

# The crash budget of a task: after this many crashes it must be started fewer
# than this many times again.
MOST_KILLS = 3


@dataclass
class Run:
    """One run of a task."""

    task: str
    number: int
    ends_at: float
    checkpoint: str
    stops_at: float | None = None
    # How long the whole task takes on a worker of usual speed.
    work_s: float = 0
    started_at: float = 0


class RunRecorder:
    """Records the runs of all workers; violations are added to ``broken``."""

    def __init__(self):
        self.running = {}
        self.noted_done = set()
        self.noted_failed = {}
        # The number of failures that a job permits each task.
        self.most_failures = {}
        self.starts = []
        self.ends = []
        # The number of starts before the end of each run, by the incarnation,
        # the task and the attempt.
        self.start_count_by_run = {}
        # When each task's last run ended, and the name of its worker.
        self.last_run_by_task = {}
        self.sizes = {}
        self.keepers = set()
        # Jobs whose tasks need a ticket to start.
        self.advised = set()
        # Job and step of tasks that may have two attempts at a time, and the
        # highest attempt ordered of each task: so far, and when its last end
        # was noted. A copy's order may still be on its way then.
        self.copyable = set()
        self.copy_count = 0
        self.ordered_by_task = {}
        self.ordered_at_end = {}
        # Times of crashes by the task that caused them.
        self.kills = {}
        self.broken = []

    def started(self, now, worker, run):
        self.starts.append((now, worker.name, run.task, run.number))
        self._check_budget(now, run)
        self._check_failures(run.task)
        holders = self.running.setdefault(run.task, set())
        most = 2 if self.is_copyable(run.task) else 1
        if len(holders) >= most or worker.boot in holders:
            self.broken.append(
                f'{now:.2f} {run.task} runs twice: {holders}, {worker.name}'
            )
        if run.task in self.noted_done and run.task not in self.keepers:
            self._check_start_after_end(now, run)
        self.copy_count += bool(holders)
        holders.add(worker.boot)

    def is_copyable(self, task):
        """Return whether a task may have two attempts at a time."""
        job_id, _occurrence, step, _index = task.split('.')
        return (job_id, step) in self.copyable

    def ordered(self, task, number):
        """Record that an owner has ordered a start."""
        known = self.ordered_by_task.get(task, 0)
        self.ordered_by_task[task] = max(known, number)

    def _check_start_after_end(self, now, run):
        """Check that nothing is ordered after the end was noted."""
        if self._was_on_its_way(run.task, run.number):
            return
        self.broken.append(f'{now:.2f} {run.task} starts though it is done')

    def _was_on_its_way(self, task, number):
        """Return whether a copy was ordered before its task's end was noted."""
        return self.is_copyable(task) and number <= self.ordered_at_end[task]

    def killed(self, task, worker):
        self.kills.setdefault(task, []).append(worker.reactor.seconds())

    def _check_budget(self, now, run):
        kills = self.kills.get(run.task, ())
        if len(kills) < MOST_KILLS:
            return
        later = [
            at
            for at, _worker, task, _number in self.starts
            if task == run.task and at > kills[MOST_KILLS - 1]
        ]
        if len(later) >= MOST_KILLS:
            self.broken.append(
                f'{now:.2f} {run.task} starts a third time after '
                f'{MOST_KILLS} workers have crashed under it'
            )

    def ended(self, now, worker, run, how):
        self.running[run.task].discard(worker.boot)
        self.ends.append((now, run.task, run.number, how))
        ended_run = (worker.boot, run.task, run.number)
        self.start_count_by_run[ended_run] = len(self.starts)
        self.last_run_by_task[run.task] = (now, worker.name)

    def noted(self, task, number, how):
        """Record that an end was acknowledged."""
        if how is AttemptEnd.DONE:
            self.noted_done.add(task)
            self._note_orders(task)
        elif how is AttemptEnd.FAILED:
            self.noted_failed.setdefault(task, set()).add(number)
            self._check_failures(task)

    def check_later_starts(self, worker, end):
        """Check that a task has not started since an end that is noted now.

        Args:
            worker: The worker whose lease has not lapsed since the end.
        """
        if end.how is not AttemptEnd.DONE or self.is_copyable(end.task):
            return
        ended_run = (worker.boot, end.task, end.attempt)
        for at, name, task, _number in self.starts[
            self.start_count_by_run[ended_run] :
        ]:
            if task == end.task and task not in self.keepers:
                self.broken.append(
                    f'{at:.2f} {task} starts on {name} after its end on '
                    f'{worker.name}, which is noted later'
                )

    def _note_orders(self, task):
        self.ordered_at_end.setdefault(task, self.ordered_by_task.get(task, 0))

    def _check_failures(self, task):
        """Check that no start follows the last permitted failure."""
        noted = self.noted_failed.get(task, ())
        ended = sorted(
            at
            for at, name, number, _how in self.ends
            if name == task and number in noted
        )
        most = self.most_failures.get(task.split('.')[0])
        if most is None or task in self.keepers or len(ended) < most:
            return
        self._note_orders(task)
        starts = [
            at
            for at, _worker, name, number in self.starts
            if name == task and not self._was_on_its_way(task, number)
        ]
        if starts and max(starts) > ended[most - 1]:
            self.broken.append(f'{task} starts after {most} noted failures')
