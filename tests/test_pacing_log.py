"""What agents log about throttled tasks."""

from dataclasses import replace

from hyssopring.clock import ManualClock
from hyssopring.jobs.attempts import Attempt, Phase
from hyssopring.jobs.messages import PairEstimate
from hyssopring.jobs.pacing import Pacer
from hyssopring.jobs.task_requirements import facts_of
from hyssopring.logs import Event
from standins.jobs.colocated import KEEPER, LOUD

SAMPLE_MS = 500
BUSY = replace(KEEPER, image='busy')
SENSITIVE = replace(KEEPER, image='sensitive')


def attempt_of(step, load, task):
    return Attempt(
        task, 1, 0, Phase.RUNNING, 0, facts_of(task, 1, step), load=load
    )


def test_the_log_names_the_task_for_which_another_one_is_throttled(
    log_lines,
):
    """Guards against a log that blames a keeper that is over by its own load."""
    clock = ManualClock()
    pacer = Pacer(clock, lambda attempt, pace: setattr(attempt, 'pace', pace))
    pacer.received.add(
        [
            PairEstimate('busy', 'loud', 0, 20),
            PairEstimate('sensitive', 'loud', 400, 20),
        ]
    )
    clock.advance(SAMPLE_MS)
    pacer.tick(
        [
            attempt_of(LOUD, 2000, 'loud'),
            attempt_of(BUSY, 130, 'busy.0.0.0'),
            attempt_of(SENSITIVE, 95, 'sensitive.0.0.0'),
        ]
    )
    (paced,) = [line for line in log_lines if line['event'] is Event.TASK_PACED]
    assert paced['pace'] < paced['before']
    assert paced['keeper'] == 'sensitive.0.0.0'
    assert (paced['keeper_image'], paced['image']) == ('sensitive', 'loud')
    assert paced['harm'] == 0.4
