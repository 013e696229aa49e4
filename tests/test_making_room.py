"""Urgent starts on a full VM, throttling and observed sizes, at the agent."""

from hyssopring.agent.ledger import Ledger
from hyssopring.agent.tail import TailWindow
from hyssopring.agent.tasks import TaskSupervisor
from hyssopring.agent.worker import StopAnswer, WorkerListing
from hyssopring.clock import ManualClock
from hyssopring.invariants import Invariants
from hyssopring.leases import ShardLeases
from hyssopring.metrics import Metrics
from hyssopring.protocol.messages import (
    LeaseGrant,
    Resources,
    StartTask,
    StopTask,
    ThrottleTask,
)
from hyssopring.tasks import TaskPhase


class SlowWorker:
    """Starts at once; stops when told by the test."""

    def __init__(self):
        self.started = []
        self.stopping = {}
        self.shares = {}

    def start(self, command, until, done):
        self.started.append(command.task_id)
        done(True)

    def stop(self, command, mode, done):
        self.stopping[command.task_id] = lambda checkpoint: done(
            StopAnswer(TaskPhase.STOPPED, checkpoint)
        )

    def throttle(self, task_id, share):
        self.shares[task_id] = share

    def renew(self, until_by_task):
        pass


def start(name, urgency, cores, kind='batch'):
    return StartTask(
        name, 1, 1, 1, kind, f't/{name}', Resources(cores, cores), '', 1e6,
        urgency, 'boot',
    )  # fmt: skip


def supervisor(*commands, cores=16):
    clock = ManualClock(1000)
    metrics = Metrics()
    ledger = Ledger(Resources(cores, 60), Invariants(metrics), metrics)
    worker, reports = SlowWorker(), []
    tasks = TaskSupervisor(clock, ledger, ShardLeases(), worker, reports.append)
    tasks.on_listing(WorkerListing('boot', ()), clock.now())
    tasks.on_grant(LeaseGrant(1, 1, 15_000, 60_000), clock.now())
    for command in commands:
        tasks.on_start(command)
    return tasks, worker, clock, ledger, reports


def test_urgent_task_starts_only_after_the_one_that_gives_way_has_stopped():
    """A farrier is called while feed rounds fill the VM. The start comes,
    one feed round is checkpointed, and the VM must not hold both: the urgent
    task may start only when the worker has said that the other is stopped."""
    tasks, worker, _, ledger, reports = supervisor(
        start('feed', 2, 4), start('ocr', 2, 8), start('keeper', 0, 4, 'keeper')
    )
    tasks.on_start(start('farrier', 9, 6))
    assert list(worker.stopping) == ['ocr'], 'fewest, and never a keeper'
    assert 'farrier' not in worker.started
    worker.stopping['ocr']('70')
    assert worker.started[-1] == 'farrier'
    assert ledger.free.cores == 2
    stopped = [r.tasks[0] for r in reports if r.tasks[0].task_id == 'ocr']
    assert (stopped[-1].phase, stopped[-1].checkpoint) == ('stopped', '70')


def test_urgent_task_is_refused_when_no_room_comes_in_time():
    """The checkpoint of the task that gives way hangs. The urgent start must
    not wait for it for ever: it is refused, so that its planner tries another
    VM, and nothing starts when the checkpoint ends after all."""
    tasks, worker, clock, _, reports = supervisor(start('ocr', 2, 16))
    tasks.on_start(start('farrier', 9, 6))
    clock.advance(1600)
    tasks.tick()
    assert reports[-1].tasks[0].phase == 'refused'
    worker.stopping['ocr']('70')
    assert worker.started == ['ocr']


def test_cancelled_while_room_is_made_gives_its_room_back():
    """An urgent task is cancelled while it waits for room. Its start must not
    follow, and the room is free again once both have stopped."""
    tasks, worker, _, ledger, _ = supervisor(start('ocr', 2, 16))
    tasks.on_start(start('farrier', 9, 6))
    tasks.on_stop(StopTask('farrier', 1, 1, 1, 'cancel'))
    worker.stopping['ocr']('70')
    assert 'farrier' not in worker.stopping, 'the worker never heard of it'
    assert worker.started == ['ocr']
    assert ledger.free.cores == 16


def test_equally_urgent_task_and_keeper_never_give_way():
    tasks, worker, _, _, reports = supervisor(
        start('round', 8, 8), start('keeper', 0, 8, 'keeper')
    )
    tasks.on_start(start('farrier', 9, 6))
    assert not worker.stopping
    assert reports[-1].tasks[0].detail == 'no room'


def test_task_larger_than_declared_takes_the_room_that_it_uses():
    tasks, _, _, ledger, _ = supervisor(start('ocr', 2, 4))
    ledger.observe({'ocr': Resources(10, 2)})
    assert (ledger.free.cores, ledger.free.memory_gb) == (6, 56)


def test_throttle_needs_the_current_epoch_and_shows_in_the_usage():
    tasks, worker, _, _, _ = supervisor(start('ocr', 2, 4))
    tasks.on_throttle(ThrottleTask('ocr', 1, 0, 1, 0.25))
    assert not worker.shares
    tasks.on_throttle(ThrottleTask('ocr', 1, 1, 1, 0.5))
    assert worker.shares == {'ocr': 0.5}
    (usage,) = tasks.usage()
    assert (usage.running, usage.share) == (1, 0.5)


def test_tail_window_forgets_and_is_silent_on_few_calls():
    window = TailWindow()
    for took in range(100):
        window.add(0, took)
    assert window.latency_ms(1000) == 95
    assert window.latency_ms(5000) == 95
    assert window.latency_ms(9000) == 0
