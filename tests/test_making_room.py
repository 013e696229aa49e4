"""Tests of an agent's preemption, throttling and observed sizes."""

from hyssopring.agent.ledger import Ledger
from hyssopring.agent.tail import TailWindow
from hyssopring.agent.tasks import TaskSupervisor
from hyssopring.agent.worker import StopResponse, WorkerListing
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
    """Start tasks at once; stop them when the test calls ``stopping``."""

    def __init__(self):
        self.started = []
        self.stopping = {}
        self.shares = {}

    def start(self, command, until, done):
        self.started.append(command.task_id)
        done(True)

    def stop(self, command, mode, done):
        self.stopping[command.task_id] = lambda checkpoint: done(
            StopResponse(TaskPhase.STOPPED, checkpoint)
        )

    def throttle(self, task_id, share):
        self.shares[task_id] = share

    def renew(self, until_by_task):
        pass


def start_command(name, urgency, cores, kind='batch'):
    return StartTask(
        name, 1, 1, 1, kind, f't/{name}', Resources(cores, cores), '', 1e6,
        urgency, 'boot',
    )  # fmt: skip


def task_supervisor(*commands, cores=16):
    clock = ManualClock(1000)
    metrics = Metrics()
    ledger = Ledger(Resources(cores, 60), Invariants(metrics), metrics)
    worker, reports = SlowWorker(), []
    supervisor = TaskSupervisor(
        clock, ledger, ShardLeases(), worker, reports.append
    )
    supervisor.on_listing(WorkerListing('boot', ()), clock.now())
    supervisor.on_grant(LeaseGrant(1, 1, 15_000, 60_000), clock.now())
    for command in commands:
        supervisor.on_start(command)
    return supervisor, worker, clock, ledger, reports


def test_urgent_task_starts_only_after_the_preempted_one_has_stopped():
    """Batch tasks fill the VM when an urgent start arrives.

    A batch task is checkpointed. If the urgent task started before the worker
    reports that it has stopped, both would use the same resources.
    """
    supervisor, worker, _, ledger, reports = task_supervisor(
        start_command('feed', 2, 4),
        start_command('ocr', 2, 8),
        start_command('keeper', 0, 4, 'keeper'),
    )
    supervisor.on_start(start_command('farrier', 9, 6))
    assert list(worker.stopping) == ['ocr'], 'fewest, and never a keeper'
    assert 'farrier' not in worker.started
    worker.stopping['ocr']('70')
    assert worker.started[-1] == 'farrier'
    assert ledger.free.cores == 2
    stopped = [r.tasks[0] for r in reports if r.tasks[0].task_id == 'ocr']
    assert (stopped[-1].phase, stopped[-1].checkpoint) == ('stopped', '70')


def test_urgent_task_is_refused_when_preemption_takes_too_long():
    """The checkpoint of the preempted task takes too long.

    The urgent start is refused, so that its planner tries another VM, and it
    does not start when the checkpoint ends later.
    """
    supervisor, worker, clock, _, reports = task_supervisor(
        start_command('ocr', 2, 16)
    )
    supervisor.on_start(start_command('farrier', 9, 6))
    clock.advance(1600)
    supervisor.tick()
    assert reports[-1].tasks[0].phase == 'refused'
    worker.stopping['ocr']('70')
    assert worker.started == ['ocr']


def test_urgent_task_does_not_start_under_a_later_lease():
    """Guards against a second run of a task that was placed anew meanwhile.

    The VM is suspended beyond its lease while the urgent start waits. The next
    grant arrives before the preempted task's end.
    """
    supervisor, worker, clock, _, _ = task_supervisor(
        start_command('ocr', 2, 16)
    )
    supervisor.on_start(start_command('farrier', 9, 6))
    clock.advance(20_000)
    supervisor.on_grant(LeaseGrant(1, 1, 15_000, 60_000), clock.now())
    worker.stopping['ocr']('70')
    assert worker.started == ['ocr']


def test_task_cancelled_during_preemption_releases_its_resources():
    """An urgent task is cancelled while it waits for a preempted task.

    It must not start afterwards, and all resources must be free again.
    """
    supervisor, worker, _, ledger, _ = task_supervisor(
        start_command('ocr', 2, 16)
    )
    supervisor.on_start(start_command('farrier', 9, 6))
    supervisor.on_stop(StopTask('farrier', 1, 1, 1, 'cancel'))
    worker.stopping['ocr']('70')
    assert 'farrier' not in worker.stopping, 'the worker never received it'
    assert worker.started == ['ocr']
    assert ledger.free.cores == 16


def test_equally_urgent_task_and_keeper_are_not_preempted():
    supervisor, worker, _, _, reports = task_supervisor(
        start_command('round', 8, 8), start_command('keeper', 0, 8, 'keeper')
    )
    supervisor.on_start(start_command('farrier', 9, 6))
    assert not worker.stopping
    assert reports[-1].tasks[0].detail == 'no room'


def test_task_larger_than_declared_reserves_what_it_uses():
    supervisor, _, _, ledger, _ = task_supervisor(start_command('ocr', 2, 4))
    ledger.observe({'ocr': Resources(10, 2)})
    assert (ledger.free.cores, ledger.free.memory_gb) == (6, 56)


def test_throttle_needs_the_current_epoch_and_shows_in_the_usage():
    supervisor, worker, _, _, _ = task_supervisor(start_command('ocr', 2, 4))
    supervisor.on_throttle(ThrottleTask('ocr', 1, 0, 1, 0.25))
    assert not worker.shares
    supervisor.on_throttle(ThrottleTask('ocr', 1, 1, 1, 0.5))
    assert worker.shares == {'ocr': 0.5}
    (usage,) = supervisor.usage()
    assert (usage.running, usage.share) == (1, 0.5)


def test_tail_window_expires_and_reports_nothing_on_few_calls():
    window = TailWindow()
    for latency_ms in range(100):
        window.add(0, latency_ms)
    assert window.latency_ms(1000) == 95
    assert window.latency_ms(5000) == 95
    assert window.latency_ms(9000) == 0
