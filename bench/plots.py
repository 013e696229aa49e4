"""Plots of p99.9 by policy for each scenario, with a dot for each seed."""

import pathlib
import statistics

import matplotlib

matplotlib.use('Agg')
from matplotlib import pyplot  # noqa: E402


def plot(rows_by_run, directory):
    """Write ``routing-<scenario>.svg`` for each measured scenario.

    Args:
        rows_by_run: Rows of figures by site, scenario and policy.
        directory: Where the plots are written.
    """
    folder = pathlib.Path(directory)
    folder.mkdir(parents=True, exist_ok=True)
    pyplot.rcParams['svg.hashsalt'] = 'hyssopring'
    for scenario in sorted({key[1] for key in rows_by_run}):
        _plot_scenario(rows_by_run, scenario, folder)


def _plot_scenario(rows_by_run, scenario, folder):
    sites = sorted({key[0] for key in rows_by_run if key[1] == scenario})
    figure, axes = pyplot.subplots(1, len(sites), figsize=(7, 2.6))
    for axis, site in zip([axes] if len(sites) == 1 else axes, sites):
        policies = [
            key[2]
            for key in rows_by_run
            if key[0] == site and key[1] == scenario
        ]
        for position, policy in enumerate(policies):
            tails = [
                row['p999'] for row in rows_by_run[(site, scenario, policy)]
            ]
            axis.bar(
                position, statistics.median(tails), color='#9bb', width=0.7
            )
            axis.plot([position] * len(tails), tails, 'k.', markersize=4)
        axis.set_xticks(range(len(policies)), policies, fontsize=6)
        axis.set_title(f'{site}, {scenario}', fontsize=8)
        axis.set_ylabel('p99.9, ms', fontsize=7)
        axis.tick_params(axis='y', labelsize=6)
    figure.tight_layout()
    figure.savefig(folder / f'routing-{scenario}.svg', metadata={'Date': None})
    pyplot.close(figure)
