"""Gauges of the processor time and memory of this process."""

import resource

from hyssopring.metrics.registry import Metrics

__all__ = ('gauge_process',)

_STATM_PATH = '/proc/self/statm'
_RESIDENT_FIELD = 1


def gauge_process(metrics: Metrics) -> None:
    """Set gauges of processor time in seconds and of resident bytes."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    metrics.gauge('process_cpu_seconds', usage.ru_utime + usage.ru_stime)
    metrics.gauge('process_resident_bytes', _resident_bytes(usage))


def _resident_bytes(usage: resource.struct_rusage) -> int:
    try:
        with open(_STATM_PATH, encoding='ascii') as statm:
            pages = statm.read().split()[_RESIDENT_FIELD]
    except OSError:
        # Without this file only the maximum so far is available, in KB.
        return usage.ru_maxrss * 1024
    return int(pages) * resource.getpagesize()
