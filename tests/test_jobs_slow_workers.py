"""Workers that are slower than their peers, in virtual time."""

from dataclasses import replace

import pytest

from hyssopring.jobs.interference import InterferenceModel
from hyssopring.jobs.messages import WorkerReport
from hyssopring.jobs.model import JobState, Queue, Size, Step, TaskName
from hyssopring.jobs.placement_round import PlacementRound
from hyssopring.jobs.workers import PlacedAttempt, Worker
from hyssopring.logs import listen_to_events
from standins.jobs.deployment import a_job
from tests.stragglers_support import OPTIONS, deploy

SLOW_SPEED = 1 / 7
STEP = Step(1, Size(1000, 1000, 0), 1000)
TASK = TaskName('job', 0, 0, 0)


def a_worker(name, cpu_millis=16_000):
    report = WorkerReport(
        1, name, 'service', [], cpu_millis, 64_000, 0, False, 0, 0,
        [], [], [], 0, 0, 0, 0,
    )  # fmt: skip
    return Worker(name, 'zone', is_connected=True, report=report)


def occupied(worker, step=STEP):
    """Return a worker on which a task of another job runs."""
    name = TaskName('other', 0, 0, 0)
    worker.placed_by_task[str(name)] = PlacedAttempt(
        name, 1, step, worker.boot, 1, 0
    )
    return worker


def choice(workers, speed_by_boot, is_urgent=False, refusing=(), step=STEP):
    placement = PlacementRound(
        workers,
        InterferenceModel(),
        refusing,
        slow_speed_by_boot=speed_by_boot,
    )
    chosen = placement.choose(
        'service', step, TASK, is_starved=False, is_urgent=is_urgent
    )
    return chosen and chosen.agent_id


def test_a_slow_worker_is_chosen_last():
    workers = [occupied(a_worker('slow')), a_worker('full', 2000)]
    assert choice(workers, {}) == 'slow'
    assert choice(workers, {'slow': 0.4}) == 'full'
    assert choice(workers[:1], {'slow': 0.4}) == 'slow'


def test_a_slow_worker_without_a_task_gets_one_probe():
    """Without a probe it would show nothing and stay slow."""
    workers = [a_worker('slow'), a_worker('full', 2000)]
    assert choice(workers, {'slow': 0.2}) == 'slow'
    assert choice([occupied(workers[0]), workers[1]], {'slow': 0.2}) == 'full'


def test_no_urgent_task_runs_on_a_very_slow_worker_while_another_has_room():
    workers = [a_worker('slow'), a_worker('full', 2000)]
    urgent = {'is_urgent': True}
    assert choice(workers, {'slow': 0.2}, **urgent) == 'full'
    assert choice(workers, {'slow': 0.2}, refusing={'full'}, **urgent) == 'full'
    assert choice(workers, {'slow': 0.4}, **urgent) == 'slow'
    assert choice(workers[:1], {'slow': 0.2}, **urgent) == 'slow'


def test_keepers_and_gangs_are_no_probes():
    """A keeper shows no speed, and a gang is as slow as its slowest member."""
    workers = [a_worker('slow'), a_worker('full', 2000)]
    keeper = replace(STEP, is_keeper=True)
    assert choice(workers, {'slow': 0.4}, step=keeper) == 'full'
    gang = replace(STEP, is_gang=True)
    placement = PlacementRound(workers, slow_speed_by_boot={'slow': 0.4})
    (chosen,) = placement.choose_for_gang('service', gang, [TASK])
    assert chosen.agent_id == 'full'


class Load:
    """Jobs of two queues that keep all workers busy.

    Attributes:
        deployment: The deployment that runs them.
        slow: The worker that the tests slow down.
        entry: The name of the entry that accepts the jobs.
    """

    def __init__(self, workers=8, options=OPTIONS, **changes):
        self.deployment = deploy(
            lambda task: 2000, workers=workers, options=options
        )
        self.slow = self.deployment.workers[0]
        self._changes = changes
        self._number = 0
        self.entry = 'entry-0'

    def run(self, seconds, each_s=0.25):
        """Run with a job of two images at each interval."""
        for _job in range(round(seconds / each_s)):
            self._number += 1
            self._submit(self._number)
            self.deployment.run(each_s)

    def owner(self):
        return self.deployment.entries[self.deployment.owner].core.owner

    def slow_boots(self):
        return set(self.owner().stragglers._slow_set.speed_by_boot)

    def starts_on_slow(self, since_s):
        return [
            row
            for row in self.deployment.run_recorder.starts
            if row[0] >= since_s and row[1] == self.slow.name
        ]

    def _submit(self, number):
        image = 'one' if number % 2 else 'two'
        job = a_job(number, ((8, ()),), image=image, **self._changes)
        object.__setattr__(
            job, 'queue', Queue('queue', 'service', 2, 3, 2, 1000)
        )
        self.deployment.submit(job, self.entry)


def test_a_slow_worker_is_found_avoided_and_comes_back():
    load = Load()
    load.run(5)
    assert not load.slow_boots()
    load.slow.set_speed(SLOW_SPEED)
    load.run(6)
    assert load.slow_boots() == {load.slow.boot}
    since_s = load.deployment.reactor.seconds()
    load.run(3)
    assert len(load.starts_on_slow(since_s)) <= 3
    load.slow.set_speed(1)
    load.run(12)
    assert not load.slow_boots()
    since_s = load.deployment.reactor.seconds()
    load.run(3)
    assert len(load.starts_on_slow(since_s)) >= 6


def test_equal_workers_are_never_slow():
    load = Load()
    for _second in range(15):
        load.run(1)
        assert not load.slow_boots()


def test_speeds_are_forgotten_when_nothing_runs():
    load = Load()
    load.run(4)
    load.slow.set_speed(SLOW_SPEED)
    load.run(6)
    assert load.slow_boots()
    load.deployment.run(50)
    assert not load.slow_boots()


LONG_JOB = f'{0xABC:016x}'
LONG_MS = 20_000


def play_long_job(**changes):
    """Run a job of long tasks on workers of which one becomes slow.

    Returns:
        The load, the job, and the lines of stopped tasks of slow workers.
    """
    stopped = []

    def on_event(event, fields):
        if fields.get('why') == 'the worker is slow':
            stopped.append(fields['task'])

    listen_to_events(on_event)
    load = Load(saves=True)
    load.run(12)
    for worker in load.deployment.workers:
        worker.work_ms = lambda task: (
            LONG_MS if task.startswith(LONG_JOB) else 2000
        )
    job = a_job(0xABC, ((16, ()),), image='three', **changes)
    load.deployment.submit(job)
    load.run(1)
    assert any(task.startswith(LONG_JOB) for task in load.slow.runs)
    load.slow.set_speed(SLOW_SPEED)
    load.run(14)
    return load, job, [task for task in stopped if task.startswith(LONG_JOB)]


def test_tasks_that_save_checkpoints_are_moved_once_from_a_slow_worker():
    """A long task would take 7 times as long there."""
    load, job, stopped = play_long_job(saves=True)
    assert stopped
    assert len(stopped) == len(set(stopped))
    load.run(20)
    assert load.deployment.state(job.job_id) is JobState.COMPLETED


@pytest.mark.parametrize(
    'changes', [{'saves': False}, {'saves': True, 'may_copy': True}]
)
def test_tasks_without_checkpoints_and_copied_ones_are_not_moved(changes):
    """A stop would lose their work, or end an attempt that has a copy."""
    _load, _job, stopped = play_long_job(**changes)
    assert not stopped


def test_a_new_owner_moves_nothing_at_first():
    """It does not know what its predecessor has stopped just before."""
    load, job, stopped = play_long_job(saves=True)
    moved_at_s = load.deployment.reactor.seconds()
    load.deployment.kill_entry(load.deployment.owner)
    stopped_again = []
    listen_to_events(
        lambda event, fields: (
            stopped_again.append(load.deployment.reactor.seconds())
            if fields.get('why') == 'the worker is slow'
            else None
        )
    )
    load.entry = next(
        name
        for name, entry in load.deployment.entries.items()
        if entry.is_alive
    )
    load.run(12)
    assert all(at - moved_at_s > 10 for at in stopped_again)
