"""Log lines that tell what keeps the tasks of a queue from starting."""

from dataclasses import replace

import pytest

from hyssopring.jobs.interference import InterferenceEstimate, InterferenceModel
from hyssopring.jobs.model import Size, TaskName
from hyssopring.jobs.placement_obstacles import PlacementObstacle
from hyssopring.jobs.placement_round import PlacementRound
from hyssopring.logs import Event
from hyssopring.logs import _emit as emit
from standins.jobs.colocated import FILLER, KEEPER, QUICK, worker_with
from tests.fairness_support import BURST, Burst

TASK = TaskName('job', 0, 0, 0)
# Headrooms of 1 and of 4 at a target of 100 ms.
HIGH_TAIL_MS, LOW_TAIL_MS = 100, 25


class Harmless:
    """Estimates by which no best-effort task interferes."""

    def per_core(self, _latency_critical_image, _best_effort_image):
        return InterferenceEstimate(0, 0.01)


def obstacle(step, *steps, estimates=None, **report):
    """Return what keeps a step's task off a worker with other tasks."""
    worker = worker_with('worker', *steps, **report)
    placement = PlacementRound([worker], estimates or InterferenceModel())
    ((found, count),) = placement.obstacles('service', step, TASK).items()
    assert count == 1
    return found


@pytest.mark.parametrize(
    ('step', 'steps', 'report', 'expected'),
    (
        (FILLER, (), {}, PlacementObstacle.NONE),
        (replace(FILLER, label='x'), (), {}, PlacementObstacle.LABEL),
        (
            replace(FILLER, size=Size(2000, 99_000, 0)),
            (),
            {},
            PlacementObstacle.RESERVED,
        ),
        (QUICK, (KEEPER,) * 6, {}, PlacementObstacle.RESERVED),
        (FILLER, (FILLER,) * 8, {}, PlacementObstacle.IDLE_CPU),
        (
            FILLER,
            (KEEPER,),
            {'load': HIGH_TAIL_MS},
            PlacementObstacle.HIGH_INTERFERENCE,
        ),
    ),
)
def test_obstacle(step, steps, report, expected):
    if step is QUICK:
        steps = (replace(KEEPER, size=Size(2650, 6000, 0)),) * len(steps)
    assert obstacle(step, *steps, **report) is expected


def test_harmless_task_lacks_headroom_only():
    found = obstacle(FILLER, KEEPER, load=HIGH_TAIL_MS, estimates=Harmless())
    assert found is PlacementObstacle.HEADROOM
    found = obstacle(FILLER, KEEPER, load=LOW_TAIL_MS, estimates=Harmless())
    assert found is PlacementObstacle.NONE


def test_queue_that_waits_is_logged_with_its_obstacles(monkeypatch):
    """Guards against a kind of job that starves without a reason in the log."""
    found = []
    monkeypatch.setattr(
        emit,
        '_listeners',
        [lambda event, fields: found.append((event, fields))],
    )
    burst = Burst()
    burst.play(4, {'east': 2 * BURST}, {'east': 8})
    lines = [fields for event, fields in found if event is Event.QUEUE_WAITS]
    # The next line of a queue follows after 5 s.
    assert len(lines) == len({fields['queue'] for fields in lines})
    (fields,) = lines
    assert fields['jobs'] > 0
    assert fields['tasks'] > 0
    assert fields['running'] > 0
    assert sum(
        int(part.split('=')[1]) for part in fields['obstacles'].split()
    ) == len(burst.deployment.workers)
