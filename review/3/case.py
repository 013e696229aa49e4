# flake8: noqa
"""A runner's machine and the owner's machine are lost together, for good."""

import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin import System, main, now  # noqa

TASKS = 8
# A task that lasts has to run, from 6 s after its last run on, within each 3 s
# that are calm, as the 4 s before them are.
REST_S, CALM_S, SPAN_S = 6, 4, 3


async def case(system, record, has_trouble):
    job = 'c0ffee0000000002'
    body = {
        'spec': json.dumps({'ms': 10**9}),
        'steps': [
            {
                'count': TASKS,
                'cpu': 3200,
                'memMb': 6400,
                'estimateMs': 500,
                'longRunning': True,
            }
        ],
    }
    if not await system.submit(job, body):
        raise RuntimeError('the job was not accepted')
    await asyncio.sleep(8)
    lost_at = now()
    if has_trouble:
        runner = next(r for r in system.runners if r.runs)
        owner = system.owner()
        record('lost for good:', runner.machine.name, 'and', owner.name)
        runner.crash()
        runner.machine.kill()
        owner.kill()
    names = [f'{job}.0.0.{index}' for index in range(TASKS)]
    last = {name: lost_at for name in names}
    broken = []
    longest = 0
    while now() < lost_at + 30:
        running = {name for r in system.runners for name in r.runs}
        for name in names:
            if name in running:
                last[name] = now()
            longest = max(longest, now() - last[name])
            over = now() - last[name] - REST_S - SPAN_S
            calm = now() - lost_at - CALM_S - SPAN_S
            if over > 0 and calm > 0 and name not in broken:
                broken.append(name)
                record('does not run:', name)
        await asyncio.sleep(0.05)
    record(f'longest time without a run: {longest:.2f} s')
    return [
        f'{name} has not run for over 9 s, with room for it' for name in broken
    ]


main((lambda folder, record: System(folder, record, 3, 11), case), HERE)
