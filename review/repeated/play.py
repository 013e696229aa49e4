# flake8: noqa
"""A job of many small steps that comes again and again, beside others."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin_2 import BROKEN, HAS_TROUBLE, HELD, NOT_RUN, ROUTE, run_case

# One job, or the same work as five jobs of a fifth of the steps.
JOBS = 1 if HAS_TROUBLE else 5
STEPS = 250 // JOBS
OCCURRENCES = 30
INTERVAL_MS = 2000
WORK_S = 0.2
TRAFFIC_S = 72
JOB_INTERVAL_S = 2
FINISH_S = 14
IDLE_S = 3
ORDINARY = {
    'spec': 'ordinary',
    'steps': [
        {'count': 2, 'cpu': 100, 'memMb': 64, 'estimateMs': 200},
        {'count': 2, 'cpu': 100, 'memMb': 64, 'estimateMs': 200, 'after': [0]},
    ],
}


def repeated():
    """Return the body of a job that is due for the first time in 2 s."""
    step = {'count': 1, 'cpu': 50, 'memMb': 16, 'estimateMs': 200}
    return {
        'spec': 'repeated',
        'steps': [step] * STEPS,
        'firstRunMs': int(time.time() * 1000) + 2000,
        'intervalMs': INTERVAL_MS,
        'repeatCount': OCCURRENCES,
    }


def is_stuck(deployment, job_id, accepted_at):
    """Whether a task's turn has come, and for 3 s nothing of the job runs."""
    events = [event for event in deployment.history if event[4][:16] == job_id]
    starts = {event[4] for event in events if event[1] == 'start'}
    done = {event[4] for event in events if event[1] == 'done'}
    first = {f'{job_id}.0.0.{index}' for index in range(2)}
    second = {f'{job_id}.0.1.{index}' for index in range(2)}
    due = first if first - done else second
    last_at = max((event[0] for event in events), default=accepted_at)
    is_idle = starts == done and time.monotonic() - last_at > IDLE_S
    return is_idle and bool(due - done)


async def play(deployment):
    record = deployment.record
    for runner in deployment.runners:
        runner.plan = lambda task: (WORK_S, 'done')
    if not await deployment.open([ROUTE]):
        record.say('the entries do not answer')
        return NOT_RUN
    for number in range(JOBS):
        if await deployment.submit(f'{number:f>16x}', repeated()) != 200:
            return NOT_RUN
    accepted_at = {}
    began = time.monotonic()
    while time.monotonic() - began < TRAFFIC_S:
        job_id = f'{len(accepted_at) + 1:016x}'
        if await deployment.submit(job_id, ORDINARY) == 200:
            accepted_at[job_id] = time.monotonic()
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.sleep(FINISH_S)
    states = {}
    for job_id in accepted_at:
        _, fields = await deployment.ask(0, 'GET', job_id)
        states[job_id] = fields.get('state')
    stuck = [
        job_id
        for job_id, at in accepted_at.items()
        if is_stuck(deployment, job_id, at)
    ]
    open_jobs = [job for job in states if states[job] != 'completed']
    record.say(
        f'{len(states)} ordinary jobs accepted, {len(open_jobs)} not shown as'
        f' completed {FINISH_S} s after the traffic; of {len(stuck)} nothing'
        ' has run for 3 s though the turn of a task has come, while the'
        ' runners are nearly empty'
    )
    record.say(
        'rows over 64 KiB that the store refused:',
        deployment.store.refused_rows,
        '; ends listed and not noted:',
        sum(len(runner.ends) for runner in deployment.runners),
    )
    return BROKEN if stuck else HELD


if __name__ == '__main__':
    run_case(FOLDER, play, runners=3, entries=2)
