# flake8: noqa
"""The owner is killed while a slow occurrence of a scheduled job runs on."""

import asyncio
import json
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin import System, main, now  # noqa

JOBS = 6
TASKS = 2
# Work of each occurrence: the first one is slow, and runs on beside the others.
WORK_MS = (5500, 300, 300)
INTERVAL_MS = 900
# The killed entry starts again after this time.
BACK_S = 3.5
# `finish_s` of the site.
FINISH_S = 14


async def case(system, record, has_trouble):
    jobs = [f'{number + 1:016x}' for number in range(JOBS)]
    began = now()
    body = {
        'spec': json.dumps({'ms_by_occurrence': WORK_MS}),
        'steps': [
            {'count': TASKS, 'cpu': 240, 'memMb': 480, 'estimateMs': 1000}
        ],
        'firstRunMs': int(time.time() * 1000) + 300,
        'intervalMs': INTERVAL_MS,
        'repeatCount': len(WORK_MS),
    }
    for job in jobs:
        if not await system.submit(job, body):
            raise RuntimeError('a job was not accepted')
    # The later occurrences are over, and their ends taken note of.
    await asyncio.sleep(max(0, began + 3.6 - now()))
    if has_trouble:
        owner = system.owner()
        record('kill', owner.name)
        owner.kill()
        await asyncio.sleep(BACK_S)
        owner.start(system.folder)
        record('start', owner.name)
    await asyncio.sleep(max(0, began + 13 - now()))
    # All tasks have ended; the jobs are asked for.
    names = {
        f'{job}.{k}.0.{index}'
        for job in jobs
        for k in range(len(WORK_MS))
        for index in range(TASKS)
    }
    done, noted = set(), set()
    for runner in system.runners:
        for _at, task, _run, how, number in runner.ended:
            if how == 'done':
                done.add(task)
                if number in runner.noted:
                    noted.add(task)
    record('tasks', len(names), 'ended done', len(done), 'noted', len(noted))
    if done != names or noted != names:
        raise RuntimeError('not all tasks have ended done, or are noted')
    states = {}
    until = now() + FINISH_S
    while now() < until:
        states = {job: await system.state(job) for job in jobs}
        if set(states.values()) == {'completed'}:
            break
        await asyncio.sleep(1)
    record('states:', states)
    return [
        f'job {job}: all its tasks ended done, and it is shown as {state}'
        for job, state in states.items()
        if state != 'completed'
    ]


main((lambda folder, record: System(folder, record, 3, 3), case), HERE)
