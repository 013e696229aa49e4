"""Measures the request decisions: ``python -m bench.routing``.

Prints a table for each site and scenario, every policy in the same run of
seeds, and writes it to a file and plots with ``--write``.
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
    sums = load.figures(start, end)
    sent = sums.asked - sums.refused
    return {
        'p50': sums.quantile(0.5),
        'p99': sums.quantile(0.99),
        'p999': sums.quantile(0.999),
        'refused': sums.refused / sums.asked,
        'late': sums.late / sums.asked,
        'unknown': sums.unknown / sums.asked,
        'extra': max(sends / max(sent, 1) - 1, 0),
        'goodput': sums.goodput,
        'asked': sums.asked,
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
    found = {}
    for run, row in zip(runs, figures):
        key = (run.site, run.scenario, run.policy)
        found.setdefault(key, []).append(row)
    lines = report(found, arguments)
    print('\n'.join(lines))
    if arguments.write:
        with open(arguments.write, 'w') as file:
            json.dump(
                [[asdict(run), row] for run, row in zip(runs, figures)], file
            )
    if arguments.plots:
        from bench.plots import plot

        plot(found, arguments.plots)


def report(found, arguments):
    lines = []
    for site in arguments.sites:
        for scenario in arguments.scenarios:
            lines.extend(section(found, site, scenario, arguments.policies))
    return lines


def section(found, site, scenario, policies):
    lines = [
        '',
        f'{site}, {scenario}',
        '',
        '| policy | p50 ms | p99 ms | p99.9 ms (least-most) | refused % '
        '| late % | unknown % | extra sends % | goodput/s |',
        '|---|---|---|---|---|---|---|---|---|',
    ]
    for policy in policies:
        rows = found[(site, scenario, policy)]
        middle = {
            name: statistics.median(row[name] for row in rows)
            for name in COLUMNS
        }
        tails = [row['p999'] for row in rows]
        lines.append(
            f'| {policy} | {middle["p50"]:.1f} | {middle["p99"]:.0f} '
            f'| {middle["p999"]:.0f} ({min(tails):.0f}-{max(tails):.0f}) '
            f'| {middle["refused"] * 100:.2f} | {middle["late"] * 100:.3f} '
            f'| {middle["unknown"] * 100:.3f} | {middle["extra"] * 100:.1f} '
            f'| {middle["goodput"]:.0f} |'
        )
    ratio = tail_ratio(found, site, scenario)
    if not math.isnan(ratio):
        lines.append('')
        lines.append(f'p99.9 against the best baseline: {ratio:.2f}')
    return lines


def tail_ratio(found, site, scenario):
    """Median p99.9 of the product against the best baseline's."""
    tails = {}
    for policy in POLICIES:
        rows = found.get((site, scenario, policy))
        if rows:
            tails[policy] = statistics.median(row['p999'] for row in rows)
    known = [tails[policy] for policy in BASELINES if policy in tails]
    if 'hyssopring' not in tails or not known:
        return math.nan
    return tails['hyssopring'] / min(known)


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
