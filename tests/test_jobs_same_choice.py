"""The planner's faster choice of workers equals the plain one.

Random states by seed, several rounds on the same workers, as what is kept
between rounds must follow every change of a worker.
"""

import random
from collections import Counter
from dataclasses import replace
from itertools import product

import pytest

from hyssopring.clock import ManualClock
from hyssopring.jobs.documents import JobRow
from hyssopring.jobs.fleet import Fleet, PlacedAttempt
from hyssopring.jobs.interference import InterferenceModel, LatencySample
from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.model import Job, Queue, Schedule, Size, TaskName
from hyssopring.jobs.placement_round import PlacementRound
from hyssopring.jobs.worker_use import WorkerUses
from standins.jobs.colocated import FILLER, KEEPER, QUICK, worker_with
from tests.plain_placement import PlainRound

SEEDS = range(40)
ROUNDS = 6
REPORT_MS = 500


def random_step(draw):
    """Return a step of a keeper, of best-effort tasks or of small tasks."""
    base = draw.choice((KEEPER, FILLER, FILLER, FILLER, QUICK))
    size = Size(
        draw.choice((300, 900, 1800, 2400, 3200)),
        draw.choice((500, 3200, 6000)),
        0,
    )
    image = f'{base.image}{draw.randrange(4)}' if base.image else ''
    return replace(
        base,
        size=size,
        image=image,
        label=draw.choice(('', '', '', 'a', 'r1', 'none')),
        rack=draw.choice(('', '', 'r1')),
        is_local=draw.random() < 0.2,
        max_per_worker=draw.choice((0, 0, 0, 1, 2)),
    )


class RandomFleet:
    """Workers whose tasks start, end and change at random.

    Attributes:
        workers: The workers.
        uses: What the faster choice keeps between rounds.
    """

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.uses = WorkerUses()
        self.model = InterferenceModel()
        self.plain_model = InterferenceModel()
        self.now_ms = 0
        self.workers = [
            worker_with(
                f'w{number}',
                *[
                    random_step(self.draw)
                    for _task in range(self.draw.randrange(7))
                ],
                load=self.draw.randrange(120),
                pace=self.draw.choice((0, 20, 70, 100)),
            )
            for number in range(12)
        ]
        for number, worker in enumerate(self.workers):
            worker.report = replace(
                worker.report,
                labels=['a', f'r{number % 3}'],
                service=self.draw.choice(('service', 'service', 'other')),
            )

    def change(self):
        """Apply what reports, ends and lost attempts may change."""
        self.now_ms += REPORT_MS
        for worker in self.workers:
            action = self.draw.random()
            if action < 0.5:
                self.report(worker)
            elif action < 0.7 and worker.placed_by_task:
                task = self.draw.choice(list(worker.placed_by_task))
                worker.placed_by_task.pop(task)

    def report(self, worker):
        worker.report = replace(
            worker.report, foreign_cpu=self.draw.choice((0, 0, 2000))
        )
        for placed in worker.placed_by_task.values():
            placed.report_count += 1
            placed.pace = self.draw.choice((0, 30, 60, 100, 100))
            full = 100 if placed.step.target_ms else placed.step.size.cpu_millis
            placed.load = self.draw.randrange(full + 20)

    def place(self, worker, name, step):
        placed = PlacedAttempt(name, 1, step, worker.boot, 1, self.now_ms)
        worker.placed_by_task[str(name)] = placed

    def observe(self):
        """Apply the reports to both models; the plain one sees them all."""
        self.model.observe_workers(self.workers, self.now_ms)
        observe_plainly(self.plain_model, self.workers, self.now_ms)


def observe_plainly(model, workers, now_ms):
    """Compare each task of each worker with its last sample."""
    observation_by_task = {}
    for worker in workers:
        millicores = Counter()
        for filler in worker.best_effort_tasks():
            millicores[filler.step.image] += filler.load
        for keeper in worker.latency_critical_tasks():
            sample = LatencySample(
                str(keeper.name),
                keeper.step.image,
                keeper.load,
                keeper.step.target_ms,
            )
            observation_by_task[sample.task] = model._observe(
                sample, millicores, now_ms
            )
    model._observation_by_task = observation_by_task


def play_round(fleet, number):
    """Place random tasks by both choices, which must agree on each."""
    draw = fleet.draw
    refusing = {draw.choice(fleet.workers).agent_id}
    placement = PlacementRound(fleet.workers, fleet.model, refusing, fleet.uses)
    plain = PlainRound(fleet.workers, fleet.plain_model, refusing)
    boots = {draw.choice(fleet.workers).boot for _choice in range(4)}
    chosen = []
    for job in range(25):
        step = random_step(draw)
        is_starved = draw.random() < 0.2
        allowed_boots = boots if draw.random() < 0.1 else None
        for index in range(3):
            name = TaskName(f'{number}{job:04}', 0, 0, index)
            arguments = ('service', step, name, is_starved, allowed_boots)
            worker = placement.choose(*arguments)
            assert worker is plain.choose(*arguments)
            if worker is None:
                break
            chosen.append(worker)
            # A start that cannot be sent leaves the worker's table unchanged.
            if draw.random() < 0.9:
                fleet.place(worker, name, step)
    return chosen


@pytest.mark.parametrize('seed', SEEDS)
def test_choice_equals_that_of_a_plain_comparison(seed):
    """Guards against a faster choice that starts tasks elsewhere.

    Its values are kept for a round or longer; one that outlives what it was
    computed from places tasks beside those that they slow.
    """
    fleet = RandomFleet(seed)
    starts = 0
    for number in range(ROUNDS):
        fleet.change()
        fleet.observe()
        starts += len(play_round(fleet, number))
    assert starts > ROUNDS


@pytest.mark.parametrize('seed', SEEDS)
def test_estimates_equal_those_from_all_samples(seed):
    """Guards against samples that are skipped although they are new."""
    fleet = RandomFleet(seed)
    for _round in range(3 * ROUNDS):
        fleet.change()
        fleet.observe()
    images = {
        placed.step.image
        for worker in fleet.workers
        for placed in worker.placed_by_task.values()
    }
    for pair in product(images, repeat=2):
        assert fleet.model.per_core(*pair) == fleet.plain_model.per_core(*pair)


def test_workers_with_a_task_are_found_after_each_change():
    """Guards against an index that misses a running attempt.

    The task would be started a second time.
    """
    draw = random.Random(1)
    fleet = Fleet(ManualClock())
    workers = [fleet.record_connection(f'w{n}', 'zone') for n in range(5)]
    for _change in range(2000):
        worker, task = draw.choice(workers), f'job.0.0.{draw.randrange(8)}'
        if draw.random() < 0.5:
            worker.placed_by_task[task] = None
            fleet.record_placement(worker, task)
        else:
            worker.placed_by_task.pop(task, None)
        task = f'job.0.0.{draw.randrange(8)}'
        found = {each.agent_id for each in fleet.workers_with(task)}
        assert found == {
            each.agent_id for each in workers if task in each.placed_by_task
        }


def test_work_left_follows_each_end():
    """Guards against an order by the work of tasks that have ended."""
    steps = (replace(QUICK, count=3), replace(QUICK, count=2, after=(0,)))
    job = Job('1', Queue('queue', 'service'), 'x', steps, Schedule(0, 10, 2))
    record = JobRecord.from_row(JobRow(job, 0), 1, is_inherited=False)
    task_work = QUICK.size.cpu_millis * QUICK.estimate_ms
    record.open_due_occurrences(1000)
    expected = [10, 9, 9, 8]
    ends = [None, (0, 0, 1), (0, 0, 1), (1, 1, 0)]
    for count, end in zip(expected, ends, strict=True):
        if end is not None:
            record.record_done(TaskName('1', *end))
        assert record.work_left() == count * task_work
