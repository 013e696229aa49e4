"""Placement of latency-critical images by what they tolerate."""

from dataclasses import replace

import pytest

from hyssopring.jobs.image_tolerance import ImageTolerance
from hyssopring.jobs.interference import PRIOR, InterferenceEstimate
from hyssopring.jobs.model import Size, TaskName
from hyssopring.jobs.placement_round import PlacementRound
from standins.jobs.colocated import FILLER, KEEPER, worker_with

UNKNOWN = InterferenceEstimate(PRIOR.mean, PRIOR.variance**0.5)
TOLERATED = InterferenceEstimate(0.01, 0.03)
HARMFUL = InterferenceEstimate(0.5, 0.05)
CACHE_IMAGES = ('cache-1', 'cache-2')
DISK_IMAGES = ('disk-1', 'disk-2')


class Estimates:
    """Best-effort images harm the keepers with the same resource."""

    def per_core(self, latency_critical, best_effort):
        resource = best_effort.partition('-')[0]
        if latency_critical.startswith(resource):
            return HARMFUL
        return TOLERATED


class NothingKnown:
    """No pair has been observed."""

    def per_core(self, _latency_critical, _best_effort):
        return UNKNOWN


def keeper(image):
    return replace(KEEPER, image=image, size=Size(3000, 6000, 0))


def chosen(tolerance, step, *workers):
    """Return the name of the worker that a task of a step is placed on."""
    placement = PlacementRound(workers, Estimates(), tolerance=tolerance)
    worker = placement.choose(
        'service', step, TaskName('new', 0, 0, 0), is_starved=False
    )
    return worker.agent_id


def chosen_beside(tolerance, image, *workers):
    return chosen(tolerance, keeper(image), *workers)


@pytest.fixture
def known():
    return ImageTolerance(Estimates(), ('cache-job', 'disk-job'))


def test_images_with_one_resource_tolerate_as_much_as_one_of_them(known):
    alone = known.tolerated_share(frozenset(CACHE_IMAGES[:1]))
    assert alone == pytest.approx(0.5, abs=0.01)
    together = known.tolerated_share(frozenset(CACHE_IMAGES))
    assert together == pytest.approx(0.5, abs=0.01)
    assert known.tolerated_share(frozenset()) == 1


def test_images_with_different_resources_tolerate_nothing_together(known):
    mixed = frozenset((CACHE_IMAGES[0], DISK_IMAGES[0]))
    assert known.tolerated_share(mixed) == pytest.approx(0, abs=0.01)


def test_a_keeper_joins_those_with_its_resource(known):
    """Guards against mixed keepers that leave no worker to any wide job.

    The other worker has more idle CPU.
    """
    cache = worker_with('a', *[keeper(CACHE_IMAGES[0])] * 3, load=50)
    disk = worker_with('b', keeper(DISK_IMAGES[0]), load=50)
    assert chosen_beside(known, CACHE_IMAGES[1], cache, disk) == 'a'
    assert chosen_beside(known, DISK_IMAGES[1], cache, disk) == 'b'


def test_keepers_of_one_image_stay_together_while_nothing_is_known():
    """Guards against keepers that are mixed as they arrive, all at once."""
    first = worker_with('a', *[keeper('one')] * 3, load=50)
    second = worker_with('b', keeper('two'), load=50)
    for images in ((), ('job-1', 'job-2')):
        unknown = ImageTolerance(NothingKnown(), images)
        assert chosen_beside(unknown, 'one', first, second) == 'a'
        assert chosen_beside(unknown, 'two', first, second) == 'b'


def test_an_image_that_all_tolerate_leaves_the_best_workers_to_others(known):
    """Guards against wide jobs kept off the only workers that tolerate them.

    The worker with one resource has more idle CPU.
    """
    cache = worker_with('a', *[keeper(CACHE_IMAGES[0])] * 2, load=50)
    mixed = worker_with(
        'b', *map(keeper, (*CACHE_IMAGES, *DISK_IMAGES)), load=50
    )
    mild = replace(FILLER, image='mild-job')
    assert chosen(known, mild, cache, mixed) == 'b'
    assert chosen(known, replace(mild, image='disk-job'), cache, mixed) == 'a'
