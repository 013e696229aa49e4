"""The schedule of a run, drawn from its seed before it starts.

Each step contains its own times and targets, so a schedule can be shrunk by
deleting steps without changing the others.
"""

import random
from dataclasses import dataclass

__all__ = (
    'FAULTS',
    'PAIRS',
    'Step',
    'TRIGGERS',
    'draw_schedule',
)

ROUND_MS = 20_000.0
STEPS_PER_ROUND = 60
ENTRIES = 3
AGENTS = 5

# Faults of an entry, or of its access to the table.
ENTRY_FAULTS = ('entry-kill', 'entry-pause', 'table-cut', 'lose-answer')
VM_FAULTS = (
    'agent-kill',
    'agent-pause',
    'worker-pause',
    'vm-pause',
    'vm-replace',
    'vm-renew',
)
BACKEND_FAULTS = ('backend-kill', 'backend-leave')
LINK_FAULTS = ('cut', 'silence', 'silence-to-agent', 'silence-to-entry', 'late')
WIDE_FAULTS = (
    'table-down',
    'table-slow',
    'zone-gone',
    'zone-dies',
    'roll-entries',
    'table-down-roll',
    'worker-fails',
)
FAULTS = ENTRY_FAULTS + VM_FAULTS + BACKEND_FAULTS + LINK_FAULTS + WIDE_FAULTS

# Triggers that an armed fault can wait for, with the faults of each.
COMMIT_TRIGGERS = (
    'renewal',
    'takeover',
    'submission',
    'cancellation',
    'assignment',
    'completion',
    'configuration',
    'claim',
)
RUN_TRIGGERS = ('idempotent', 'non-idempotent', 'keyed', 'resubmitted')
TASK_TRIGGERS = ('batch', 'keeper')
TRIGGERS = COMMIT_TRIGGERS + RUN_TRIGGERS + TASK_TRIGGERS
_AT_ENTRY = ENTRY_FAULTS + ('table-down', 'table-slow', 'roll-entries')
_AT_RUN = VM_FAULTS + BACKEND_FAULTS + LINK_FAULTS + ('entry-kill',)
_AT_TASK = VM_FAULTS + LINK_FAULTS + ('entry-kill', 'worker-fails')
PAIRS = tuple(
    (trigger, fault)
    for triggers, faults in (
        (COMMIT_TRIGGERS, _AT_ENTRY),
        (RUN_TRIGGERS, _AT_RUN),
        (TASK_TRIGGERS, _AT_TASK),
    )
    for trigger in triggers
    for fault in faults
)


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a schedule.

    Attributes:
        round_number: Rounds end with all faults healed and a drain.
        at_ms: Since the round began.
        action: A workload action, ``fault``, or ``arm``.
        choices: Numbers that select targets, modulo the number of targets.
        words: Arguments of the action.
        span_ms: Duration of a fault, or timeout of a request.
    """

    round_number: int
    at_ms: float
    action: str
    choices: tuple[int, ...]
    words: tuple[str, ...] = ()
    span_ms: float = 0

    def line(self):
        """Return a description in one line."""
        return (
            f'round {self.round_number} +{self.at_ms:.0f} ms {self.action} '
            f'{" ".join(self.words)} choices={self.choices} '
            f'span={self.span_ms:.0f}'
        )


class _ScheduleGenerator:
    def __init__(self, seed):
        self.rng = random.Random(f'schedule {seed}')
        self.keys = 0
        self.jobs = 0
        # All pairs of trigger and fault are drawn once before any is drawn
        # again, so that the cells of the matrix are covered evenly.
        self.pairs = []

    def step(self, round_number):
        rng = self.rng
        at_ms = rng.uniform(0, ROUND_MS)
        draw = rng.choices(
            (self._call, self._job, self._cancel, self._change, self._fault)
            + (self._arm,),
            (40, 12, 4, 8, 16, 20),
        )[0]
        action, words, span_ms = draw()
        choices = tuple(rng.randrange(1 << 16) for _ in range(4))
        return Step(round_number, at_ms, action, choices, words, span_ms)

    def _call(self):
        rng = self.rng
        how = rng.choice(('idempotent', 'non-idempotent', 'keyed', 'again'))
        if how == 'keyed':
            self.keys += 1
        key = ''
        if how in {'keyed', 'again'}:
            key = f'key-{max(self.keys - rng.randrange(3), 1)}'
            if how == 'keyed':
                key = f'key-{self.keys}'
        service = 'lookup' if how == 'idempotent' else 'booking'
        took = rng.choice((5, 20, 100, 800))
        return 'call', (service, key, str(took)), rng.choice((300, 1000, 2500))

    def _job(self):
        self.jobs += 1
        template = self.rng.choices(('feed', 'rebuild', 'huge'), (10, 5, 1))[0]
        tasks = self.rng.choice((1, 3, 8, 20))
        return 'job', (f'job-{self.jobs}', template, str(tasks)), 0

    def _cancel(self):
        last = max(self.jobs, 1)
        first = max(last - self.rng.randrange(4), 1)
        jobs = tuple(f'job-{number}' for number in range(first, last + 1))
        return 'cancel', jobs, 0

    def _change(self):
        key = self.rng.choice(
            ('team/trust', 'parameters/trust/booking', 'parameters/viva/spare')
        )
        racing = self.rng.choice(('one', 'two', 'two', 'three'))
        return 'change', (key, racing), 0

    def _fault(self):
        return 'fault', (self.rng.choice(FAULTS),), self._span()

    def _arm(self):
        if not self.pairs:
            self.pairs = list(PAIRS)
            self.rng.shuffle(self.pairs)
        return 'arm', self.pairs.pop(), self._span()

    def _span(self):
        return self.rng.choice((50, 400, 1500, 4000, 9000, 14_000))


def draw_schedule(seed, steps):
    """Return the steps of a run, in order of time within each round."""
    generator = _ScheduleGenerator(seed)
    return sorted(
        (generator.step(number // STEPS_PER_ROUND) for number in range(steps)),
        key=lambda step: (step.round_number, step.at_ms),
    )
