"""Random variants of a site file, to test deployments not seen before.

A site file of the users' bench describes a deployment. This writes copies with
other shares of gangs, timed jobs, labels, racks and copies, other VM counts and
kinds of workers, and simulates days of each.

    python -m bench.variants SITE OUT --program FLEETBENCH --count 20 --seed 1

``OUT`` must be outside the repository: a variant is mostly the users' text.
"""

import pathlib
import random
import re
import shutil
import subprocess  # noqa: S404 -- the bench is a program
from dataclasses import dataclass
from typing import Callable, Final

import fire

__all__ = ('main', 'variant')

# Most variants have some of these features and lack others, so that faults of a
# single feature and of combinations both show.
_CHANCE: Final = 0.5
_KINDS_BEFORE: Final = 'kinds = ["a"]'
_KINDS_AFTER: Final = 'kinds = ["a", "b"]'
_RACK_SIZES: Final = (1, 2, 3, 4)
_SIDE_VMS: Final = (2, 5)

Draw = Callable[[random.Random], float]


@dataclass(frozen=True)
class _Feature:
    """A number in the line of a job class and the draw of its new value."""

    name: str
    draw: Draw


def _share(low: float, high: float) -> Draw:
    return lambda rng: round(rng.uniform(low, high), 2)


_FEATURES: Final = (
    _Feature('gang', _share(0.15, 0.5)),
    _Feature('timed', _share(0.15, 0.5)),
    _Feature('near', _share(0.2, 0.8)),
    _Feature('needs', _share(0.15, 0.4)),
    _Feature('apart', _share(0.2, 0.7)),
    _Feature('twice', _share(0.3, 1.0)),
    _Feature('saves', _share(0.2, 1.0)),
)


def variant(text: str, seed: int) -> str:
    """Return the text of a site file with changes drawn from a seed."""
    rng = random.Random(seed)  # noqa: S311 -- repeatable, not secret
    lines = [_vary(line, rng) for line in text.splitlines()]
    changed = '\n'.join(lines)
    if re.search(r'needs = 0\.[1-9]', changed):
        changed = changed.replace(_KINDS_BEFORE, _KINDS_AFTER)
    return f'{changed}\n'


def _vary(line: str, rng: random.Random) -> str:
    if 'jobs = {' in line:
        return _vary_jobs(line, rng)
    if 'class = "side"' in line:
        count = rng.randint(*_SIDE_VMS)
        return re.sub(r'\bcount = \d+', f'count = {count}', line)
    if 'rack = ' in line and 'node = {' in line:
        rack = rng.choice(_RACK_SIZES)
        return re.sub(r'\brack = \d+', f'rack = {rack}', line)
    return line


def _vary_jobs(line: str, rng: random.Random) -> str:
    """Vary the job features; keepers get no gangs, timers or locality."""
    is_keeper = 'lasts = true' in line
    for feature in _FEATURES:
        if is_keeper and feature.name in {'gang', 'timed', 'near'}:
            continue
        if rng.random() < _CHANCE:
            figure = feature.draw(rng)
            pattern = rf'\b{feature.name} = [0-9.]+'
            line = re.sub(pattern, f'{feature.name} = {figure}', line)
    return line


def main(
    site: str,
    out: str,
    program: str = '',
    count: int = 20,
    seed: int = 1,
    days: int = 2,
    jobs: int = 4,
) -> None:
    """Write ``count`` variants of ``site`` and hunt ``days`` days of each."""
    source = pathlib.Path(site)
    folder = pathlib.Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    for companion in ('wire.json', 'CUT'):
        if (source.parent / companion).exists():
            shutil.copy(source.parent / companion, folder / companion)
    for number in range(seed, seed + count):
        target = folder / f'{source.stem}-{number}.toml'
        target.write_text(variant(source.read_text(), number))
        if program:
            _simulate(program, target, days, jobs)


def _simulate(program: str, site: pathlib.Path, days: int, jobs: int) -> None:
    """Run `hunt` on a variant, write its output to a log, print broken days."""
    command = [
        program,
        'hunt',
        str(site),
        '--days',
        str(days),
        '--jobs',
        str(jobs),
    ]
    played = subprocess.run(  # noqa: S603 -- as named on the command line
        command,
        capture_output=True,
        text=True,
        check=False,
    )
    site.with_suffix('.log').write_text(played.stdout + played.stderr)
    for line in played.stdout.splitlines():
        if 'with a rule broken' in line or 'BROKEN' in line:
            print(f'{site.stem}: {line}')  # noqa: WPS421 -- its output


if __name__ == '__main__':
    fire.Fire(main)
