"""Known pairs of images that no Kalman filter holds, and priors of others."""

from typing import Final, Iterable, Iterator

from hyssopring.learning.pairs import Pair, PairKey
from hyssopring.learning.priors import PairPriors

__all__ = ('MAX_PAIRS', 'LearnedPairs')

# At 200 images, 50 of them of latency-critical tasks, there are 7,500 pairs.
MAX_PAIRS: Final = 10_000
# A full table drops this part at once, so that it seldom has to choose.
_DROPPED_PART: Final = 0.1
# The priors are estimated anew at most this often: planning rounds may follow
# each other within milliseconds, and an estimate from 7,500 pairs takes some.
_MIN_UPDATE_INTERVAL_MS: Final = 500.0
_UPDATE_INTERVAL_MS_PER_PAIR: Final = 0.5


class LearnedPairs:
    """Start values of pairs: what was loaded or put aside, else the prior.

    Attributes:
        constant: The prior while no pair is known.
    """

    def __init__(self, constant: Pair) -> None:
        """Start without known pairs."""
        self.constant = constant
        self._priors = PairPriors(constant)
        self._pair_by_images: dict[PairKey, Pair] = {}
        self._next_update_ms: float = 0

    def __iter__(self) -> Iterator[tuple[PairKey, Pair]]:
        """Iterate over the known pairs."""
        return iter(self._pair_by_images.items())

    def start(self, images: PairKey) -> Pair:
        """Return what to assume of a pair that no filter holds."""
        return self._pair_by_images.get(images) or self._priors.of_image(
            images[1]
        )

    def take(self, images: PairKey) -> Pair:
        """Return the same, and leave the pair to a filter from now on."""
        pair = self.start(images)
        self._pair_by_images.pop(images, None)
        return pair

    def add(self, images: PairKey, pair: Pair) -> None:
        """Add an estimate, merged by precision with one that is here."""
        known = self._pair_by_images.get(images)
        self._pair_by_images[images] = known.merged(pair) if known else pair
        if len(self._pair_by_images) > MAX_PAIRS:
            self._drop_least_known()

    def update_priors(
        self, pairs: Iterable[tuple[PairKey, Pair]], now_ms: float
    ) -> None:
        """Estimate the priors from all known pairs, if it is time to."""
        if now_ms >= self._next_update_ms:
            known = list(pairs)
            self._priors.update(known)
            self._next_update_ms = now_ms + max(
                _MIN_UPDATE_INTERVAL_MS,
                _UPDATE_INTERVAL_MS_PER_PAIR * len(known),
            )

    def clear(self) -> None:
        """Forget all pairs; priors stay until the next update."""
        self._pair_by_images.clear()

    def _drop_least_known(self) -> None:
        by_evidence = sorted(
            self._pair_by_images.items(), key=lambda item: item[1].variance
        )
        kept = round(len(by_evidence) * (1 - _DROPPED_PART))
        self._pair_by_images = dict(by_evidence[:kept])
