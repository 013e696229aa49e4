"""Notices keepers that do not run though nothing keeps them from it."""

from hyssopring.jobs.model import Size

WAIT_S = 12


class KeeperWatch:
    """Looks at the tasks of keepers while a day goes on.

    Attributes:
        missed: One line for each task that did not run for ``WAIT_S`` in
            which nothing was disturbed and some worker had room for it.
    """

    def __init__(self, deployment, calm):
        self._deployment = deployment
        self._calm = calm
        self._since_by_task = {}
        self.missed = {}

    def look(self, jobs):
        """Look at the keepers that should run; call several times a second."""
        has_room = self._has_room()
        wanted = {
            str(task): step.size
            for job in jobs
            for number, step in enumerate(job.steps)
            for task in job.tasks(0, number)
        }
        for task in self._since_by_task.keys() - wanted.keys():
            self._since_by_task.pop(task)
        for task, size in wanted.items():
            if self.is_running(task) or not has_room(size):
                self._since_by_task.pop(task, None)
            else:
                self._wait(task)

    def is_running(self, task):
        return bool(self._deployment.book.running.get(task))

    def _wait(self, task):
        now = self._deployment.reactor.seconds()
        since = self._since_by_task.setdefault(task, now)
        since = max(since, self._calm.since)
        if now - since > WAIT_S and task not in self.missed:
            self.missed[task] = (
                f'{now:.1f} keeper {task} waits with room and calm '
                f'since {since:.1f}'
            )

    def _has_room(self):
        """Whether some worker that takes tasks has room for one more."""
        free = [self._free(worker) for worker in self._takers()]
        return lambda size: any(size.fits_in(each) for each in free)

    def _takers(self):
        for agent in self._deployment.agents.values():
            worker = agent.worker
            if agent.is_alive and not worker.is_leaving and not worker.is_dark:
                yield worker

    def _free(self, worker):
        used = Size()
        for run in worker.runs.values():
            job_id = run.task.split('.')[0]
            used = used.plus(self._deployment.book.sizes[job_id])
        return worker.room.minus(used)
