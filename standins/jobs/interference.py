"""What tasks on one worker do to each other, drawn by a seed.

The tail latency of a keeper grows like the wait in a queue: the base latency
over what is left of its capacity. Its own load takes of that, in waves, and so
does each core that a filler uses beside it, by an amount for each pair of
images. Most pairs hardly matter and a few matter a lot; all of them drift.
"""

import math
import random
from dataclasses import dataclass

KEEPER_IMAGES = 5
FILLER_IMAGES = 9
# Shares of a keeper's capacity that a core of a filler takes.
HARMFUL_PART = 0.65
HARMLESS = 0.003
MEAN_HARM = 0.03
MOST_HARM = 0.1
# Of capacity that is left at the least: the tail stays finite.
LEAST_LEFT = 0.02


@dataclass(frozen=True)
class Wave:
    """A share of a keeper's capacity that rises and falls with time.

    Attributes:
        swing: By which part of the mean it does so.
        phase: Where in its period it begins, from 0 to 1.
    """

    mean: float
    swing: float
    period_s: float
    phase: float

    def at(self, now_s):
        """Return the share at a time."""
        turn = math.tau * (now_s / self.period_s + self.phase)
        return self.mean * (1 + self.swing * math.sin(turn))


class Interference:
    """What keepers use themselves, and what fillers take of them.

    Attributes:
        base_ms: The tail latency of a keeper that has nothing to do.
        noise: The deviation of a reported figure, as a part of it.
        load_by_image: A keeper image's own load.
        harm_by_images: What a core of a filler takes, by keeper and filler.
    """

    def __init__(self, seed, is_synchronous=True):
        """Draw; ``is_synchronous`` lets all loads swing nearly together."""
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
        """Return a keeper's tail latency beside fillers that use cores."""
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
