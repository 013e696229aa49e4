"""What each mechanism of colocation is worth, in virtual time.

Plays drawn days (``bench/colocation_day.py``) with the product's own entries,
agents and planner: as they are, and with one mechanism switched off or changed
at a time. All variants play the same days. Printed are means over the seeds and
the mean difference to the first variant with its standard error.

    python -m bench.colocation [--seeds 8] [--first 1] [--jobs 4]
        [--variants 'as it is,no pace'] [--plot docs/plots/colocation.svg]
"""

import argparse
import statistics
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack

import matplotlib
from loguru import logger

from bench.colocation_day import Day
from bench.colocation_score import Score
from bench.colocation_variants import AS_IT_IS, VARIANTS_BY_NAME

matplotlib.use('Agg')
from matplotlib import pyplot  # noqa: E402

HEADINGS = (
    ('worth', 'of all that is owed'),
    ('large', 'of what large jobs are owed'),
    ('small', 'of what small jobs are owed'),
    ('keepers', 'of what keepers are owed'),
    ('harmed_s', 'keeper-seconds over target through fillers'),
    ('filler_cores', 'cores that fillers use, in the mean'),
)


def play(name, seed):
    """Play one seed under one variant, in a process of its own."""
    with ExitStack() as changed:
        for change in VARIANTS_BY_NAME[name]:
            changed.enter_context(change())
        return Score.from_day(Day(seed).play())


def play_all(names, seeds, jobs):
    """Return scores by variant, each in the order of the seeds."""
    pairs = [(name, seed) for name in names for seed in seeds]
    with ProcessPoolExecutor(jobs, initializer=logger.remove) as pool:
        scores = pool.map(play, *zip(*pairs, strict=True))
    found = {name: [] for name in names}
    for (name, _seed), score in zip(pairs, scores, strict=True):
        found[name].append(score)
    return found


def difference(scores, base):
    """Return the mean difference in worth and its standard error."""
    apart = [
        one.worth - other.worth for one, other in zip(scores, base, strict=True)
    ]
    error = 0.0
    if len(apart) > 1:
        error = statistics.stdev(apart) / len(apart) ** 0.5
    return statistics.mean(apart), error


def table(found):
    """Return the table's lines, in Markdown."""
    names = [name for name, _meaning in HEADINGS]
    yield f'| variant | difference | {" | ".join(names)} |'
    yield '|---' * (len(names) + 2) + '|'
    base = next(iter(found.values()))
    for variant, scores in found.items():
        apart, error = difference(scores, base)
        figures = [
            statistics.mean(getattr(score, name) for score in scores)
            for name in names
        ]
        told = ' | '.join(f'{figure:.3f}' for figure in figures)
        yield f'| {variant} | {apart:+.3f} ± {error:.3f} | {told} |'


def plot(found, path):
    """Draw each variant's difference with its standard error."""
    pyplot.rcParams['svg.hashsalt'] = 'hyssopring'
    base = next(iter(found.values()))
    others = list(found)[1:]
    apart = [difference(found[name], base) for name in others]
    figure, axis = pyplot.subplots(figsize=(7, 0.4 + 0.3 * len(others)))
    axis.barh(
        others,
        [mean for mean, _error in apart],
        xerr=[error for _mean, error in apart],
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
    parser.add_argument('--variants', default=','.join(VARIANTS_BY_NAME))
    parser.add_argument('--plot')
    given = parser.parse_args()
    wanted = [name for name in given.variants.split(',') if name != AS_IT_IS]
    seeds = range(given.first, given.first + given.seeds)
    found = play_all([AS_IT_IS, *wanted], seeds, given.jobs)
    for line in table(found):
        print(line)
    if given.plot:
        plot(found, given.plot)


if __name__ == '__main__':
    main()
