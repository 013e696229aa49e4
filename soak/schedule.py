"""What a run will do, drawn whole from the seed before it starts.

Each step carries all that it needs, so a schedule can be shrunk by deleting
steps; what is left still happens at the same times, to the same targets.
"""

import random
from dataclasses import dataclass

__all__ = (
    'FAULTS',
    'MOMENTS',
    'PAIRS',
    'Step',
    'draw_schedule',
)

ROUND_MS = 20_000.0
STEPS_PER_ROUND = 60
ENTRIES = 3
AGENTS = 5

# Faults that hit one process, or the table as one entry sees it.
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

# Moments that a fault can be set to wait for, with the faults that suit it.
COMMIT_MOMENTS = (
    'renewal',
    'takeover',
    'submission',
    'cancellation',
    'assignment',
    'completion',
    'configuration',
    'claim',
)
RUN_MOMENTS = ('idempotent', 'non-idempotent', 'keyed', 'resubmitted')
TASK_MOMENTS = ('batch', 'keeper')
MOMENTS = COMMIT_MOMENTS + RUN_MOMENTS + TASK_MOMENTS
_AT_ENTRY = ENTRY_FAULTS + ('table-down', 'table-slow', 'roll-entries')
_AT_RUN = VM_FAULTS + BACKEND_FAULTS + LINK_FAULTS + ('entry-kill',)
_AT_TASK = VM_FAULTS + LINK_FAULTS + ('entry-kill', 'worker-fails')
PAIRS = tuple(
    (moment, fault)
    for moments, faults in (
        (COMMIT_MOMENTS, _AT_ENTRY),
        (RUN_MOMENTS, _AT_RUN),
        (TASK_MOMENTS, _AT_TASK),
    )
    for moment in moments
    for fault in faults
)


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that happens.

    Attributes:
        round_number: Rounds end with all faults healed and a drain.
        at_ms: Since the round began.
        action: A workload action, ``fault``, or ``arm``.
        choices: Numbers that pick targets, taken modulo what there is.
        words: Names that the action needs.
        span_ms: How long a fault lasts, or a request may take.
    """

    round_number: int
    at_ms: float
    action: str
    choices: tuple[int, ...]
    words: tuple[str, ...] = ()
    span_ms: float = 0

    def line(self):
        """Say it in one line."""
        return (
            f'round {self.round_number} +{self.at_ms:.0f} ms {self.action} '
            f'{" ".join(self.words)} choices={self.choices} '
            f'span={self.span_ms:.0f}'
        )


class _Drawing:
    def __init__(self, seed):
        self.rng = random.Random(f'schedule {seed}')
        self.keys = 0
        self.jobs = 0
        # Each pair of moment and fault comes once before any comes again, so
        # that the cells of the matrix fill evenly.
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
    drawing = _Drawing(seed)
    return sorted(
        (drawing.step(number // STEPS_PER_ROUND) for number in range(steps)),
        key=lambda step: (step.round_number, step.at_ms),
    )
