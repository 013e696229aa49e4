"""Workers with more ends than one listing shows.

A listing shows 500 ends at a time, and the later ones only after those are
acknowledged, which needs the store. See ``test_jobs`` for the invariants that
are checked in each test.
"""

from dataclasses import replace

import pytest

from hyssopring.jobs.model import JobState, Size
from standins.jobs.deployment import Deployment, a_job, settled, starts_of
from standins.jobs.worker import ENDS_LISTED

TASKS = 650
SMALL = Size(10, 10, 0)
# All tasks start before the first one of these times and end between them.
FIRST_END_S = 20
LAST_END_S = 21


class Ends:
    """A deployment on whose workers 650 tasks each end at about one time."""

    def __init__(self, workers=1, entries=3):
        self.deployment = settled(
            Deployment(
                workers=workers,
                entries=entries,
                work_ms=self._work_ms,
                keeps_ids=True,
            ),
        )
        self._count = workers * TASKS
        self._sequence = 0
        job = a_job(steps=((self._count, ()),))
        steps = tuple(replace(step, size=SMALL) for step in job.steps)
        self.job = replace(job, steps=steps)
        self.deployment.submit(self.job)
        self._run_until(FIRST_END_S - 1)
        assert len(starts_of(self.deployment, self.job)) == self._count
        self.worker = self.deployment.workers[0]
        self.owner = self.deployment.owner

    def _work_ms(self, task):
        index = int(task.rpartition('.')[2])
        share = index / self._count
        ends_at = FIRST_END_S + share * (LAST_END_S - FIRST_END_S)
        return max(1, ends_at - self.deployment.reactor.seconds()) * 1000

    def _run_until(self, seconds):
        self.deployment.run(seconds - self.deployment.reactor.seconds())

    def end_tasks_without_store(self):
        """Run until all tasks have ended, while the store is silent."""
        self.deployment.rows.is_silent = True
        self._run_until(LAST_END_S + 1)
        assert len(self.worker.ends) > ENDS_LISTED

    def finish(self, seconds=8):
        """Run with the store; each task must have run once."""
        self.deployment.rows.is_silent = False
        self.deployment.run(seconds)
        entry = next(
            name
            for name, entry in self.deployment.entries.items()
            if entry.is_alive
        )
        starts = starts_of(self.deployment, self.job)
        assert len(starts) == self._count
        state = self.deployment.state(self.job.job_id, entry)
        assert state is JobState.COMPLETED


@pytest.mark.parametrize('workers', [1, 2])
def test_tasks_whose_ends_are_not_listed_yet_do_not_run_again(workers):
    """Guards against taking an attempt that a cut listing lacks for lost."""
    ends = Ends(workers=workers)
    ends.end_tasks_without_store()
    ends.finish()


@pytest.mark.parametrize('is_complete', [True, False])
def test_attempts_that_a_first_listing_may_leave_out_are_no_crash(is_complete):
    """Guards against blaming the start of an attempt that may have ended."""
    deployment = settled(workers=1, work_ms=lambda task: 6000)
    worker = deployment.workers[0]
    deployment.submit(a_job(steps=((4, ()),)))
    deployment.run(0.2)
    assert len(worker.runs) == 4
    whole_poll = worker._poll
    worker._poll = lambda request: replace(
        whole_poll(request), is_complete=is_complete
    )
    worker.crash()
    deployment.rows.is_silent = True
    deployment.run(2)
    ends = deployment.agents['agent-0'].core._ends
    assert bool(ends.crashes) is is_complete


def test_ends_that_a_new_agent_has_not_seen_yet_are_not_lost():
    """Guards against a new agent's report without the ends of later pages."""
    ends = Ends()
    ends.end_tasks_without_store()
    ends.deployment.kill_agent('agent-0')
    ends.deployment.run(0.5)
    ends.deployment.start_agent('agent-0', ends.worker)
    ends.deployment.run(1)
    ends.finish()


def test_a_new_owner_waits_for_the_ends_that_a_new_agent_has_not_seen_yet():
    """Guards against an owner that takes a cut report for a whole one."""
    ends = Ends()
    ends.end_tasks_without_store()
    ends.deployment.kill_agent('agent-0')
    ends.deployment.kill_entry(ends.owner)
    ends.deployment.run(0.5)
    ends.deployment.start_agent('agent-0', ends.worker)
    ends.finish(seconds=15)


def test_a_new_agent_of_a_leaving_worker_leaves_after_the_last_end():
    """Guards against an agent that leaves with ends that it has not seen."""
    ends = Ends(workers=2)
    ends.end_tasks_without_store()
    ends.worker.is_leaving = True
    ends.deployment.kill_agent('agent-0')
    ends.deployment.start_agent('agent-0', ends.worker)
    ends.deployment.run(0.5)
    ends.deployment.stop_agent('agent-0')
    ends.finish()


def test_tasks_of_a_lost_worker_run_again_though_its_listing_was_cut():
    """Guards against waiting for ends that no worker will ever list."""
    ends = Ends(workers=2)
    ends.end_tasks_without_store()
    ends.deployment.kill_agent('agent-0')
    ends.deployment.run(0.5)
    ends.deployment.start_agent('agent-0', ends.worker)
    ends.deployment.run(0.5)
    ends.worker.is_unresponsive = True
    ends.deployment.rows.is_silent = False
    ends.deployment.run(30)
    state = ends.deployment.state(ends.job.job_id)
    assert state is JobState.COMPLETED
    ends.deployment.agents['agent-0'].core.stop()
    ends.deployment.run(2)
    assert ends.deployment.agents['agent-0'].core.shutdown.can_exit
