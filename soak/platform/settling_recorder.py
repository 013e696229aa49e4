"""Records and checks the runs of real programs' tasks."""

from collections import Counter, defaultdict

from standins.jobs.run_recorder import RunRecorder


class SettlingRecorder(RunRecorder):
    """Updates all runners before it records and checks a start.

    Attributes:
        failing: Long-running tasks that fail repeatedly.
    """

    def __init__(self):
        super().__init__()
        self.workers = []
        self.failing = set()
        self.runs_by_task = Counter()
        # Attempts in the order of their starts, and how many of them had
        # started when the task's end was noted.
        self.attempts_by_task = defaultdict(list)
        self.started_at_end = {}

    def started(self, now, worker, run):
        for runner in self.workers:
            runner.settle()
        self.runs_by_task[run.task] += 1
        self.attempts_by_task[run.task].append(run.number)
        super().started(now, worker, run)

    def _was_on_its_way(self, task, number):
        """Return whether a copy may have been ordered before the noted end.

        Orders are not seen here. At most one copy is under way beside the
        attempt that has ended.
        """
        late = self.attempts_by_task[task][self.started_at_end[task] :]
        return self.is_copyable(task) and late[:1] == [number]

    def _note_orders(self, task):
        self.started_at_end.setdefault(task, len(self.attempts_by_task[task]))
