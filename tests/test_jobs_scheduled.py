"""Scheduled jobs across a change of the owner."""

from dataclasses import replace

from owner_support import run_until_taken

from hyssopring.jobs.model import JobState, Schedule
from standins.jobs.deployment import a_job, settled, starts_of

SLOW_MS = 5500
OCCURRENCES = 3


def work_ms(task):
    """Return the duration of a task; the first occurrence is slow."""
    occurrence = int(task.split('.')[1])
    return 300 if occurrence else SLOW_MS


def test_a_job_completes_if_its_last_end_comes_before_all_occurrences_open():
    """Guards against a job that stays active for good after a takeover.

    The later occurrences are done before it. The first one ends while the
    shard has no owner, and its end is reported before the others are open.
    """
    deployment = settled(work_ms=work_ms)
    first_ms = int(deployment.wall_ms()) + 300
    job = replace(
        a_job(steps=((2, ()),)), schedule=Schedule(first_ms, 900, OCCURRENCES)
    )
    deployment.submit(job)
    deployment.run(3.6)
    others = [
        entry
        for name, entry in deployment.entries.items()
        if name != deployment.owner
    ]
    deployment.kill_entry(deployment.owner)
    successor = run_until_taken(deployment, others)
    deployment.run(6)
    assert len(starts_of(deployment, job)) == 2 * OCCURRENCES
    state = deployment.state(job.job_id, successor.name)
    assert state is JobState.COMPLETED
