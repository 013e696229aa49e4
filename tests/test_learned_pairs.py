"""Interference where owners share what they learn: priors and known pairs."""

import math
import random
from collections import Counter

import pytest

from hyssopring.jobs.interference import (
    PRIOR,
    InterferenceModel,
    LatencySample,
)
from hyssopring.learning.learned_pairs import MAX_PAIRS, LearnedPairs
from hyssopring.learning.pairs import Pair
from hyssopring.learning.priors import PairPriors

KNOWN = 0.002
MANY_IMAGES = 60


def priors_from(mean_by_images, variance=KNOWN):
    priors = PairPriors(PRIOR)
    for _round in range(5):
        priors.update(
            (images, Pair(mean, variance))
            for images, mean in mean_by_images.items()
        )
    return priors


def test_without_known_pairs_the_prior_is_the_constant():
    assert priors_from({}).of_image('any') == PRIOR


def test_the_prior_of_an_image_comes_from_its_pairs_first():
    """Guards against one prior for harmless and harmful images."""
    priors = priors_from(
        {
            (f'keeper-{number}', image): mean
            for number in range(20)
            for image, mean in (('mild', 0.01), ('loud', 0.4))
        }
    )
    assert priors.of_image('mild').mean < 0.06
    assert priors.of_image('loud').mean > 0.33
    assert priors.of_image('loud').variance < PRIOR.variance
    assert 0.15 < priors.of_image('unknown').mean < 0.25


def test_a_prior_from_a_few_pairs_stays_near_the_constant():
    """Guards against two harmless pairs that open all keepers to an image."""
    priors = priors_from({('a', 'mild'): 0, ('b', 'mild'): 0})
    assert priors.of_image('mild').mean > PRIOR.mean / 4
    assert priors.of_image('mild').variance > PRIOR.variance / 3


def test_spread_pairs_keep_the_prior_uncertain():
    """Two of nine images interfere: an unknown one may be one of them."""
    priors = priors_from(
        {
            (f'keeper-{number}', f'image-{other}'): 0.4 if other < 2 else 0.01
            for number in range(10)
            for other in range(9)
        }
    )
    assert priors.of_image('unknown').variance ** 0.5 > 0.12


def test_pairs_that_repeat_the_prior_do_not_outvote_observed_ones():
    """Guards against pairs that were hardly observed and count as known.

    A hundred of them started from the prior that six harmless pairs gave. Six
    harmful pairs have to change it as if the hundred were not there.
    """
    mild = {(f'm{number}', 'image'): Pair(0.02, KNOWN) for number in range(6)}
    loud = {(f'l{number}', 'image'): Pair(0.4, KNOWN) for number in range(6)}
    without, priors = PairPriors(PRIOR), PairPriors(PRIOR)
    priors.update(mild.items())
    first = priors.of_image('image')
    repeated = {(f'r{number}', 'image'): first for number in range(100)}
    without.update((mild | loud).items())
    priors.update((mild | loud | repeated).items())
    expected = without.of_image('image')
    assert expected.mean > first.mean + 0.05
    assert priors.of_image('image').mean == pytest.approx(
        expected.mean, abs=0.01
    )


def test_estimates_are_merged_by_precision():
    merged = Pair(0.1, 0.01).merged(Pair(0.4, 0.02))
    assert merged.mean == pytest.approx(0.2)
    assert merged.variance == pytest.approx(0.01 * 0.02 / 0.03)


def observe(model, cost_by_image, samples=300, keeper='keeper', seed=1):
    """Show a model one task while the use of images changes."""
    rng = random.Random(seed)
    for number in range(samples):
        use = Counter(
            {image: rng.choice([0, 2000, 4000]) for image in cost_by_image}
        )
        headroom = 3 - sum(
            cost * use[image] / 1000 for image, cost in cost_by_image.items()
        )
        tail_ms = round(10_000 / (headroom + rng.gauss(0, 0.1)))
        sample = LatencySample('task', keeper, tail_ms, 10_000)
        model.observe_worker([sample], use, 500 * number)


def test_loaded_pairs_stand_for_observations():
    teacher = InterferenceModel(LearnedPairs(PRIOR))
    observe(teacher, {'mild': 0.01, 'loud': 0.3})
    pupil = InterferenceModel(LearnedPairs(PRIOR))
    pupil.add_learned(teacher.known_pairs())
    for image in ('mild', 'loud'):
        known, loaded = (
            model.per_core('keeper', image) for model in (teacher, pupil)
        )
        assert loaded == known
    assert pupil.per_core('keeper', 'loud').mean == pytest.approx(0.3, abs=0.05)


def test_pairs_loaded_late_are_merged_with_own_observations():
    pupil = InterferenceModel(LearnedPairs(PRIOR))
    observe(pupil, {'loud': 0.3}, samples=10)
    own = pupil.per_core('keeper', 'loud')
    pupil.add_learned([(('keeper', 'loud'), Pair(0.5, own.deviation**2))])
    merged = pupil.per_core('keeper', 'loud')
    assert merged.mean == pytest.approx((own.mean + 0.5) / 2)
    assert merged.deviation == pytest.approx(own.deviation / math.sqrt(2))


def test_a_wrong_loaded_pair_is_corrected_by_observations():
    """The interference of a pair may have changed since it was stored."""
    model = InterferenceModel(LearnedPairs(PRIOR))
    model.add_learned([(('keeper', 'image'), Pair(0.0, 0.01))])
    observe(model, {'image': 0.4})
    assert model.per_core('keeper', 'image').mean > 0.3


def test_new_images_are_learned_after_many_others():
    """Guards against a filter that is full of images no longer used.

    Pairs that it has put aside are still known.
    """
    model = InterferenceModel(LearnedPairs(PRIOR))
    for number in range(MANY_IMAGES):
        observe(model, {f'image-{number}': 0.3}, 40, seed=number)
    for number in (0, MANY_IMAGES - 1):
        estimate = model.per_core('keeper', f'image-{number}')
        assert estimate.mean == pytest.approx(0.3, abs=0.1)
    assert len(list(model.known_pairs())) == MANY_IMAGES


def test_without_learning_an_unknown_pair_keeps_the_constant():
    model = InterferenceModel()
    observe(model, {'mild': 0.0})
    model.add_learned([(('keeper', 'other'), Pair(0.5, 0.001))])
    unknown = model.per_core('keeper', 'other')
    assert (unknown.mean, unknown.deviation) == (0.15, 0.1**0.5)


def test_known_pairs_are_bounded_and_the_best_known_kept():
    learned = LearnedPairs(PRIOR)
    learned.add(('keeper', 'best'), Pair(0.3, KNOWN))
    for number in range(2 * MAX_PAIRS):
        learned.add(('keeper', f'{number}'), Pair(0.1, 0.05))
    assert len(list(learned)) <= MAX_PAIRS
    assert learned.start(('keeper', 'best')).mean == 0.3
