# flake8: noqa
"""Two of twenty runners go down and up by turns, beside ordinary jobs."""

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin_2 import BROKEN, HAS_TROUBLE, HELD, NOT_RUN, ROUTE, run_case

RUNNERS = 20
FLAPPING = 2
PERIOD_S = 1.4
FLAPS_S = 6.5
# When each of the disruptions begins, in seconds after the traffic began.
BEGINS_S = (4, 18, 32, 46)
TRAFFIC_S = 56
JOB_INTERVAL_S = 0.25
FINISH_S = 14
WORK_S = 1.28
LASTING_ID = 'f' * 16
LASTS_S = 1000
ORDINARY = {
    'spec': 'ordinary',
    'steps': [{'count': 6, 'cpu': 240, 'memMb': 480, 'estimateMs': 1280}],
}
LASTING = {
    'spec': 'lasting',
    'steps': [
        {
            'count': 24,
            'cpu': 800,
            'memMb': 640,
            'estimateMs': 500,
            'longRunning': True,
            'image': 'image-1',
        },
    ],
}


def plan(task):
    return (LASTS_S if task.startswith(LASTING_ID) else WORK_S), 'done'


async def flap(runner):
    """Let a runner go down and up with the period of the page."""
    began = time.monotonic()
    for begins_s in BEGINS_S:
        await asyncio.sleep(max(0, began + begins_s - time.monotonic()))
        ends_at = time.monotonic() + FLAPS_S
        while time.monotonic() < ends_at:
            runner.crash()
            await asyncio.sleep(PERIOD_S / 2)
            await runner.begin()
            await asyncio.sleep(PERIOD_S / 2)


async def play(deployment):
    record = deployment.record
    for runner in deployment.runners:
        runner.plan = plan
    if not await deployment.open([ROUTE]):
        record.say('the entries do not answer')
        return NOT_RUN
    if await deployment.submit(LASTING_ID, LASTING) != 200:
        return NOT_RUN
    await asyncio.sleep(3)
    job_ids = []

    async def submit(job_id):
        if await deployment.submit(job_id, ORDINARY) == 200:
            job_ids.append(job_id)

    tasks = []
    if HAS_TROUBLE:
        tasks += [
            asyncio.create_task(flap(runner))
            for runner in deployment.runners[:FLAPPING]
        ]
    began = time.monotonic()
    count = 0
    while time.monotonic() - began < TRAFFIC_S:
        count += 1
        tasks.append(asyncio.create_task(submit(f'{count:016x}')))
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(FINISH_S)
    with_failed_end = {
        event[4][:16] for event in deployment.history if event[1] == 'failed'
    }
    states = collections.Counter()
    broken = []
    for job_id in job_ids:
        _, fields = await deployment.ask(0, 'GET', job_id)
        states[fields.get('state')] += 1
        if fields.get('state') == 'failed' and job_id not in with_failed_end:
            broken.append(job_id)
    record.say(len(job_ids), 'ordinary jobs accepted; shown as', dict(states))
    record.say('shown as failed without any end failed:', len(broken), *broken)
    return BROKEN if broken else HELD


if __name__ == '__main__':
    run_case(FOLDER, play, runners=RUNNERS, entries=3)
