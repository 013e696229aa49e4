"""Amounts of work in core-milliseconds."""

from typing import Callable, Final

from hyssopring.jobs.model import Job

__all__ = ('ExpectedMs', 'core_ms', 'estimate_of', 'wire_amount')

# Returns the expected run time in ms of a task of a job's step.
ExpectedMs = Callable[[Job, int], float]

_MILLIS_PER_CORE: Final = 1000
# Estimates and sizes of jobs may be any number; 32 core-years.
_MAX_CORE_MS: Final = 1e12
# Integers are 64 bits long on the wire.
_MAX_ON_WIRE: Final = 2**53


def core_ms(run_ms: float, cpu_millis: float) -> float:
    """Return the work of a run in core-ms, within finite bounds."""
    work = max(0, run_ms) * max(0, cpu_millis) / _MILLIS_PER_CORE
    return min(work, _MAX_CORE_MS)


def estimate_of(job: Job, step_index: int) -> float:
    """Return the caller's estimate of a task's run time in ms."""
    return job.steps[step_index].estimate_ms


def wire_amount(amount: float) -> int:
    """Return an amount as an integer that fits in a message."""
    return round(min(max(0, amount), _MAX_ON_WIRE))
