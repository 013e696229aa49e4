"""Ablation benchmark of the colocation mechanisms, in virtual time.

Simulates random days (``bench/colocation_day.py``) with the real entries,
agents and planner: unchanged, and with one mechanism disabled or changed at a
time. All variants run the same days. Prints means over the seeds and the mean
difference to the first variant with its standard error.

    python -m bench.colocation [--seeds 8] [--first 1] [--jobs 4]
        [--load 'small workers'] [--variants 'as it is,no pace']
        [--plot docs/plots/colocation.svg]
"""

import argparse
import statistics
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack

import matplotlib
from loguru import logger

from bench.colocation_day import Day
from bench.colocation_load import LOADS_BY_NAME
from bench.colocation_score import Score
from bench.colocation_variants import AS_IT_IS, VARIANTS_BY_NAME

matplotlib.use('Agg')
from matplotlib import pyplot  # noqa: E402

DEFAULT_LOAD = 'small workers'
HEADINGS = (
    ('worth', 'of all that is owed'),
    ('large', 'of what large jobs are owed'),
    ('small', 'of what small jobs are owed'),
    ('keepers', 'of what keepers are owed'),
    ('harmed_s', 'keeper-seconds over target through fillers'),
    ('filler_cores', 'cores that fillers use, in the mean'),
)


def play(variant, seed, load=DEFAULT_LOAD):
    """Simulate one seed under one variant; patches stay in this process."""
    with ExitStack() as patches:
        for change in VARIANTS_BY_NAME[variant]:
            patches.enter_context(change())
        return Score.from_day(Day(seed, LOADS_BY_NAME[load]).play())


def play_all(names, seeds, jobs, load=DEFAULT_LOAD):
    """Return scores by variant, each in the order of the seeds."""
    plays = [(name, seed, load) for name in names for seed in seeds]
    with ProcessPoolExecutor(jobs, initializer=logger.remove) as pool:
        scores = pool.map(play, *zip(*plays, strict=True))
    scores_by_variant = {name: [] for name in names}
    for (name, *_), score in zip(plays, scores, strict=True):
        scores_by_variant[name].append(score)
    return scores_by_variant


def difference(scores, base):
    """Return the mean difference in worth and its standard error."""
    deltas = [
        score.worth - base_score.worth
        for score, base_score in zip(scores, base, strict=True)
    ]
    error = 0.0
    if len(deltas) > 1:
        error = statistics.stdev(deltas) / len(deltas) ** 0.5
    return statistics.mean(deltas), error


def table(scores_by_variant):
    """Yield the lines of a Markdown table, one row per variant."""
    names = [name for name, _meaning in HEADINGS]
    yield f'| variant | difference | {" | ".join(names)} |'
    yield '|---' * (len(names) + 2) + '|'
    base = next(iter(scores_by_variant.values()))
    for variant, scores in scores_by_variant.items():
        mean_delta, error = difference(scores, base)
        figures = [
            statistics.mean(getattr(score, name) for score in scores)
            for name in names
        ]
        cells = ' | '.join(f'{figure:.3f}' for figure in figures)
        yield f'| {variant} | {mean_delta:+.3f} ± {error:.3f} | {cells} |'


def plot(scores_by_variant, path):
    """Draw each variant's difference with its standard error."""
    pyplot.rcParams['svg.hashsalt'] = 'hyssopring'
    base = next(iter(scores_by_variant.values()))
    others = list(scores_by_variant)[1:]
    deltas = [difference(scores_by_variant[name], base) for name in others]
    figure, axis = pyplot.subplots(figsize=(7, 0.4 + 0.3 * len(others)))
    axis.barh(
        others,
        [mean for mean, _error in deltas],
        xerr=[error for _mean, error in deltas],
        color='#9bb',
    )
    axis.axvline(0, color='black', linewidth=0.8)
    axis.invert_yaxis()
    axis.set_xlabel('worth, difference to the program as it is', fontsize=8)
    axis.tick_params(labelsize=7)
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})
    pyplot.close(figure)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=8)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--load', default=DEFAULT_LOAD, choices=LOADS_BY_NAME)
    parser.add_argument('--variants', default=','.join(VARIANTS_BY_NAME))
    parser.add_argument('--plot')
    arguments = parser.parse_args()
    variants = [
        name for name in arguments.variants.split(',') if name != AS_IT_IS
    ]
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    scores_by_variant = play_all(
        [AS_IT_IS, *variants], seeds, arguments.jobs, arguments.load
    )
    for line in table(scores_by_variant):
        print(line)
    if arguments.plot:
        plot(scores_by_variant, arguments.plot)


if __name__ == '__main__':
    main()
