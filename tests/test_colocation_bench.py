"""Days of keepers and fillers in virtual time, and what they show.

Answers the pattern of keepers that reserve most of the workers, in waves of
load, beside more fillers than there is room for. No network.
"""

from twisted.internet.task import Clock

from bench.colocation import play, table
from bench.colocation_variants import AS_IT_IS
from hyssopring.jobs.model import Size, Step
from hyssopring.jobs.worker_port import StartRequest
from standins.jobs.interference import Interference
from standins.jobs.shared_worker import KeeperTimes, SharedWorker
from standins.jobs.book import Book

SEED = 101
NO_CONTROL = 'no control'


class Site:
    """A keeper and a filler, as a worker asks for them."""

    def __init__(self, interference):
        self.times = KeeperTimes()
        self._steps = {
            'k': Step(
                1,
                Size(8000, 1000, 0),
                is_keeper=True,
                image=interference.keeper_images[0],
                target_ms=18,
            ),
            'f': Step(
                1,
                Size(4000, 1000, 0),
                image=interference.filler_images[0],
                fills=True,
                saves=True,
            ),
        }

    def step_of(self, task):
        return self._steps[task[0]]

    def work_s(self, _task):
        return 2

    def appetite(self, _task):
        return 1


def worker_of(cores):
    """A worker that runs one keeper and one filler, after a second."""
    reactor, book = Clock(), Book()
    interference = Interference(1)
    worker = SharedWorker(
        reactor,
        'worker-0',
        book,
        Size(cores * 1000, 16_000, 0),
        interference,
        Site(interference),
    )
    for task in ('k.0.0.0', 'f.0.0.0'):
        start = StartRequest(worker.boot, 1, task, 1, 'x', '', 100_000)
        book.sizes[task.split('.')[0]] = Size()
        worker.start(start)
    run(reactor, worker, 1)
    return reactor, worker


def run(reactor, worker, seconds):
    for _step in range(round(seconds * 50)):
        reactor.advance(0.02)
        worker.settle()


def test_a_filler_ends_after_its_work_at_its_pace():
    reactor, worker = worker_of(cores=32)
    assert 'f.0.0.0' in worker.runs
    run(reactor, worker, 1.1)
    assert 'f.0.0.0' not in worker.runs
    assert 'k.0.0.0' in worker.runs


def test_a_filler_that_is_held_still_ends_later():
    reactor, worker = worker_of(cores=32)
    worker.set_pace(worker.boot, 1, 'f.0.0.0', 1, 0)
    run(reactor, worker, 2)
    assert 'f.0.0.0' in worker.runs
    worker.set_pace(worker.boot, 1, 'f.0.0.0', 1, 100)
    run(reactor, worker, 1.2)
    assert 'f.0.0.0' not in worker.runs


def test_a_filler_gets_only_what_keepers_leave():
    reactor, worker = worker_of(cores=8)
    run(reactor, worker, 1)
    used = worker.used_core_s
    assert 0 < used < 2 * 4


def test_without_control_fillers_harm_keepers_and_less_is_served():
    """Fillers start wherever memory is free, and none is ever slowed.

    Large jobs end sooner, and keepers are over their targets for minutes.
    """
    scores = {name: [play(name, SEED)] for name in (AS_IT_IS, NO_CONTROL)}
    (controlled,), (free,) = scores.values()
    assert controlled.worth > free.worth
    assert controlled.harmed_s < free.harmed_s / 2
    assert controlled.large > 0.3
    assert len(list(table(scores))) == 4
