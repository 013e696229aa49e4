"""Estimates of interference that owners share with agents."""

import pytest

from hyssopring.clock import ManualClock
from hyssopring.jobs.attempts import Attempt, Phase
from hyssopring.jobs.interference import PRIOR, InterferenceEstimate
from hyssopring.jobs.messages import (
    Grant,
    PairEstimate,
    ShardEpoch,
    pack,
    unpack,
)
from hyssopring.jobs.pacing import Pacer
from hyssopring.jobs.scheduling_options import (
    LearningOptions,
    SchedulingOptions,
)
from hyssopring.jobs.shared_estimates import EstimateSender, ReceivedEstimates
from hyssopring.jobs.task_requirements import facts_of
from hyssopring.learning.owner_learning import OwnerLearning
from hyssopring.protocol.structs import read_struct, struct, write_struct
from standins.jobs.colocated import KEEPER, LOUD, MILD, worker_with

PRIOR_DEVIATION = PRIOR.variance**0.5
UNKNOWN = InterferenceEstimate(PRIOR.mean, PRIOR_DEVIATION)
SAMPLE_MS = 500


class Estimates:
    """Estimates by best-effort image, the same for all others."""

    def __init__(self, **estimate_by_image):
        self.estimate_by_image = estimate_by_image

    def per_core(self, _latency_critical, best_effort):
        return self.estimate_by_image.get(best_effort, UNKNOWN)


def attempt_of(step, load, task):
    return Attempt(
        task, 1, 0, Phase.RUNNING, 0, facts_of(task, 1, step), load=load
    )


def pace_beside_busy_task(received):
    """Return the pace of an image of which a new agent has no sample."""
    clock = ManualClock()
    pacer = Pacer(clock, lambda attempt, pace: setattr(attempt, 'pace', pace))
    pacer.received.add(received)
    task = attempt_of(MILD, 2000, 'mild')
    clock.advance(SAMPLE_MS)
    pacer.tick([task, attempt_of(KEEPER, 95, 'keeper')])
    return task.pace


def test_a_task_that_the_owner_knows_as_harmless_is_not_throttled():
    """Guards against harmless tasks throttled by agents without samples.

    Two fifths of all throttled tasks slowed no task on their worker.
    """
    assert pace_beside_busy_task([]) < 50
    harmless = PairEstimate('keeper', 'mild', 0, 40)
    assert pace_beside_busy_task([harmless]) == 100


def test_an_agent_keeps_its_own_estimate_if_it_is_more_certain():
    received = ReceivedEstimates()
    received.add([PairEstimate('keeper', 'mild', 300, 100)])
    pair = ('keeper', 'mild')
    own = InterferenceEstimate(0.1, 0.05)
    assert received.more_certain(pair, own) is own
    assert received.more_certain(pair, UNKNOWN) == InterferenceEstimate(
        0.3, 0.1
    )
    assert received.more_certain(('keeper', 'loud'), UNKNOWN) is UNKNOWN


def test_only_known_pairs_on_the_worker_are_sent():
    sender = EstimateSender(
        Estimates(
            mild=InterferenceEstimate(0.01, 0.05),
            other=InterferenceEstimate(0.01, 0.05),
        )
    )
    worker = worker_with('worker', KEEPER, MILD, LOUD)
    assert sender.unsent(worker) == [PairEstimate('keeper', 'mild', 10, 50)]


def test_an_estimate_is_sent_again_only_if_it_has_changed():
    """Guards against messages that grow with all that is known."""
    estimates = Estimates(mild=InterferenceEstimate(0.01, 0.05))
    sender = EstimateSender(estimates)
    worker = worker_with('worker', KEEPER, MILD)
    assert sender.unsent(worker)
    estimates.estimate_by_image['mild'] = InterferenceEstimate(0.02, 0.045)
    assert not sender.unsent(worker)
    estimates.estimate_by_image['mild'] = InterferenceEstimate(0.04, 0.045)
    assert sender.unsent(worker)
    estimates.estimate_by_image['mild'] = InterferenceEstimate(0.04, 0.03)
    assert sender.unsent(worker)


def test_all_estimates_are_sent_on_a_new_connection():
    """Guards against a restarted agent that never gets what was sent before."""
    sender = EstimateSender(Estimates(mild=InterferenceEstimate(0.01, 0.05)))
    worker = worker_with('worker', KEEPER, MILD)
    assert sender.unsent(worker)
    assert not sender.unsent(worker)
    worker.connection = 'entry/2'
    assert sender.unsent(worker)


def test_what_was_sent_to_a_lost_agent_is_forgotten():
    sender = EstimateSender(Estimates(mild=InterferenceEstimate(0.01, 0.05)))
    worker = worker_with('worker', KEEPER, MILD)
    assert sender.unsent(worker)
    sender.retain([])
    assert sender.unsent(worker)


def test_received_estimates_are_bounded():
    received = ReceivedEstimates()
    received.add(
        PairEstimate('keeper', f'{number}', 0, 10) for number in range(1500)
    )
    assert received.more_certain(('keeper', '0'), UNKNOWN) is UNKNOWN
    assert received.more_certain(('keeper', '1499'), UNKNOWN).mean == 0


@pytest.mark.parametrize('estimates', [[], [PairEstimate('a', 'b', 10, 50)]])
def test_a_grant_carries_estimates(estimates):
    grant = unpack(pack(Grant(1, [], 5000, estimates)))
    assert list(grant.interference) == estimates


@struct
class FormerGrant:
    """A grant as the release before reads and writes it."""

    sequence: int
    reigns: list[ShardEpoch]
    ttl_ms: int


def test_the_release_before_reads_a_grant_with_estimates():
    """Guards against agents that refuse the grants of a newer owner."""
    grant = Grant(1, [ShardEpoch(0, 2)], 5000, [PairEstimate('a', 'b', 1, 2)])
    former = read_struct(FormerGrant, write_struct(grant))
    assert (former.sequence, former.reigns, former.ttl_ms) == (
        1,
        [ShardEpoch(0, 2)],
        5000,
    )


def test_a_grant_of_the_release_before_carries_no_estimates():
    former = FormerGrant(1, [], 5000)
    assert not read_struct(Grant, write_struct(former)).interference


def test_without_learning_nothing_is_sent():
    worker = worker_with('worker', KEEPER, MILD)
    for options, count in (
        (SchedulingOptions(), 0),
        (SchedulingOptions(learning=LearningOptions()), 1),
    ):
        learning = OwnerLearning(ManualClock(), lambda: 0, options)
        learning.interference.per_core = Estimates(
            mild=InterferenceEstimate(0, 0.05)
        ).per_core
        assert len(learning.unsent_estimates(worker)) == count
