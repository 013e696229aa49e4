"""Detects keepers that are not running, by the bounds of the specification."""

from hyssopring.jobs.model import Size
from standins.jobs.lost_vms import LostVms, is_away

# A keeper is lost if it does not run for the whole window. The window begins
# at least LAST_RUN_S after its last run and CALM_S after the last disruption.
LAST_RUN_S = 6
WINDOW_S = 3
CALM_S = 4
# Free resources must suffice for this many tasks of its size.
MIN_FITTING = 2


class KeeperWatch:
    """Monitors keepers during a simulation.

    Attributes:
        elsewhere: A line for each lost keeper whose last run was on a VM that
            is up.
        on_lost: A line for each keeper whose last run was on a lost VM and
            that was not started when it could not be running there any more.
        held: By keeper, how long it waited beyond the bound, in seconds,
            while it could still be running on a lost VM.
        longest_s: The longest wait without disruption and with enough
            resources of a keeper whose last run was on a VM that is up.
        longest_on_lost_s: The longest of all others, from their VM's loss on.
    """

    def __init__(self, deployment, stillness):
        self._deployment = deployment
        self._stillness = stillness
        self._lost_vms = LostVms(deployment, stillness)
        self._wanted_since = {}
        self._room_since = {}
        self.elsewhere = {}
        self.on_lost = {}
        self.held = {}
        self.longest_s = 0
        self.longest_on_lost_s = 0

    @property
    def missed(self):
        """Lines of all violations of a bound."""
        return [*self.elsewhere.values(), *self.on_lost.values()]

    def check(self, jobs):
        """Check jobs that should be running; call several times a second."""
        self._stillness.check()
        self._lost_vms.check()
        count_fitting = self._fit_counter()
        wanted = {
            str(task): step.reserved_size
            for job in jobs
            for number, step in enumerate(job.steps)
            for task in job.tasks(0, number)
        }
        for task in self._wanted_since.keys() - wanted.keys():
            self._wanted_since.pop(task)
        for task, size in wanted.items():
            self._wanted_since.setdefault(task, self._now())
            if count_fitting(size) < MIN_FITTING:
                self._room_since.pop(task, None)
            self._room_since.setdefault(task, self._now())
            if count_fitting(size) >= MIN_FITTING and not self.is_running(task):
                self._check_wait(task)

    def is_running(self, task):
        return bool(self._deployment.run_recorder.running.get(task))

    def _now(self):
        return self._deployment.reactor.seconds()

    def _check_wait(self, task):
        ended_at, vm = self._last_run(task)
        lost_at = self._lost_vms.lost_at.get(vm)
        calm_since = self._stillness.since
        waits_s = self._now() - max(ended_at, calm_since)
        window = self._now() - WINDOW_S
        begins = max(calm_since + CALM_S, self._room_since[task])
        is_due = window > max(begins, ended_at + LAST_RUN_S)
        line = (
            f'{self._now():.1f} {task} waits with room, last run until '
            f'{ended_at:.1f}, calm since {calm_since:.1f}'
        )
        if lost_at is None:
            self.longest_s = max(self.longest_s, waits_s)
            if is_due:
                self.elsewhere.setdefault(task, line)
            return
        lost_s = self._now() - lost_at
        self.longest_on_lost_s = max(self.longest_on_lost_s, lost_s)
        if window > max(begins, self._lost_vms.safe_at(vm)):
            self.on_lost.setdefault(task, f'{line}, VM lost at {lost_at:.1f}')
        elif is_due:
            self.held[task] = waits_s

    def _last_run(self, task):
        """Return when a task's last run ended, and on which VM."""
        never = (self._wanted_since[task], None)
        return self._deployment.run_recorder.last_run_by_task.get(task, never)

    def _fit_counter(self):
        """Return a function that counts how many tasks of a size would fit.

        No worker counts for more tasks than are required in total.
        """
        free = [self._free(worker) for worker in self._schedulable_workers()]
        return lambda size: sum(_fit_count(size, each) for each in free)

    def _schedulable_workers(self):
        for agent in self._deployment.agents.values():
            if not is_away(agent) and not agent.worker.is_leaving:
                yield agent.worker

    def _free(self, worker):
        used = Size()
        for run in worker.runs.values():
            job_id = run.task.split('.')[0]
            used = used.plus(self._deployment.run_recorder.sizes[job_id])
        return worker.room.minus(used)


def _fit_count(size, free):
    """Return how many times a size fits, up to the required number."""
    count = 0
    while count < MIN_FITTING and size.fits_in(free):
        free = free.minus(size)
        count += 1
    return count
