"""Best-effort beside latency-critical tasks: interference, placement, pace.

Decisions only, without a network, on hand-made workers and samples. Of nine
best-effort images, about two slow a given latency-critical image.
"""

from hyssopring.clock import ManualClock
from hyssopring.jobs.attempts import Attempt, Phase
from hyssopring.jobs.interference import InterferenceEstimate, InterferenceModel
from hyssopring.jobs.messages import TaskRequirements
from hyssopring.jobs.model import TaskName
from hyssopring.jobs.pacing import Pacer
from hyssopring.jobs.step_impact import NEGLIGIBLE_INTERFERENCE
from hyssopring.jobs.placement_round import PlacementRound
from standins.jobs.colocated import FILLER, KEEPER, LOUD, MILD, worker_with

SAMPLE_MS = 500


def attempt_of(step, load=0, pace=100, task='task'):
    facts = TaskRequirements(
        task,
        1,
        step.size.cpu_millis,
        step.size.memory_mb,
        0,
        step.target_ms,
        step.fills,
        step.image,
    )
    return Attempt(task, 1, 0, Phase.RUNNING, 0, facts, load=load, pace=pace)


def pacer_on(clock):
    return Pacer(clock, lambda attempt, pace: setattr(attempt, 'pace', pace))


def paces_after(task, *tails, pacer=None):
    """Return a best-effort task's pace after each sample of a tail."""
    clock = ManualClock()
    pacer = pacer or pacer_on(clock)
    paces = []
    for tail in tails:
        pacer._clock.advance(SAMPLE_MS)
        pacer.tick([task, attempt_of(KEEPER, tail, task='keeper')])
        paces.append(task.pace)
        task.load = 2000 * task.pace // 100
    return paces


def trained_pacer(samples=40):
    """Return a pacer with samples of MILD and LOUD starting and ending."""
    clock = ManualClock()
    pacer = pacer_on(clock)
    mild = attempt_of(MILD, 2000, task='mild')
    loud = attempt_of(LOUD, 2000, task='loud')
    phases = ([], [mild], [], [loud])
    for sample in range(samples):
        clock.advance(SAMPLE_MS)
        running = phases[sample % len(phases)]
        for task in running:
            task.pace = 100
        tail = 95 if loud in running else 35 + sample % 3
        pacer.tick([*running, attempt_of(KEEPER, tail, task='keeper')])
    mild.pace = loud.pace = 100
    return pacer, mild, loud


def test_task_is_throttled_while_tail_is_over_target():
    """An unknown pair is throttled at once, as far as needed."""
    paces = paces_after(attempt_of(FILLER, 2000), 70, 200)
    assert paces[0] == 100
    assert paces[1] <= 25


def test_task_is_throttled_before_a_rising_tail_reaches_its_target():
    """Guards against throttling only at the target, while load still rises.

    A sample covers the past half second, and a new pace acts later still: the
    tail was over its target for a second.
    """
    pacer, _mild, loud = trained_pacer()
    paces = paces_after(loud, 65, 75, 88, pacer=pacer)
    assert paces[0] == 100
    assert paces[-1] < 100


def test_pace_increases_only_as_far_as_a_rising_tail_allows():
    """Guards against spending headroom that rising load needs at once."""
    pacer, _mild, loud = trained_pacer()
    loud.pace, loud.load = 20, 400
    assert paces_after(loud, 72, pacer=pacer) == [20]
    assert paces_after(loud, 40, pacer=pacer)[0] > 20


def test_task_is_not_throttled_twice_for_one_peak():
    """Guards against throttling on each sample while the tail still falls.

    Samples lag by half a second. The use that was removed has to count as gone
    before a sample shows it; otherwise tasks are stopped for seconds.
    """
    pacer, _mild, loud = trained_pacer()
    paces = []
    for tail in (105, 100):
        pacer._clock.advance(SAMPLE_MS)
        pacer.tick([loud, attempt_of(KEEPER, tail, task='keeper')])
        paces.append(loud.pace)
    assert 0 < paces[0] < 90
    assert paces == [paces[0]] * 2


def test_repeated_sample_changes_a_pace_once():
    """Guards against throttling again on a listing with the same sample.

    A listing arrives early when a task ends: one sample reduced a pace from 81
    to 40 and, 54 ms later, to 20.
    """
    pacer, _mild, loud = trained_pacer()
    keeper = attempt_of(KEEPER, 105, task='keeper')
    pacer._clock.advance(SAMPLE_MS)
    pacer.tick([loud, keeper])
    throttled_pace = loud.pace
    pacer._clock.advance(54)
    pacer.tick([loud, keeper])
    assert throttled_pace < 100
    assert loud.pace == throttled_pace


def test_tail_that_stays_over_its_target_stops_best_effort_tasks():
    """Guards against an outdated model that leaves a task over its target.

    The interference of a pair may change within seconds. The tail fell slowly
    for 4 s, and no task was throttled again.
    """
    pacer, mild, loud = trained_pacer()
    paces = paces_after(mild, 400, 390, 380, 370, 360, 350, pacer=pacer)
    assert paces[-1] == 0
    assert paces_after(loud, 400, 390, 380, 370, 360, 350, pacer=pacer)[-1] == 0


def test_only_the_interfering_task_is_throttled():
    """Guards against throttling all images for the two that interfere."""
    pacer, mild, loud = trained_pacer()
    pacer._clock.advance(SAMPLE_MS)
    pacer.tick([mild, loud, attempt_of(KEEPER, 105, task='keeper')])
    assert mild.pace == 100
    assert 0 < loud.pace <= 85


def test_interfering_task_is_throttled_before_a_sample_shows_it():
    """Guards against samples from before the start of a task.

    A latency-critical task was over its target for a second at each start. That
    costs four times as much as a second in which a best-effort task waits.
    """
    pacer, mild, loud = trained_pacer()
    for task in (mild, loud):
        task.load = 0
    pacer._clock.advance(SAMPLE_MS)
    pacer.tick([mild, loud, attempt_of(KEEPER, 70, task='keeper')])
    assert mild.pace == 100
    assert loud.pace < 100


def test_task_without_interference_runs_on_while_load_peaks():
    """For 0.9 s over the target, only known interference is throttled."""
    pacer, mild, _loud = trained_pacer()
    assert paces_after(mild, 150, 150, pacer=pacer) == [100, 100]


def test_task_without_measured_tail_is_ignored():
    """Guards against a tail of 0, as listed by a new task, read as low."""
    task = attempt_of(FILLER, 0, pace=0)
    clock = ManualClock()
    pacer = pacer_on(clock)
    clock.advance(SAMPLE_MS)
    pacer.tick(
        [
            task,
            attempt_of(KEEPER, 0, task='new'),
            attempt_of(KEEPER, 140, task='keeper'),
        ],
    )
    assert task.pace == 0


def trained_model():
    """Return a model of a worker where MILD and LOUD start and end."""
    model = InterferenceModel()
    for sample in range(40):
        steps = ([], [MILD], [], [LOUD])[sample % 4]
        load = 95 if LOUD in steps else 35 + sample % 3
        worker = worker_with('observed', KEEPER, *steps, load=load)
        for placed in worker.best_effort_tasks():
            placed.load = 2000
        model.observe_workers([worker], sample * SAMPLE_MS)
    return model


def test_task_without_interference_is_placed_beside_a_keeper():
    """Guards against one rule for all images, which left all of them waiting.

    Few workers have no latency-critical task.
    """
    model = trained_model()
    workers = [
        worker_with('keepers', KEEPER, load=60),
        worker_with('fillers', *[FILLER] * 8),
    ]
    task_name = TaskName('new', 0, 0, 0)
    placement = PlacementRound(workers, model)
    mild = [
        placement.choose('service', MILD, task_name, False) for _ in range(2)
    ]
    assert mild == workers[:1] * 2
    assert placement.choose('service', LOUD, task_name, False) is None
    idle = worker_with('idle')
    placement = PlacementRound([*workers, idle], model)
    assert placement.choose('service', LOUD, task_name, False) is idle


class LowInterference:
    """A model in which each best-effort core takes 0.1 of headroom."""

    def per_core(self, _latency_critical, _best_effort):
        return InterferenceEstimate(0.1, 0)


def test_many_tasks_with_low_interference_leave_headroom():
    """Guards against interference that is negligible only for a single task.

    Each task takes 0.2 of headroom. Ten of them started at once: the tail was
    over its target for seconds, and all of them were throttled.
    """
    keeper = worker_with('keeper', KEEPER, load=52)
    placement = PlacementRound([keeper], LowInterference())
    task_names = [TaskName('new', 0, 0, number) for number in range(10)]
    started = [
        placement.choose('service', MILD, task_name, False)
        for task_name in task_names
    ]
    assert started.count(keeper) == 3


def test_rejected_task_does_not_reject_other_images():
    """Guards against a size that is rejected for all images alike.

    A task that is rejected for its interference rules out tasks of the same or
    a larger size only if they have the same image.
    """
    keeper = worker_with('keepers', KEEPER, FILLER, load=60)
    placement = PlacementRound([keeper], trained_model())
    task_name = TaskName('new', 0, 0, 0)
    assert placement.choose('service', LOUD, task_name, False) is None
    assert placement.choose('service', MILD, task_name, False) is keeper


def test_throttled_tasks_get_headroom_before_new_tasks():
    """The tail is low only because the tasks run at a tenth of their pace."""
    throttled = worker_with('throttled', KEEPER, *[MILD] * 6, load=50, pace=10)
    for placed in throttled.best_effort_tasks():
        placed.load = 200
    placement = PlacementRound([throttled], LowInterference())
    task_name = TaskName('new', 0, 0, 0)
    assert placement.choose('service', MILD, task_name, False) is None


def test_first_task_of_a_job_avoids_throttled_tasks():
    """Guards against CPU that counts as idle because tasks are throttled.

    Each job gets one task started even where it interferes. Workers with
    stopped tasks looked idle and attracted them: two of eleven workers had a
    third of all best-effort tasks, which ran at a quarter of their pace.
    """
    throttled = worker_with('throttled', KEEPER, *[FILLER] * 6, load=95, pace=0)
    other = worker_with('other', KEEPER, *[FILLER] * 3, load=95)
    placement = PlacementRound([throttled, other])
    task_name = TaskName('new', 0, 0, 0)
    assert placement.choose('service', FILLER, task_name, True) is other


def test_unknown_pair_counts_as_interfering():
    assert trained_model().per_core('keeper', 'unseen').upper_bound * 2 > (
        NEGLIGIBLE_INTERFERENCE
    )


def test_new_agent_sets_an_unknown_pace():
    """Guards against a task that stays stopped by the previous agent."""
    paces = paces_after(attempt_of(FILLER, pace=-1), 10, 10)
    assert 50 <= paces[0] < paces[1]


def test_best_effort_tasks_run_at_full_pace_on_their_own():
    task = attempt_of(FILLER, pace=0)
    clock = ManualClock()
    pacer = pacer_on(clock)
    for _sample in range(8):
        clock.advance(SAMPLE_MS)
        pacer.tick([task])
    assert task.pace == 100
