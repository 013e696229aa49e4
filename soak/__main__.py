"""Runs seeds side by side: ``python -m soak --seed 1 --seeds 8 --steps 600``.

Prints per seed what was done and checked, and then how often each fault met
each kind of work. Exit code 1 when a promise was broken; the schedule that
breaks it is then shrunk and printed with the trace.
"""

import argparse
import sys
import time
import traceback
from collections import Counter
from concurrent.futures import ProcessPoolExecutor, as_completed

from loguru import logger

from soak.matrix import render_matrix
from soak.run import run_schedule, run_seed, shrink
from soak.schedule import draw_schedule


def _parse():
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=4, help='how many')
    parser.add_argument('--steps', type=int, default=600, help='per seed')
    parser.add_argument('--jobs', type=int, default=4, help='side by side')
    parser.add_argument(
        '--minutes', type=float, help='take new seeds for this long'
    )
    parser.add_argument('--shrink', type=int, default=120, help='tries')
    parser.add_argument(
        '--log', action='store_true', help="one seed, with the program's log"
    )
    parser.add_argument(
        '--go-on',
        action='append',
        default=[],
        metavar='PROMISE',
        help='count violations of this promise and look for others',
    )
    return parser.parse_args()


def _run_without_log(seed, steps, go_on):
    logger.remove()
    return run_seed(seed, steps, go_on)


def _seeds(options):
    if options.minutes is None:
        yield from range(options.seed, options.seed + options.seeds)
        return
    end_s = time.monotonic() + options.minutes * 60
    seed = options.seed
    while time.monotonic() < end_s:
        yield seed
        seed += 1


def _reports(options):
    """Yield the reports of all seeds, run in at most ``jobs`` processes."""
    seeds = _seeds(options)
    with ProcessPoolExecutor(options.jobs) as pool:
        running = set()
        while True:
            while len(running) < options.jobs:
                seed = next(seeds, None)
                if seed is None:
                    break
                running.add(
                    pool.submit(
                        _run_without_log, seed, options.steps, options.go_on
                    )
                )
            if not running:
                return
            finished = next(as_completed(running))
            running.discard(finished)
            yield finished.result()


def _print(report):
    verdict = 'ok' if not report.promise else f'BROKEN {report.promise}'
    print(
        f'seed {report.seed}: {report.steps} steps, '
        f'{report.handled} events, {report.virtual_ms / 1000:.0f} s virtual, '
        f'{sum(report.faults.values())} faults, '
        f'{sum(report.checks.values())} checks, '
        f'{report.processor_s:.1f} s processor: {verdict}',
        flush=True,
    )


def _print_violation(report, options):
    print(f'\nseed {report.seed} breaks: {report.detail}')
    for line in report.trace:
        print('  ' + line)
    schedule = draw_schedule(report.seed, options.steps)
    shrunk = shrink(
        report.seed,
        schedule,
        report.promise,
        options.shrink,
        options.go_on,
    )
    shrunk_report = run_schedule(report.seed, shrunk, options.go_on)
    print(f'shrunk to {len(shrunk)} steps: {shrunk_report.detail}')
    for step in shrunk:
        print('  ' + step.line())
    for line in shrunk_report.trace:
        print('  ' + line)
    sys.stdout.flush()


def _run_with_log(options):
    logger.remove()
    logger.add(sys.stdout, format='{message}')
    try:
        report = run_seed(options.seed, options.steps, options.go_on)
    except Exception:
        traceback.print_exc()
        raise
    print('\n'.join(report.trace))
    _print(report)


def main():
    """Run the seeds; return the exit code."""
    options = _parse()
    if options.log:
        _run_with_log(options)
        return 0
    logger.remove()
    met, faults, checks, outcomes = Counter(), Counter(), Counter(), Counter()
    totals, violations = Counter(), Counter()
    broken = []
    for report in _reports(options):
        _print(report)
        met += Counter(report.met)
        faults += Counter(report.faults)
        checks += Counter(report.checks)
        outcomes += Counter(report.outcomes)
        totals += Counter(
            runs=1,
            steps=report.steps,
            events=report.handled,
            milliseconds=int(report.processor_s * 1000),
        )
        violations += Counter(report.broken)
        if report.promise:
            broken.append(report)
    print('\nWhat each fault met:\n' + render_matrix(met, faults))
    print('\nAnswers:')
    for (kind, answer), count in sorted(outcomes.items()):
        print(f'  {kind:15} {answer:18} {count}')
    print('\nChecks:')
    for promise, count in sorted(checks.items()):
        print(f'  {count:10} {promise}')
    print(
        f'\nIn all: {totals["runs"]} seeds, {totals["steps"]} steps, '
        f'{totals["events"]} events, {sum(faults.values())} faults, '
        f'{sum(checks.values())} checks, '
        f'{sum(violations.values())} violations, '
        f'{totals["milliseconds"] / 1000:.0f} s of processor time',
        flush=True,
    )
    for promise, count in sorted(violations.items()):
        print(f'violated {count} times: {promise}')
    first_by_promise = {report.promise: report for report in reversed(broken)}
    for report in first_by_promise.values():
        _print_violation(report, options)
    return 1 if violations or broken else 0


if __name__ == '__main__':
    sys.exit(main())
