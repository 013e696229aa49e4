"""Builds workers with keepers and best-effort tasks for unit tests."""

from dataclasses import replace

from hyssopring.jobs.fleet import PlacedAttempt, Worker
from hyssopring.jobs.messages import WorkerReport
from hyssopring.jobs.model import Size, Step, TaskName

FILLER = Step(
    1, Size(2000, 2000, 0), 3000, fills=True, saves=True, image='filler'
)
KEEPER = Step(
    1, Size(3000, 6000, 0), 0, is_keeper=True, target_ms=100, image='keeper'
)
LOUD = replace(FILLER, image='loud')
MILD = replace(FILLER, image='mild')
QUICK = Step(1, Size(300, 500, 0), 1000)


def worker_with(name, *steps, load=0, pace=100):
    """Return a worker of 16 cores that runs one task of each step."""
    report = WorkerReport(
        1,
        f'boot-{name}',
        'service',
        ['a', 'r1'],
        16_000,
        64_000,
        0,
        False,
        0,
        0,
        [],
        [],
        [],
        0,
        0,
        0,
        0,
    )
    worker = Worker(name, 'zone', is_connected=True, report=report)
    for number, step in enumerate(steps):
        placed = PlacedAttempt(
            TaskName(f'{name}{number}', 0, 0, 0),
            1,
            step,
            report.boot,
            0,
            0,
            report_count=9,
        )
        placed.load = (
            load if step.target_ms else step.size.cpu_millis * pace // 100
        )
        placed.pace = pace
        worker.placed_by_task[str(placed.name)] = placed
    return worker
