"""Prints how long the text of a learned summary is, and what it costs."""

import random
import time

from hyssopring.learning.pairs import Pair
from hyssopring.learning.run_times import RunTimes
from hyssopring.learning.summary import Summary
from hyssopring.learning.summary_text import decode_summary, encode_summary

SIZES = ((9, 20, 0), (9, 20, 30), (50, 150, 0), (50, 150, 200))
ENDS_OF_KEY = 400
TAIL_SHARE = 0.03
TAIL_FACTOR = 7
MILLIS = 1000


def draw_summary(rng, keepers, best_effort, keys):
    """Return a summary with names and values as on a real deployment."""
    pair_by_images = {
        (f'team-{one % 9}/service-{one}', f'team-{other % 9}/batch-{other}'): (
            _draw_pair(rng)
        )
        for one in range(keepers)
        for other in range(best_effort)
    }
    run_times = RunTimes()
    for key in range(keys):
        mean_ms = rng.uniform(100, 9000)
        for _end in range(ENDS_OF_KEY):
            factor = TAIL_FACTOR if rng.random() < TAIL_SHARE else 1
            run_ms = mean_ms * factor * rng.lognormvariate(0, 0.25)
            estimate_ms = mean_ms * rng.uniform(0.5, 2)
            name = f'image:team-{key % 9}/batch-{key}'
            run_times.record(name, estimate_ms, run_ms)
    return Summary(MILLIS, pair_by_images, run_times.to_stored())


def _draw_pair(rng):
    mean = rng.choice([rng.uniform(-0.02, 0.05), rng.expovariate(5)])
    return Pair(mean, rng.uniform(0.02, 0.3) ** 2)


def main():
    """Print one line for each size."""
    rng = random.Random(1)
    for keepers, best_effort, keys in SIZES:
        summary = draw_summary(rng, keepers, best_effort, keys)
        began = time.process_time()
        text = encode_summary(summary)
        encoded = time.process_time()
        decode_summary(text, MILLIS)
        decoded = time.process_time()
        print(
            f'{keepers * best_effort:5} pairs, {keys:3} keys: '
            f'{len(text):6} bytes, '
            f'{(encoded - began) * MILLIS:.1f} ms to encode, '
            f'{(decoded - encoded) * MILLIS:.1f} ms to decode'
        )


if __name__ == '__main__':
    main()
