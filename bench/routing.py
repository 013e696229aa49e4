"""Benchmark of request routing: ``python -m bench.routing``.

Prints a table for each site and scenario, with all policies under the same
seeds. ``--write`` stores the figures of each run as JSON, ``--plots`` draws
them.
"""

import argparse
import json
import math
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass

from loguru import logger

from bench.policies import BASELINES, POLICIES
from bench.routing_deployment import Deployment
from bench.routing_load import Load, rate_at
from bench.routing_sites import SITES
from bench.scenarios import MEASURED_MS, SCENARIOS

WARM_UP_MS = 2000.0
COLUMNS = (
    'p50', 'p99', 'p999', 'refused', 'late', 'unknown', 'extra', 'goodput',
)  # fmt: skip


@dataclass(frozen=True)
class Run:
    """The parameters of one experiment."""

    site: str
    scenario: str
    policy: str
    seed: int


def measure(run):
    """Run one experiment and return its figures by column."""
    # Log lines are written by the daemons, not by experiments.
    logger.remove()
    site = SITES[run.site]
    scenario = SCENARIOS[run.scenario]
    deployment = Deployment(site, run.seed, POLICIES[run.policy])
    load = Load(deployment, rate_at(scenario.share), run.seed)
    if scenario.flood:
        deployment.add_flood(scenario.flood, run.seed)
    deployment.run(WARM_UP_MS)
    start = deployment.loop.now
    sends = deployment.sends_of(site.service)
    scenario.inject(deployment)
    deployment.run(MEASURED_MS)
    end = deployment.loop.now
    sends = deployment.sends_of(site.service) - sends
    load.is_on = False
    deployment.run(4000)
    totals = load.figures(start, end)
    sent = totals.asked - totals.refused
    return {
        'p50': totals.quantile(0.5),
        'p99': totals.quantile(0.99),
        'p999': totals.quantile(0.999),
        'refused': totals.refused / totals.asked,
        'late': totals.late / totals.asked,
        'unknown': totals.unknown / totals.asked,
        'extra': max(sends / max(sent, 1) - 1, 0),
        'goodput': totals.goodput,
        'asked': totals.asked,
    }


def all_runs(arguments):
    return [
        Run(site, scenario, policy, seed)
        for seed in range(1, arguments.seeds + 1)
        for site in arguments.sites
        for scenario in arguments.scenarios
        for policy in arguments.policies
    ]


def main():
    arguments = parse()
    runs = all_runs(arguments)
    with ProcessPoolExecutor(arguments.processes) as pool:
        figures = []
        for row in pool.map(measure, runs):
            figures.append(row)
            print(runs[len(figures) - 1], row, file=sys.stderr, flush=True)
    rows_by_run = {}
    for run, row in zip(runs, figures):
        key = (run.site, run.scenario, run.policy)
        rows_by_run.setdefault(key, []).append(row)
    lines = report(rows_by_run, arguments)
    print('\n'.join(lines))
    if arguments.write:
        with open(arguments.write, 'w') as file:
            json.dump(
                [[asdict(run), row] for run, row in zip(runs, figures)], file
            )
    if arguments.plots:
        from bench.plots import plot

        plot(rows_by_run, arguments.plots)


def report(rows_by_run, arguments):
    lines = []
    for site in arguments.sites:
        for scenario in arguments.scenarios:
            lines.extend(
                section(rows_by_run, site, scenario, arguments.policies)
            )
    return lines


def section(rows_by_run, site, scenario, policies):
    lines = [
        '',
        f'{site}, {scenario}',
        '',
        '| policy | p50 ms | p99 ms | p99.9 ms (least-most) | refused % '
        '| late % | unknown % | extra sends % | goodput/s |',
        '|---|---|---|---|---|---|---|---|---|',
    ]
    for policy in policies:
        rows = rows_by_run[(site, scenario, policy)]
        medians = {
            name: statistics.median(row[name] for row in rows)
            for name in COLUMNS
        }
        tails = [row['p999'] for row in rows]
        lines.append(
            f'| {policy} | {medians["p50"]:.1f} | {medians["p99"]:.0f} '
            f'| {medians["p999"]:.0f} ({min(tails):.0f}-{max(tails):.0f}) '
            f'| {medians["refused"] * 100:.2f} | {medians["late"] * 100:.3f} '
            f'| {medians["unknown"] * 100:.3f} | {medians["extra"] * 100:.1f} '
            f'| {medians["goodput"]:.0f} |'
        )
    ratio = tail_ratio(rows_by_run, site, scenario)
    if not math.isnan(ratio):
        lines.append('')
        lines.append(f'p99.9 against the best baseline: {ratio:.2f}')
    return lines


def tail_ratio(rows_by_run, site, scenario):
    """Return the median p99.9 as a ratio to that of the best baseline."""
    tails = {}
    for policy in POLICIES:
        rows = rows_by_run.get((site, scenario, policy))
        if rows:
            tails[policy] = statistics.median(row['p999'] for row in rows)
    baseline_tails = [tails[policy] for policy in BASELINES if policy in tails]
    if 'hyssopring' not in tails or not baseline_tails:
        return math.nan
    return tails['hyssopring'] / min(baseline_tails)


def parse():
    parser = argparse.ArgumentParser(description=__doc__)
    add = parser.add_argument
    add('--sites', nargs='+', default=list(SITES), choices=list(SITES))
    add('--scenarios', nargs='+', default=list(SCENARIOS))
    add('--policies', nargs='+', default=list(POLICIES))
    add('--seeds', type=int, default=5)
    add('--processes', type=int, default=3)
    add('--write', help='file for the figures of each run, as JSON')
    add('--plots', help='directory for the plots')
    return parser.parse_args()


if __name__ == '__main__':
    sys.exit(main())
