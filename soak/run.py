"""A run: rounds of work and faults, after each of which all work must end."""

import json
import time
from dataclasses import dataclass, field

from hyssopring.invariants import Invariants
from hyssopring.placement.records import TaskState
from hyssopring.tasks import TaskKind
from soak.faults import Faults
from soak.ids import seeded_ids
from soak.promises import Violation
from soak.schedule import ROUND_MS, draw_schedule
from soak.world import KEEPERS, World

__all__ = ('Run', 'RunReport', 'run_schedule', 'run_seed', 'shrink')

_IN_FORCE_MS = 3000.0
# Draining fails if no task ends for this time; a long queue may take longer.
_STUCK_MS = 90_000.0
_DRAIN_MS = 900_000.0
_DRAIN_STEP_MS = 500.0
_PAST_DEADLINE_MS = 1000.0
_FINAL = (TaskState.COMPLETED, TaskState.FAILED, TaskState.CANCELLED)


@dataclass
class RunReport:
    """The figures of a run, and the promise that it broke, if any."""

    seed: int
    steps: int = 0
    handled: int = 0
    virtual_ms: float = 0
    processor_s: float = 0
    faults: dict = field(default_factory=dict)
    met: dict = field(default_factory=dict)
    checks: dict = field(default_factory=dict)
    outcomes: dict = field(default_factory=dict)
    broken: dict = field(default_factory=dict)
    promise: str = ''
    detail: str = ''
    trace: tuple = ()


class Run:
    """A world with its faults, driven step by step."""

    def __init__(self, seed, go_on=()):
        self.world = World(seed, go_on)
        self.faults = Faults(self.world)
        self.loop = self.world.loop
        self.promises = self.world.promises
        self.next_document = 0

    def go(self, schedule):
        """Run all rounds of a schedule that have steps."""
        self.world.start()
        for number in sorted({step.round_number for step in schedule}):
            self._round(
                number,
                [step for step in schedule if step.round_number == number],
            )

    def _round(self, number, steps):
        self.promises.note(f'--- round {number}')
        for step in steps:
            self.loop.later(step.at_ms, self.do, step)
        self.wait(ROUND_MS)
        self.settle()

    def wait(self, millis):
        """Advance the clock by ms and check the deadlines of requests."""
        while millis > 0:
            self.loop.run(min(millis, _DRAIN_STEP_MS))
            self._check_deadlines()
            millis -= _DRAIN_STEP_MS

    def settle(self):
        """End all faults and check that all work ends."""
        self.faults.heal_all()
        self.promises.note('--- healed')
        self._drain()

    def do(self, step):
        """Execute a step now."""
        world = self.world
        entry = world.entries()[step.choices[0] % len(world.entries())]
        if step.action == 'call':
            service, key, duration_ms = step.words
            team = 'viva' if service == 'lookup' else 'trust'
            world.call(
                entry, f'{team}/{service}', key, duration_ms, step.span_ms
            )
        elif step.action == 'job':
            job_id, template, tasks = step.words
            world.job(entry, job_id, template, int(tasks))
        elif step.action == 'cancel':
            for job_id in step.words:
                world.cancel(entry, job_id)
        elif step.action == 'change':
            self._change(step)
        elif step.action == 'fault':
            self.faults.make(step.words[0], step.choices, step.span_ms)
        else:
            self.faults.arm(*step.words, step.choices, step.span_ms)

    def _change(self, step):
        key, racing = step.words
        entries = self.world.entries()
        for rival in range(('one', 'two', 'three').index(racing) + 1):
            entry = entries[(step.choices[0] + rival) % len(entries)]
            if not entry.is_alive:
                continue
            self.next_document += 1
            document = {'urgency': self.next_document % 10}
            if key.startswith('team/'):
                document = {'cores': 100.0 + self.next_document}
            expected = self.world.version_of(entry, key)
            self.world.change(entry, key, expected, json.dumps(document))
        upto = max(self.promises.accepted_by_version)
        if not self.faults.active:
            self.loop.later(
                _IN_FORCE_MS, self._check_in_force, upto, self._fault_count()
            )

    def _fault_count(self):
        return sum(self.faults.made.values())

    def _check_in_force(self, upto, faults_before):
        """Check that a change is in force, unless a fault came after it."""
        if self.faults.active or self._fault_count() != faults_before:
            return
        self.promises.check_in_force(self._live(), upto)

    def _live(self):
        return self.world.entries() + self.world.agents()

    def _check_deadlines(self):
        for entry in self.world.entries():
            was_paused = self.loop.now < entry.resumed_at + _PAST_DEADLINE_MS
            if entry.is_paused or was_paused or not entry.is_alive:
                continue
            deadline = entry.core.router.next_deadline
            now = entry.core._clock.now()
            self.promises.check(
                deadline is None or now <= deadline + _PAST_DEADLINE_MS,
                'no request waits past its deadline',
                f'{entry.name} {deadline} now {now}',
            )

    def _drain(self):
        """Check that without faults all work ends and changes are in force."""
        # A silent connection must be detected and replaced first.
        upto = max(self.promises.accepted_by_version)
        self.loop.run(_IN_FORCE_MS + 3000)
        self.promises.check_in_force(self._live(), upto)
        for job_id, (template, _, _) in self.world.jobs.items():
            if template == 'huge':
                self.world.cancel(self.world.entries()[0], job_id)
        unfinished = self._unfinished()
        progress_at = began_at = self.loop.now
        ended = self._ended_count()
        while unfinished and self.loop.now < progress_at + _STUCK_MS:
            self.wait(_DRAIN_STEP_MS)
            unfinished = self._unfinished()
            if self._ended_count() != ended:
                ended = self._ended_count()
                progress_at = min(self.loop.now, began_at + _DRAIN_MS)
        self.promises.check(not unfinished, 'everything drains', unfinished)
        self._check_leaks()

    def _ended_count(self):
        return sum(
            task.state in _FINAL for task in self.promises.task_by_id.values()
        )

    def _unfinished(self):
        """Return a description of unfinished work, empty if there is none."""
        for entry in self.world.entries():
            if entry.core.router.pending:
                return f'{entry.name}: {entry.core.router.pending} pending'
        for agent in self.world.agents():
            if agent.core.calls.unfinished:
                return f'{agent.name}: calls unfinished'
        for job_id, (_, tasks, is_accepted) in self.world.jobs.items():
            known = [
                self.promises.task_by_id.get(f'{job_id}:{number}')
                for number in range(tasks)
            ]
            is_there = f'jobs/{job_id}' in self._rows()
            if is_accepted and not is_there:
                return f'{job_id} was accepted and is not there'
            if not is_there:
                continue
            for task in known:
                if task is None:
                    return f'{job_id} has not been taken in'
                if task.state not in _FINAL:
                    return f'{task}'
        return self._keepers_missing() or self._leftovers()

    def _rows(self):
        return self.world.deployment.table.rows_by_key

    def _keepers_missing(self):
        places = sorted(
            (task_id, worker.name)
            for worker in self.world.workers
            for task_id, task in worker.running().items()
            if task['command']['kind'] == TaskKind.KEEPER.value
        )
        if len(places) != KEEPERS or len(dict(places)) != KEEPERS:
            return f'keepers run at {places}'
        return ''

    def _leftovers(self):
        """Return a description of tasks or reservations that should be gone."""
        for agent in self.world.agents():
            running = agent.worker.worker.running()
            extra = [name for name in running if not name.startswith('keeper')]
            if extra:
                return f'{agent.name} still runs {extra}'
            reserved = agent.core.ledger._size_by_owner
            tasks = {
                name for name in reserved if ':' in name and '/' not in name
            }
            if tasks != set(running):
                return f'{agent.name} reserves {tasks}, runs {set(running)}'
        return ''

    def _check_leaks(self):
        """Check that no slot, queue place or count has leaked."""
        for agent in self.world.agents():
            for report in agent.core.backends.reports():
                self.promises.check(
                    report.in_flight == 0 and report.queued == 0,
                    'no slot leaks at an agent',
                    f'{agent.name} {report}',
                )
        for entry in self.world.entries():
            for service in ('trust/booking', 'viva/lookup'):
                for view in entry.core.fleet.backends(service):
                    self.promises.check(
                        view.in_flight == 0,
                        'no slot leaks at an entry',
                        f'{entry.name} {view.report.backend_id}',
                    )
        self._check_answers()

    def _check_answers(self):
        """Check that all requests to entries that still live have responses."""
        live = self.world.entries()
        for submission in self.promises.submission_by_body.values():
            if submission.entry in live and submission.answer is None:
                self.promises.check(
                    False, 'every caller is answered', submission.body
                )
        self.promises.checks['every caller is answered'] += 1


def run_schedule(seed, schedule, go_on=()):
    """Run a schedule; return a report.

    Violations of promises in ``go_on`` are only counted.
    """
    with seeded_ids(seed):
        return _run_schedule(seed, schedule, go_on)


def _run_schedule(seed, schedule, go_on):
    before = Invariants.is_strict
    Invariants.is_strict = True
    started = time.process_time()
    run = Run(seed, go_on)
    report = RunReport(seed, len(schedule))
    try:
        run.go(schedule)
    except Exception as error:
        report.promise = getattr(error, 'promise', '') or _name_of(error)
        report.detail = str(error)
        if not isinstance(error, Violation):
            run.promises.note(f'{type(error).__name__}: {error}')
    finally:
        Invariants.is_strict = before
    report.processor_s = time.process_time() - started
    report.handled = run.loop.steps
    report.virtual_ms = run.loop.now
    report.faults = dict(run.faults.made)
    report.met = dict(run.faults.met)
    report.checks = dict(run.promises.checks)
    report.checks['asserted inside the program'] = _inner_checks(run.world)
    report.outcomes = dict(run.promises.outcomes)
    report.broken = dict(run.promises.broken)
    report.trace = tuple(run.promises.trace)
    return report


def run_seed(seed, steps, go_on=()):
    """Run the schedule of a seed; return a report."""
    return run_schedule(seed, draw_schedule(seed, steps), go_on)


def shrink(seed, schedule, promise, tries=120, go_on=()):
    """Return a shorter schedule that breaks the same promise."""
    size = max(len(schedule) // 2, 1)
    while tries > 0:
        index = 0
        while index < len(schedule) and tries > 0:
            shorter = schedule[:index] + schedule[index + size :]
            tries -= 1
            report = run_schedule(seed, shorter, go_on)
            if report.promise == promise:
                schedule = shorter
            else:
                index += size
        if size == 1:
            break
        size = max(size // 2, 1)
    return schedule


def _name_of(error):
    text = str(error).partition(':')[0]
    return f'{type(error).__name__} {text}'


def _inner_checks(world):
    return sum(
        node.core.metrics.counter('invariant_checks_total')
        for node in world.entries() + world.agents()
    )
