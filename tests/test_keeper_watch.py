"""The monitor of lost keepers applies the bounds of the specification."""

from types import SimpleNamespace

import pytest

from hyssopring.jobs.model import Job, Queue, Size, Step
from standins.jobs.run_recorder import Run, RunRecorder
from standins.jobs.keeper_watch import KeeperWatch

SIZE = Size(1000, 1000, 0)
QUEUE = Queue('queue', 'service', 0, 6, 2, 1000)
JOB = Job('a' * 16, QUEUE, 'x', (Step(1, SIZE, is_keeper=True),))
TASK = str(next(iter(JOB.tasks(0, 0))))
ENDED_AT = 10
TICK_S = 0.1


def an_owner():
    """Return an entry that owns the shard throughout."""
    shards = SimpleNamespace(by_shard={0: SimpleNamespace(epoch=1)})
    core = SimpleNamespace(owner=SimpleNamespace(shards=shards))
    return SimpleNamespace(is_alive=True, core=core)


class Scene:
    """Two workers, and a task that ran on the first one until 10 s."""

    def __init__(self, rooms=2):
        self.now = ENDED_AT
        self.run_recorder = RunRecorder()
        self.run_recorder.sizes[JOB.job_id] = SIZE
        self.reactor = SimpleNamespace(seconds=lambda: self.now)
        self.stillness = SimpleNamespace(since=0, silent_at=0, check=list)
        room = Size(1000 * rooms, 1000 * rooms, 0)
        self.agents = {
            name: SimpleNamespace(
                name=name,
                is_alive=True,
                worker=SimpleNamespace(
                    name=f'worker of {name}',
                    boot=name,
                    is_down=False,
                    is_unresponsive=False,
                    is_leaving=False,
                    runs={},
                    room=room,
                ),
            )
            for name in ('first', 'second')
        }
        self.entries = {'entry': an_owner()}
        self.watch = KeeperWatch(self, self.stillness)
        self.run_on('first')
        self.end_on('first')

    def run_on(self, name):
        worker = self.agents[name].worker
        self.run_recorder.started(self.now, worker, Run(TASK, 1, 0, ''))

    def end_on(self, name):
        worker = self.agents[name].worker
        self.run_recorder.ended(self.now, worker, Run(TASK, 1, 0, ''), 'crash')

    def lose(self, name):
        self.agents[name].is_alive = False
        self.agents[name].worker.is_down = True

    def until(self, seconds):
        """Check several times a second until then."""
        while self.now < seconds:
            self.watch.check([JOB])
            self.now += TICK_S
        return self.watch


def test_a_task_is_lost_nine_seconds_after_its_last_run():
    """Guards against a monitor that allows more than the specified time."""
    scene = Scene()
    assert not scene.until(18.9).missed
    assert scene.until(19.5).elsewhere


def test_a_task_that_never_ran_counts_from_when_it_was_owed():
    """Guards against a first start that is not monitored."""
    scene = Scene()
    scene.run_recorder.last_run_by_task.clear()
    assert not scene.until(18.9).missed
    assert scene.until(19.5).elsewhere


def test_seven_seconds_without_a_fault_are_needed():
    """Guards against counting a task as lost during a fault."""
    scene = Scene()
    scene.stillness.since = 18
    assert not scene.until(24.9).missed
    assert scene.until(25.5).elsewhere


def test_a_run_in_between_begins_the_wait_anew():
    """Guards against adding up waits that are each within the bound."""
    scene = Scene()
    scene.until(18)
    scene.run_on('second')
    scene.until(20)
    scene.end_on('second')
    assert not scene.until(28.9).missed
    assert scene.until(29.5).elsewhere


@pytest.mark.parametrize(
    'rooms, lost, is_missed',
    [(1, None, True), (1, 'second', False), (2, 'second', True)],
)
def test_there_must_be_room_twice_over(rooms, lost, is_missed):
    """Free resources of two workers add up; those of a lost one do not."""
    scene = Scene(rooms)
    if lost:
        scene.lose(lost)
    assert bool(scene.until(30).elsewhere) is is_missed


def test_the_window_begins_with_the_room():
    """Guards against counting a task as lost when it had no room."""
    scene = Scene()
    for agent in scene.agents.values():
        agent.worker.is_leaving = True
    scene.until(30)
    for agent in scene.agents.values():
        agent.worker.is_leaving = False
    assert not scene.until(32.9).missed
    assert scene.until(33.5).elsewhere


def test_a_vm_that_stays_away_excuses_no_task_that_ran_elsewhere():
    """Guards against a fault that counts for as long as a VM is down."""
    scene = Scene()
    scene.lose('second')
    assert scene.until(19.5).elsewhere


def test_a_task_of_a_lost_vm_is_held_until_it_surely_ended():
    """Guards against duplicate runs and unbounded waits.

    Such a task is recorded separately from tasks that ran elsewhere.
    """
    scene = Scene()
    scene.lose('first')
    scene.stillness.since = 12
    assert not scene.until(21.2).missed
    assert scene.watch.held
    assert scene.until(22).on_lost
    assert not scene.watch.elsewhere
