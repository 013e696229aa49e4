"""A simulated model of interference between colocated tasks, by a seed.

The tail latency of a keeper grows as in a queue: it is the base latency
divided by the remaining share of its capacity. Its own load takes a periodic
share of the capacity, and so does each core that a best-effort task uses, by
an amount for each pair of images. Most pairs hardly interfere and a few do a
lot; all amounts vary over time.
"""

import math
import random
from dataclasses import dataclass

KEEPER_IMAGES = 5
FILLER_IMAGES = 9
# Shares of a keeper's capacity that a core of a best-effort task takes.
HARMFUL_PART = 0.65
HARMLESS = 0.003
MEAN_HARM = 0.03
MOST_HARM = 0.1
# Minimum remaining capacity, so that the tail latency stays finite.
LEAST_LEFT = 0.02


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
        turn = math.tau * (now_s / self.period_s + self.phase)
        return self.mean * (1 + self.swing * math.sin(turn))


class Interference:
    """The load of keepers and the interference of best-effort tasks.

    Attributes:
        base_ms: The tail latency of an idle keeper.
        noise: Standard deviation of a reported tail latency, as a part of it.
        load_by_image: Share of its capacity that a keeper uses, by image.
        harm_by_images: Share of a keeper's capacity that a core of a
            best-effort task takes, by the images of both.
    """

    def __init__(self, seed, is_synchronous=True):
        """Draw the model; ``is_synchronous`` gives all loads similar phases."""
        draw = random.Random(f'interference {seed}')
        self.keeper_images = [f'keeper-{n}' for n in range(KEEPER_IMAGES)]
        self.filler_images = [f'filler-{n}' for n in range(FILLER_IMAGES)]
        self.noise = draw.uniform(0.05, 0.12)
        self.base_ms = draw.choice([4, 4, 8])
        common = draw.random()
        self.load_by_image = {
            image: Wave(
                draw.uniform(0.36, 0.46),
                draw.uniform(0.3, 0.55),
                draw.uniform(8, 14),
                common + draw.uniform(-0.1, 0.1)
                if is_synchronous
                else draw.random(),
            )
            for image in self.keeper_images
        }
        self.harm_by_images = {
            (keeper, filler): self._draw_harm(draw)
            for keeper in self.keeper_images
            for filler in self.filler_images
        }

    def tail_ms(self, keeper, cores_by_filler, now_s):
        """Return a keeper's tail latency beside best-effort tasks."""
        taken = self.load_by_image[keeper].at(now_s)
        for filler, cores in cores_by_filler.items():
            taken += cores * self.harm_by_images[keeper, filler].at(now_s)
        return self.base_ms / max(LEAST_LEFT, 1 - taken)

    @staticmethod
    def _draw_harm(draw):
        mean = draw.uniform(0, HARMLESS)
        if draw.random() < HARMFUL_PART:
            mean = min(MOST_HARM, draw.expovariate(1 / MEAN_HARM))
        return Wave(
            mean,
            draw.uniform(0, 0.4),
            draw.uniform(5, 30),
            draw.random(),
        )
