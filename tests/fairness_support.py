"""Bursts of jobs from availability zones, in virtual time."""

import math
from collections import Counter
from dataclasses import replace
from statistics import mean

from hyssopring.jobs.documents import JobRow
from hyssopring.jobs.model import Job, JobState, Queue, Size, Step
from hyssopring.jobs.scheduling_options import (
    FairnessOptions,
    SchedulingOptions,
)
from standins.jobs.deployment import WALL_MS, Deployment, settled

ZONES = ('east', 'north', 'west')
WORKERS = 4
WORK_MS = 1000
TASK = Size(1800, 3200, 0)
# Tasks that all workers complete a second.
ROOM = 8 * WORKERS * 1000 / WORK_MS
BURST = 2.6 * ROOM
STEP_S = 0.05
WIDE = Queue('wide', 'service', 2, 4, 2, 1000)
SMALL = Queue('small', 'service', 0, 4, 1.5, 300)


def wide_job(number, width, queue=WIDE, **changes):
    """Return a job of two steps, each of ``width`` tasks."""
    first = replace(Step(width, TASK, WORK_MS), **changes)
    steps = (first, replace(first, after=(0,)))
    return Job(f'{number:016x}', queue, 'x', steps)


class Burst:
    """A deployment to which jobs of known zones are submitted.

    Attributes:
        owner: The owner of the shard.
        rows: The rows of the submitted jobs by ID.
    """

    def __init__(self, has_shares=True, weight_by_queue=None):
        fairness = FairnessOptions(weight_by_queue or {})
        options = SchedulingOptions(fairness=fairness if has_shares else None)
        self.deployment = settled(
            Deployment(
                workers=WORKERS,
                entries=1,
                work_ms=lambda task: WORK_MS,
                options=options,
            )
        )
        self.owner = self.deployment.entries['entry-0'].core.owner
        self.rows = {}

    @property
    def now_s(self):
        return self.deployment.reactor.seconds()

    def submit(self, zone, width, queue=WIDE, **changes):
        """Accept a job of a zone's callers and return it."""
        job = wide_job(len(self.rows) + 1, width, queue, **changes)
        row = JobRow(job, self.deployment.wall_ms(), zone)
        self.rows[job.job_id] = row
        recorder = self.deployment.run_recorder
        recorder.most_failures[job.job_id] = queue.max_attempts
        recorder.sizes[job.job_id] = job.steps[0].reserved_size
        if job.steps[0].is_keeper:
            recorder.keepers.update(map(str, job.tasks(0, 0)))
        self.owner.shards.accept(row)
        return job

    def play(self, seconds, rate_by_zone, width_by_zone, **changes):
        """Submit jobs of each zone at a rate in tasks a second."""
        due_by_zone = Counter()
        for _step in range(round(seconds / STEP_S)):
            for zone, rate in rate_by_zone.items():
                width = width_by_zone[zone]
                due_by_zone[zone] += rate * STEP_S
                while due_by_zone[zone] >= 2 * width:
                    due_by_zone[zone] -= 2 * width
                    self.submit(zone, width, **changes)
            self.deployment.run(STEP_S)

    def earned(self, key):
        """Return the mean part that jobs earned of their worth, by ``key``.

        A job is worth 1 until its objective, and nothing from three times its
        objective on.
        """
        ended_s_by_job = {
            task.partition('.')[0]: now
            for now, task, _number, _how in self.deployment.run_recorder.ends
        }
        parts = {}
        for job_id, row in self.rows.items():
            queue = row.job.queue
            objective_s = (
                queue.slack_factor * row.job.critical_path_ms + queue.target_ms
            ) / 1000
            took_s = math.inf
            if self.owner.shards.state_of(job_id) is JobState.COMPLETED:
                accepted_s = (row.accepted_ms - WALL_MS) / 1000
                took_s = ended_s_by_job[job_id] - accepted_s
            part = (3 - took_s / objective_s) / 2
            parts.setdefault(key(row), []).append(min(1, max(0, part)))
        return {name: mean(each) for name, each in parts.items()}

    def core_seconds(self, key, since_s, until_s):
        """Return the core-seconds that tasks used, by ``key`` of their job."""
        ended = {
            (task, number): now
            for now, task, number, _how in self.deployment.run_recorder.ends
        }
        total = Counter()
        for now, _worker, task, number in self.deployment.run_recorder.starts:
            row = self.rows.get(task.partition('.')[0])
            if row is None:
                continue
            end = ended.get((task, number), until_s)
            used_s = min(end, until_s) - max(now, since_s)
            total[key(row)] += max(0, used_s) * TASK.cpu_millis / 1000
        return total
