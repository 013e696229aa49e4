"""Cost of a task that crashes workers to colocated tasks, in virtual time.

    python -m bench.crashing [--seeds 10] [--workers 11] [--seconds 60]

Workers run twelve keepers and a stream of small jobs; one job has a task that
crashes each worker that starts it. A crashed worker restarts after 3 s. Prints
for each seed, and as means, the crashes, the keeper-seconds without a running
keeper, the lost attempts of other tasks, and when the job was given up.
"""

import random
from dataclasses import dataclass
from typing import Final

import fire

from hyssopring.clock import MILLIS_PER_SECOND
from standins.jobs import run_recorder
from standins.jobs.deployment import Deployment, a_job, settled, starts_of

KEEPERS: Final = 12
CRASHING: Final = 0xC
FIRST_JOB: Final = 0x100
TICK_S: Final = 0.1
SUBMIT_INTERVAL_S: Final = 0.4
UNLIMITED_WORK_MS: Final = 1e9
MAX_WORK_MS: Final = 1600


@dataclass
class Cost:
    """Result of one seed.

    Attributes:
        crashes: Number of worker crashes.
        away_s: Keeper-seconds in which a keeper did not run.
        lost: Attempts of other jobs that ended in a crash.
        given_up_s: Seconds from the first start to the job's end, or None.
    """

    crashes: int
    away_s: float
    lost: int
    given_up_s: float | None


class CrashingTask:
    """One seed of the measurement."""

    def __init__(self, seed, count, seconds):
        """Start the keepers, without the crashing job."""
        self._random = random.Random(seed)
        self._seconds = seconds
        self._deployment = settled(
            Deployment(workers=count, work_ms=self._work_ms)
        )
        self._keepers = a_job(1, steps=((KEEPERS, ()),), is_keeper=True)
        self._job = a_job(CRASHING, steps=((6, ()),))
        self._next_job = FIRST_JOB
        for worker in self._deployment.workers:
            worker.kills = f'{self._job.job_id}.0.0.0'.__eq__
        self._deployment.submit(self._keepers)
        self._run(3)

    def run(self):
        """Submit the crashing job and return its cost."""
        self._deployment.submit(self._job)
        away_s = self._run(self._seconds)
        record = self._deployment.run_recorder
        return Cost(
            sum(map(len, record.kills.values())),
            away_s,
            sum(self._is_lost(end) for end in record.ends),
            self._given_up_s(),
        )

    def _work_ms(self, task):
        if task.startswith(self._keepers.job_id):
            return UNLIMITED_WORK_MS
        return self._random.uniform(MAX_WORK_MS / 2, MAX_WORK_MS)

    def _run(self, seconds):
        away_s = 0
        submit_at = self._now()
        end = self._now() + seconds
        while self._now() < end:
            if self._now() >= submit_at:
                submit_at += self._random.expovariate(1 / SUBMIT_INTERVAL_S)
                self._deployment.submit(a_job(self._next_job))
                self._next_job += 1
            self._deployment.run(TICK_S)
            away_s += TICK_S * (KEEPERS - self._running_keepers())
        return away_s

    def _now(self):
        return self._deployment.reactor.seconds()

    def _running_keepers(self):
        running = self._deployment.run_recorder.running
        return sum(
            bool(running.get(str(task))) for task in self._keepers.tasks(0, 0)
        )

    def _is_lost(self, end):
        return end[3] == 'crash' and not end[1].startswith(self._job.job_id)

    def _given_up_s(self):
        owner = self._deployment.entries[self._deployment.owner].core.owner
        progress = owner.shards.record_of(self._job.job_id).progress
        if not progress.state:
            return None
        first = starts_of(self._deployment, self._job)[0][0]
        ended_s = progress.ended_ms - self._deployment.wall_ms()
        return self._now() + ended_s / MILLIS_PER_SECOND - first


def measure(seeds=10, workers=11, seconds=60):
    """Print a line for each seed, and the means."""
    _lift_crash_limit()
    costs = []
    for seed in range(seeds):
        cost = CrashingTask(seed, workers, seconds).run()
        print(seed, cost)
        costs.append(cost)
    for name in ('crashes', 'away_s', 'lost'):
        total = sum(getattr(cost, name) for cost in costs)
        print(f'mean {name}: {total / len(costs):.1f}')


def _lift_crash_limit():
    """Raise the crash limit of the stand-in, to measure unbounded crashes."""
    run_recorder.MOST_KILLS = 10**6


if __name__ == '__main__':
    fire.Fire(measure)
