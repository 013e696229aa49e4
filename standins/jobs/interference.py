"""A simulated model of interference between colocated tasks, by a seed.

The tail latency of a keeper grows as in a queue: it is the base latency
divided by the remaining share of its capacity. Its own load takes a periodic
share of the capacity, and so does each core that a best-effort task uses, by
an amount for each pair of images. Most pairs hardly interfere and a few do a
lot; all amounts vary over time. Which ones is drawn for each pair, or follows
from resources such as a cache or a disk, on which keepers depend and which
best-effort tasks press. Keepers of one image have the same load, or only those
of one job, as behind one load balancer.
"""

import math
import random
from dataclasses import dataclass

KEEPER_IMAGES = 5
FILLER_IMAGES = 9
# Shares of a keeper's capacity that a core of a best-effort task takes.
INTERFERING_PART = 0.65
NEGLIGIBLE_SHARE = 0.003
MEAN_SHARE = 0.03
MAX_SHARE = 0.1
# Ranges of a keeper's mean load, its swing and its period in seconds.
LOAD = (0.36, 0.46)
LOAD_SWING = (0.3, 0.55)
LOAD_PERIOD_S = (8, 14)
# Minimum remaining capacity, so that the tail latency stays finite.
MIN_REMAINING_SHARE = 0.02


@dataclass(frozen=True)
class PairKinds:
    """Two kinds of pairs of images: a strong interference, or almost none.

    Attributes:
        strong_part: The part of all pairs that interfere strongly.
        strong: The range of the share of a keeper's capacity that a core
            takes.
        weak: The same for the other pairs.
    """

    strong_part: float
    strong: tuple[float, float]
    weak: tuple[float, float]


@dataclass(frozen=True)
class ResourceKinds:
    """Strong interference of the images that share a resource.

    A best-effort image presses one resource or none. A latency-critical image
    depends on one or two. Pairs without a common resource hardly interfere.

    Attributes:
        resources: The number of resources.
        idle_part: The part of best-effort images that press no resource.
        double_part: The part of latency-critical images that depend on two.
        strong: The range of the share of a keeper's capacity that a core
            takes through a common resource.
        weak: The same for the other pairs.
    """

    resources: int
    idle_part: float
    double_part: float
    strong: tuple[float, float]
    weak: tuple[float, float]

    def draw_pressed(self, generator):
        """Draw the resource that a best-effort image presses, or None."""
        if generator.random() < self.idle_part:
            return None
        return generator.randrange(self.resources)

    def draw_needed(self, generator):
        """Draw the resources that a latency-critical image depends on."""
        count = 2 if generator.random() < self.double_part else 1
        return generator.sample(range(self.resources), count)


@dataclass(frozen=True)
class Wave:
    """A share of a keeper's capacity that varies as a sine of time.

    Attributes:
        swing: Amplitude, as a part of the mean.
        phase: Phase at time 0, from 0 to 1.
    """

    mean: float
    swing: float
    period_s: float
    phase: float

    def at(self, now_s):
        """Return the share at a time in seconds."""
        angle = math.tau * (now_s / self.period_s + self.phase)
        return self.mean * (1 + self.swing * math.sin(angle))


class Interference:
    """The load of keepers and the interference of best-effort tasks.

    Attributes:
        base_ms: The tail latency of an idle keeper.
        noise: Standard deviation of a reported tail latency, as a part of it.
        load_by_image: Share of its capacity that a keeper uses, by image.
        interference_by_images: Share of a keeper's capacity that a core of a
            best-effort task takes, by the images of both.
    """

    def __init__(
        self,
        seed,
        is_synchronous=True,
        keeper_images=KEEPER_IMAGES,
        filler_images=FILLER_IMAGES,
        mean_share=MEAN_SHARE,
        load=LOAD,
        load_swing=LOAD_SWING,
        load_period_s=LOAD_PERIOD_S,
        pair_kinds=None,
        has_load_by_job=False,
    ):
        """Draw the model; ``is_synchronous`` gives all loads similar phases.

        Args:
            mean_share: The mean of what a core of an interfering best-effort
                task takes of a keeper's capacity.
            load: The range of a keeper's mean load; the next two are those of
                its swing and period.
            pair_kinds: Draws pairs of two kinds, each for itself or by
                resources; None for a continuum.
            has_load_by_job: Whether each job of keepers has its own load.
        """
        generator = random.Random(f'interference {seed}')
        self._seed = seed
        self._pair_kinds = pair_kinds
        self._has_load_by_job = has_load_by_job
        self._load_ranges = (load, load_swing, load_period_s)
        self._load_by_job = {}
        self.keeper_images = [f'keeper-{n}' for n in range(keeper_images)]
        self.filler_images = [f'filler-{n}' for n in range(filler_images)]
        self.noise = generator.uniform(0.05, 0.12)
        self.base_ms = generator.choice([4, 4, 8])
        common = generator.random()
        self.load_by_image = {
            image: Wave(
                generator.uniform(*load),
                generator.uniform(*load_swing),
                generator.uniform(*load_period_s),
                common + generator.uniform(-0.1, 0.1)
                if is_synchronous
                else generator.random(),
            )
            for image in self.keeper_images
        }
        self._draw_resources(generator)
        self.interference_by_images = {
            (keeper, filler): self._draw_interference(
                generator, mean_share, (keeper, filler)
            )
            for keeper in self.keeper_images
            for filler in self.filler_images
        }

    def load_of(self, keeper, job_id=''):
        """Return the load of the keepers of an image in a job."""
        if not self._has_load_by_job:
            return self.load_by_image[keeper]
        if job_id not in self._load_by_job:
            generator = random.Random(f'load {self._seed} {job_id}')
            load, swing, period_s = self._load_ranges
            self._load_by_job[job_id] = Wave(
                generator.uniform(*load),
                generator.uniform(*swing),
                generator.uniform(*period_s),
                generator.random(),
            )
        return self._load_by_job[job_id]

    def tail_ms(self, keeper, cores_by_filler, now_s, job_id=''):
        """Return a keeper's tail latency beside best-effort tasks."""
        used_share = self.load_of(keeper, job_id).at(now_s)
        for filler, cores in cores_by_filler.items():
            used_share += cores * self.interference_by_images[
                keeper, filler
            ].at(now_s)
        return self.base_ms / max(MIN_REMAINING_SHARE, 1 - used_share)

    def _draw_resources(self, generator):
        self._needed_by_image = {}
        self._pressed_by_image = {}
        kinds = self._pair_kinds
        if isinstance(kinds, ResourceKinds):
            for image in self.keeper_images:
                self._needed_by_image[image] = kinds.draw_needed(generator)
            for image in self.filler_images:
                self._pressed_by_image[image] = kinds.draw_pressed(generator)

    def _is_strong(self, generator, images):
        if isinstance(self._pair_kinds, PairKinds):
            return generator.random() < self._pair_kinds.strong_part
        keeper, filler = images
        pressed = self._pressed_by_image[filler]
        return pressed in self._needed_by_image[keeper]

    def _draw_interference(self, generator, mean_share, images):
        kinds = self._pair_kinds
        if kinds is not None:
            is_strong = self._is_strong(generator, images)
            mean = generator.uniform(
                *(kinds.strong if is_strong else kinds.weak)
            )
            return Wave(mean, 0, 1, 0)
        mean = generator.uniform(0, NEGLIGIBLE_SHARE)
        if generator.random() < INTERFERING_PART:
            mean = min(MAX_SHARE, generator.expovariate(1 / mean_share))
        return Wave(
            mean,
            generator.uniform(0, 0.4),
            generator.uniform(5, 30),
            generator.random(),
        )
