"""Tests of tasks on real processes that are killed and paused.

Leases are short. The tests evaluate the logs of the workers, which use the
clock of one machine.
"""

import json
import signal
import time
from collections import Counter
from dataclasses import dataclass

import pytest

from demo.__main__ import Deployment

TASKS = 18
KEEPERS = 9
# Longer than a lease: no task completes where its end can't be reported.
LONG_MS = 5000.0
SHORT_MS = 2500.0
# All tasks are in one shard, so that one entry plans them all.
SHORT_LEASE_SETTINGS = {
    'shards': 1,
    'shard_lease_ms': 3000.0,
    'shard_takeover_ms': 3100.0,
    'batch_lease_ms': 3000.0,
    # Longer than most takeovers, so that keepers continue to run.
    'keeper_lease_ms': 7000.0,
}
SIZE = {'cores': 1.0, 'memory_gb': 2.0}


class ShortLeaseDeployment(Deployment):
    def write(self, name, settings):
        is_entry = name.startswith('entry')
        return super().write(
            name, {**settings, **(SHORT_LEASE_SETTINGS if is_entry else {})}
        )


@dataclass
class Run:
    """One attempt on one worker process; while it runs, its end is infinite."""

    worker: str
    task: str
    start: float
    end: float = float('inf')
    end_event: str = ''


class Workers:
    """The runs of all workers, from their logs; killing one ends its runs."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.names = [
            name for name in deployment.processes if name.startswith('worker')
        ]
        self.killed_at = {}

    def runs(self):
        return [run for name in self.names for run in self._runs_of(name)]

    def tasks_on(self, number):
        """Return the tasks that run now on the newest worker of a VM."""
        names = [name for name in self.names if name[7] == str(number)]
        return [
            run.task
            for run in self._runs_of(names[-1])
            if run.end == float('inf')
        ]

    def running_keepers(self):
        return sum(is_running_keeper(run) for run in self.runs())

    def kill(self, number):
        """Kill a VM's worker with SIGKILL; start one at the same address."""
        name = f'worker-{number}'
        process = self.deployment.processes[name]
        process.kill()
        process.wait(5)
        self.killed_at[name] = time.time()
        replacement = f'{name}-replacement'
        self.deployment.spawn(replacement, process.args)
        self.names.append(replacement)

    def _runs_of(self, name):
        runs, open_by_task = [], {}
        for line in self._lines(name):
            logged_at, event, task = line.split()
            if event == 'start':
                open_by_task[task] = Run(name, task, float(logged_at))
                runs.append(open_by_task[task])
            elif event in ('stop', 'lapse', 'complete'):
                run = open_by_task.pop(task)
                run.end, run.end_event = float(logged_at), event
        for run in open_by_task.values():
            run.end = self.killed_at.get(name, run.end)
        return runs

    def _lines(self, name):
        complete_lines, _, _ = (
            (self.deployment.work / f'{name}.log').read_text().rpartition('\n')
        )
        return complete_lines.splitlines()


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    running = ShortLeaseDeployment(work=tmp_path_factory.mktemp('tasks'))
    running.start()
    try:
        running.wait_ready()
        for key, document in (
            # The demo's backend servers; an unknown size would fill a VM.
            ('template/booking', {'kind': 'service'}),
            ('parameters/trust/booking', {}),
            ('template/long', {'kind': 'batch', 'run_ms': LONG_MS}),
            ('parameters/trust/long', {}),
            ('template/short', {'kind': 'batch', 'run_ms': SHORT_MS}),
            ('parameters/trust/short', {}),
            ('template/index', {'kind': 'keeper'}),
            ('parameters/trust/index', {'keepers': KEEPERS}),
        ):
            if key.startswith('template'):
                document = {**document, 'size': SIZE}
            status, body = running.operate(
                'PUT', f'configuration/{key}', document
            )
            assert status == 200, body
            if key == 'template/index':
                await_true(lambda: has_capacity(running))
        yield running
    finally:
        for name, process in running.processes.items():
            if name.startswith('backend'):
                process.kill()
        running.stop()


@pytest.fixture(scope='module')
def workers(deployment):
    return Workers(deployment)


def has_capacity(deployment):
    """Whether both entries know capacity on each VM; keepers then spread."""
    for entry in range(2):
        _, body = deployment.operate('GET', 'status', entry=entry)
        free_cores = [
            agent['free_cores'] for agent in json.loads(body)['agents']
        ]
        if len(free_cores) < 3 or min(free_cores) < TASKS / 3:
            return False
    return True


def is_keeper(task):
    return task.startswith('keeper.')


def is_running_keeper(run):
    return is_keeper(run.task) and run.end == float('inf')


def await_true(condition, seconds=30):
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, 'the condition did not hold in time'
        time.sleep(0.05)


def submit(deployment, workers, job, template='short'):
    """Submit a job; return the VMs, those with a keeper and tasks first."""
    await_true(lambda: workers.running_keepers() == KEEPERS)
    status, body = deployment.operate(
        'POST',
        'jobs',
        {'job_id': job, 'team': 'trust', 'template': template, 'tasks': TASKS},
    )
    assert status == 200, body
    await_true(lambda: len(runs_of(workers, job)) == TASKS)

    def has_both_kinds(number):
        tasks = workers.tasks_on(number)
        has_keeper = any(is_keeper(task) for task in tasks)
        return has_keeper and not all(is_keeper(task) for task in tasks)

    vms = sorted(range(3), key=has_both_kinds, reverse=True)
    assert has_both_kinds(vms[0]), 'no VM runs both a keeper and tasks'
    return vms


def runs_of(workers, job):
    return [run for run in workers.runs() if run.task.startswith(f'{job}:')]


def task_counts(deployment, job, entry):
    _, body = deployment.operate('GET', f'jobs/{job}', entry=entry)
    return json.loads(body)['tasks']


def check_job(deployment, workers, job, entry=0):
    """Check that a job completes and that no run overlaps another.

    Each task completes once, all keepers run, and no task ever ran on two
    workers at the same time.
    """
    await_true(
        lambda: (
            task_counts(deployment, job, entry) == {'completed': TASKS}
            and workers.running_keepers() == KEEPERS
        )
    )
    completions = Counter(
        run.task for run in runs_of(workers, job) if run.end_event == 'complete'
    )
    assert completions == Counter(
        {f'{job}:{number}': 1 for number in range(TASKS)}
    )
    assert overlaps(workers.runs()) == []
    for log in deployment.work.glob('*.log'):
        assert 'E9001' not in log.read_text(), 'an invariant was violated'


def overlaps(runs):
    """Return pairs of runs of one task that overlap in time."""
    pairs, last_by_task = [], {}
    for run in sorted(runs, key=lambda run: run.start):
        last = last_by_task.get(run.task)
        if last is not None and last.end > run.start:
            pairs.append((last, run))
        last_by_task[run.task] = run
    return pairs


def test_restarted_agent_adopts_the_tasks_of_its_worker(deployment, workers):
    """An agent is killed while its worker runs a job's tasks and a keeper.

    The restarted agent has no state. It must determine from the worker's
    listing which tasks still run and which have completed meanwhile.
    """
    vm = submit(deployment, workers, 'adopted')[0]
    process = deployment.processes[f'agent-{vm}']
    process.kill()
    process.wait(5)
    deployment.spawn(f'agent-{vm}', process.args)
    check_job(deployment, workers, 'adopted')


def test_killed_worker_and_paused_agent_at_once(deployment, workers):
    """A worker is killed on one VM, and an agent is paused on another.

    A new worker replaces the killed one. The agent resumes after its leases
    have expired and its tasks run elsewhere; its worker must have ended them
    by itself in time.
    """
    killed_vm, paused_vm, _ = submit(deployment, workers, 'moved', 'long')
    tasks = workers.tasks_on(paused_vm)
    assert {is_keeper(task) for task in tasks} == {True, False}
    agent = deployment.processes[f'agent-{paused_vm}']
    agent.send_signal(signal.SIGSTOP)
    try:
        workers.kill(killed_vm)
        await_true(lambda: are_elsewhere(workers, paused_vm, tasks))
    finally:
        agent.send_signal(signal.SIGCONT)
    check_job(deployment, workers, 'moved')


def are_elsewhere(workers, paused_vm, tasks):
    """Whether each of these batch tasks has run on another worker."""
    others = {
        run.task for run in workers.runs() if run.worker[7] != str(paused_vm)
    }
    return others.issuperset(task for task in tasks if not is_keeper(task))


def test_other_entry_takes_over_planning(deployment, workers):
    """The planning entry is killed while its tasks run.

    The other entry reads the assignments from the table and the state from
    agents' reports. Tasks that still run under their leases must not be
    started again.
    """
    submit(deployment, workers, 'taken')
    planner = next(
        number
        for number in range(2)
        if json.loads(deployment.operate('GET', 'jobs', entry=number)[1])[
            'jobs'
        ]
    )
    process = deployment.processes[f'entry-{planner}']
    process.kill()
    process.wait(5)
    check_job(deployment, workers, 'taken', 1 - planner)
