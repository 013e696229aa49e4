# flake8: noqa
"""A job is cancelled while the owner is cut off from all but its own zone."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin_2 import (
    BROKEN,
    HAS_TROUBLE,
    HELD,
    NOT_RUN,
    ROUTE,
    Zones,
    run_case,
)

# Each round has a job of its own, a cut and a cancel.
ROUNDS = 6
CUT_S = 5.5
REST_S = 5
CANCEL_MS = 3000
# As large as the site's `herd-roster` jobs are at most: 5 steps of 32 tasks. Its
# tasks take 1.7 s on 1.8 cores in the mean.
STEP = {'count': 32, 'cpu': 1800, 'memMb': 3200, 'estimateMs': 1700}
JOB = {'spec': 'herd', 'steps': [STEP] * 5}


async def play_round(deployment, number):
    """Return how many tasks started too late, None if it couldn't be played."""
    record = deployment.record
    job_id = f'5c0e7a21d94b36{number:02x}'
    owner = deployment.owner()
    if owner not in deployment.entry_names:
        return None
    others = [
        index
        for index, name in enumerate(deployment.entry_names)
        if name != owner
    ]
    if await deployment.submit(job_id, JOB) != 200:
        return None
    await asyncio.sleep(0.3)
    if HAS_TROUBLE:
        record.say('cut of', owner, 'in', deployment.zone_of[owner])
        deployment.cut_near(owner)
        loop = asyncio.get_running_loop()
        loop.call_later(CUT_S, deployment.end_cuts)
    await asyncio.sleep(0.1)
    status = 0
    for index in others * 3:
        status, _ = await deployment.ask(index, 'DELETE', job_id)
        if status == 200:
            break
    if status != 200:
        return None
    acked_at = time.monotonic()
    await asyncio.sleep(CUT_S + REST_S)
    late = [
        (event[0] - acked_at, event[4], deployment.zone_of[side_of(event)])
        for event in deployment.history
        if event[1] == 'start'
        and event[4].startswith(job_id)
        and event[0] - acked_at > CANCEL_MS / 1000
    ]
    record.say(
        f'{len(late)} tasks of {job_id} started later than {CANCEL_MS} ms',
        'after the acknowledgement, the last one after',
        f'{max((each[0] for each in late), default=0):.1f} s, in',
        sorted({each[2] for each in late}),
    )
    return len(late)


def side_of(event):
    """Return the name of the machine of an event of the history."""
    return f'side-{event[2]:02d}'


async def play(deployment):
    works = random.Random(81)
    for runner in deployment.runners:
        runner.plan = lambda task: (works.uniform(0.85, 2.55), 'done')
    if not await deployment.open([ROUTE]):
        deployment.record.say('the entries do not answer')
        return NOT_RUN
    await asyncio.sleep(REST_S)
    counts = [await play_round(deployment, number) for number in range(ROUNDS)]
    if any(counts):
        return BROKEN
    return NOT_RUN if None in counts else HELD


if __name__ == '__main__':
    run_case(FOLDER, play, kind=Zones, runners=11, entries=3)
