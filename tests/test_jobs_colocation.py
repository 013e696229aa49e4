"""Fillers beside keepers: what is learned, where they go, how fast they work.

No network: decisions only, on workers and figures made by hand. Answers the
pattern of nine images of fillers of which two disturb a keeper's image.
"""

from hyssopring.clock import ManualClock
from hyssopring.jobs.attempts import Attempt, Phase
from hyssopring.jobs.placement_round import PlacementRound
from hyssopring.jobs.interference import InterferenceEstimate, InterferenceModel
from hyssopring.jobs.messages import TaskFacts
from hyssopring.jobs.model import TaskName
from hyssopring.jobs.placement_option import NEGLIGIBLE_INTERFERENCE
from hyssopring.jobs.pacing import Pacer
from standins.jobs.colocated import FILLER, KEEPER, LOUD, MILD, worker_with

FIGURE_MS = 500


def attempt_of(step, load=0, pace=100, task='task'):
    facts = TaskFacts(
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


def paces(filler, *tails, pacer=None):
    """The filler's pace after each figure of a keeper's tail."""
    clock = ManualClock()
    pacer = pacer or pacer_on(clock)
    seen = []
    for tail in tails:
        pacer._clock.advance(FIGURE_MS)
        pacer.tick([filler, attempt_of(KEEPER, tail, task='keeper')])
        seen.append(filler.pace)
        filler.load = 2000 * filler.pace // 100
    return seen


def learned_pacer(figures=40):
    """A pacer that has seen MILD and LOUD come and go beside a keeper."""
    clock = ManualClock()
    pacer = pacer_on(clock)
    mild = attempt_of(MILD, 2000, task='mild')
    loud = attempt_of(LOUD, 2000, task='loud')
    beside = ([], [mild], [], [loud])
    for look in range(figures):
        clock.advance(FIGURE_MS)
        fillers = beside[look % len(beside)]
        for filler in fillers:
            filler.pace = 100
        tail = 95 if loud in fillers else 35 + look % 3
        pacer.tick([*fillers, attempt_of(KEEPER, tail, task='keeper')])
    mild.pace = loud.pace = 100
    return pacer, mild, loud


def test_a_filler_is_slowed_while_a_tail_is_over_its_target():
    """Nothing is known of the pair: it is slowed at once, as far as needed."""
    seen = paces(attempt_of(FILLER, 2000), 70, 200)
    assert seen[0] == 100
    assert seen[1] <= 25


def test_a_filler_is_slowed_before_a_rising_tail_reaches_its_target():
    """A keeper's load rises for seconds, with the same filler beside it.

    A figure tells of half a second that has gone by, and a cut acts later
    still: first cut at the target, the keeper was over it for a second.
    """
    pacer, _mild, loud = learned_pacer()
    seen = paces(loud, 65, 75, 88, pacer=pacer)
    assert seen[0] == 100
    assert seen[-1] < 100


def test_a_pace_rises_no_further_than_a_rising_tail_allows():
    """Headroom that is given away at once is missing half a second later."""
    pacer, _mild, loud = learned_pacer()
    loud.pace, loud.load = 20, 400
    assert paces(loud, 72, pacer=pacer) == [20]
    assert paces(loud, 40, pacer=pacer)[0] > 20


def test_a_falling_tail_is_not_cut_twice():
    """The figures lag by half a second and fall for some looks after a cut.

    A cut at each of them holds the fillers still for seconds, for one peak:
    what was cut counts as gone before the figures show it.
    """
    pacer, _mild, loud = learned_pacer()
    seen = []
    for tail in (105, 100):
        pacer._clock.advance(FIGURE_MS)
        pacer.tick([loud, attempt_of(KEEPER, tail, task='keeper')])
        seen.append(loud.pace)
    assert 0 < seen[0] < 90
    assert seen == [seen[0]] * 2


def test_a_figure_that_is_told_twice_moves_a_pace_once():
    """A task that ends brings a listing early, with the figures of the last.

    One figure cut a pace from 81 to 40 and, 54 ms later, to 20.
    """
    pacer, _mild, loud = learned_pacer()
    keeper = attempt_of(KEEPER, 105, task='keeper')
    pacer._clock.advance(FIGURE_MS)
    pacer.tick([loud, keeper])
    cut = loud.pace
    pacer._clock.advance(54)
    pacer.tick([loud, keeper])
    assert cut < 100
    assert loud.pace == cut


def test_a_tail_that_stays_over_its_target_stops_the_fillers():
    """It fell by little at each figure for 4 s, and was never cut again.

    What is known of the pair may have changed within seconds: whatever the
    model says, nothing works on beside a keeper that is over its target.
    """
    pacer, mild, loud = learned_pacer()
    seen = paces(mild, 400, 390, 380, 370, 360, 350, pacer=pacer)
    assert seen[-1] == 0
    assert paces(loud, 400, 390, 380, 370, 360, 350, pacer=pacer)[-1] == 0


def test_the_filler_that_harms_is_cut_and_the_other_is_not():
    """Of nine images two disturbed a keeper, and all were cut alike."""
    pacer, mild, loud = learned_pacer()
    pacer._clock.advance(FIGURE_MS)
    pacer.tick([mild, loud, attempt_of(KEEPER, 105, task='keeper')])
    assert mild.pace == 100
    assert 0 < loud.pace <= 85


def test_a_filler_that_is_known_to_harm_is_cut_before_the_tail_shows_it():
    """It has just started: the figures are of the time before it.

    A keeper was over its target for a second each time, four times dearer than
    a second in which a filler waits.
    """
    pacer, mild, loud = learned_pacer()
    for filler in (mild, loud):
        filler.load = 0
    pacer._clock.advance(FIGURE_MS)
    pacer.tick([mild, loud, attempt_of(KEEPER, 70, task='keeper')])
    assert mild.pace == 100
    assert loud.pace < 100


def test_a_keeper_that_is_over_its_target_by_itself_stops_no_harmless_filler():
    """Its own load swings: for 0.9 s only those known to harm are cut."""
    pacer, mild, _loud = learned_pacer()
    assert paces(mild, 150, 150, pacer=pacer) == [100, 100]


def test_a_keeper_without_a_tail_yet_says_nothing():
    """A new keeper lists 0 until it is at work: that is no good tail."""
    filler = attempt_of(FILLER, 0, pace=0)
    clock = ManualClock()
    pacer = pacer_on(clock)
    clock.advance(FIGURE_MS)
    pacer.tick(
        [
            filler,
            attempt_of(KEEPER, 0, task='new'),
            attempt_of(KEEPER, 140, task='keeper'),
        ],
    )
    assert filler.pace == 0


def learned_harms():
    """Pairs as they are learned from a worker where fillers come and go."""
    harms = InterferenceModel()
    for look in range(40):
        steps = ([], [MILD], [], [LOUD])[look % 4]
        load = 95 if LOUD in steps else 35 + look % 3
        worker = worker_with('seen', KEEPER, *steps, load=load)
        for placed in worker.best_effort_tasks():
            placed.load = 2000
        harms.observe_workers([worker], look * FIGURE_MS)
    return harms


def test_fillers_go_beside_keepers_that_do_not_mind_them():
    """Few workers are quiet: all else waits, or harms whoever it is beside.

    A yes or no for all images alike kept the harmless ones waiting.
    """
    harms = learned_harms()
    workers = [
        worker_with('keepers', KEEPER, load=60),
        worker_with('fillers', *[FILLER] * 8),
    ]
    name = TaskName('new', 0, 0, 0)
    placement = PlacementRound(workers, harms)
    mild = [placement.choose('service', MILD, name, False) for _ in range(2)]
    assert mild == workers[:1] * 2
    assert placement.choose('service', LOUD, name, False) is None
    quiet = worker_with('quiet')
    placement = PlacementRound([*workers, quiet], harms)
    assert placement.choose('service', LOUD, name, False) is quiet


class MildHarms:
    """Each core of any filler takes a tenth of headroom, for sure."""

    def per_core(self, _keeper, _filler):
        return InterferenceEstimate(0.1, 0)


def test_harmless_fillers_together_leave_a_keeper_headroom():
    """Each takes 0.2 of a keeper's headroom, which nobody minds.

    Ten of them were started beside it at once, as each was harmless by itself:
    it was over its target for seconds, and all of them were slowed down.
    """
    keeper = worker_with('keeper', KEEPER, load=52)
    placement = PlacementRound([keeper], MildHarms())
    names = [TaskName('new', 0, 0, number) for number in range(10)]
    started = [placement.choose('service', MILD, name, False) for name in names]
    assert started.count(keeper) == 3


def test_a_filler_that_finds_no_place_keeps_no_other_image_waiting():
    """The first in line harms; the next one, which is no smaller, does not.

    That a task has found no room says the same of larger ones, but nothing of
    those that the keepers do not mind.
    """
    keeper = worker_with('keepers', KEEPER, FILLER, load=60)
    placement = PlacementRound([keeper], learned_harms())
    name = TaskName('new', 0, 0, 0)
    assert placement.choose('service', LOUD, name, False) is None
    assert placement.choose('service', MILD, name, False) is keeper


def test_fillers_that_are_held_back_take_the_headroom_that_comes_first():
    """One works at a tenth of its pace; its keeper does well by that."""
    held = worker_with('held', KEEPER, *[MILD] * 6, load=50, pace=10)
    for placed in held.best_effort_tasks():
        placed.load = 200
    placement = PlacementRound([held], MildHarms())
    name = TaskName('new', 0, 0, 0)
    assert placement.choose('service', MILD, name, False) is None


def test_a_job_s_first_task_does_not_join_those_that_are_held_back():
    """Jobs wait for headroom, and each gets one task started all the same.

    Fillers that are held still use no processor time, so that their worker
    looked idle and drew the first task of each job: two of eleven workers held
    a third of all fillers, which got on at a quarter of their pace.
    """
    held = worker_with('held', KEEPER, *[FILLER] * 6, load=95, pace=0)
    other = worker_with('other', KEEPER, *[FILLER] * 3, load=95)
    placement = PlacementRound([held, other])
    name = TaskName('new', 0, 0, 0)
    assert placement.choose('service', FILLER, name, True) is other


def test_a_pair_that_was_not_seen_counts_for_harmful():
    assert learned_harms().per_core('keeper', 'unseen').upper_bound * 2 > (
        NEGLIGIBLE_INTERFERENCE
    )


def test_a_new_agent_sets_a_pace_that_it_does_not_know():
    """Its predecessor had set nothing at all, and the filler stood still."""
    seen = paces(attempt_of(FILLER, pace=-1), 10, 10)
    assert 50 <= seen[0] < seen[1]


def test_fillers_without_keepers_beside_them_work_at_full_pace():
    filler = attempt_of(FILLER, pace=0)
    clock = ManualClock()
    pacer = pacer_on(clock)
    for _look in range(8):
        clock.advance(FIGURE_MS)
        pacer.tick([filler])
    assert filler.pace == 100
