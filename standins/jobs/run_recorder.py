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
        # When each task's last run ended, and the name of its worker.
        self.last_run_by_task = {}
        self.sizes = {}
        self.keepers = set()
        # Jobs whose tasks need a ticket to start.
        self.advised = set()
        # Times of crashes by the task that caused them.
        self.kills = {}
        self.broken = []

    def started(self, now, worker, run):
        self.starts.append((now, worker.name, run.task, run.number))
        self._check_budget(now, run)
        self._check_failures(run.task)
        holders = self.running.setdefault(run.task, set())
        if holders:
            self.broken.append(
                f'{now:.2f} {run.task} runs twice: {holders}, {worker.name}'
            )
        if run.task in self.noted_done and run.task not in self.keepers:
            self.broken.append(f'{now:.2f} {run.task} starts though it is done')
        holders.add(worker.boot)

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
        self.last_run_by_task[run.task] = (now, worker.name)

    def noted(self, task, number, how):
        """Record that an end was acknowledged."""
        if how is AttemptEnd.DONE:
            self.noted_done.add(task)
        elif how is AttemptEnd.FAILED:
            self.noted_failed.setdefault(task, set()).add(number)
            self._check_failures(task)

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
        starts = [at for at, _worker, name, _ in self.starts if name == task]
        if starts and max(starts) > ended[most - 1]:
            self.broken.append(f'{task} starts after {most} noted failures')
