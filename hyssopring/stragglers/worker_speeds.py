"""Relative speeds of workers, from the progress of their tasks.

A worker's speed for one key compares its tasks with tasks of the same step on
other workers: 1 is as fast as they are. Its speed averages several keys.
"""

from dataclasses import dataclass
from typing import Final, Iterable, Mapping

__all__ = ('SpeedSample', 'WorkerSpeeds', 'slow_workers')

# A worker's speed rests on at least this many keys: tasks of one image may be
# slow for another reason.
_MIN_KEYS: Final = 2
# A worker that has shown nothing for this long counts as any other.
_EXPIRY_MS: Final = 30_000.0
# A sample that is older than the newest one by this much weighs half.
_HALF_LIFE_MS: Final = 2000.0
# The weight of a new sample. A slow phase lasts some seconds, and a running
# task gives a sample each second.
_SAMPLE_WEIGHT: Final = 0.4
# A task that is faster than its siblings may have had less to do.
_MAX_SPEED: Final = 1.5
# At most one in this many workers of a service counts as slow: if more seem
# to be, the comparison is wrong or the whole service is slow.
_WORKERS_PER_SLOW: Final = 4


@dataclass(frozen=True, slots=True)
class SpeedSample:
    """The speed of one task relative to its siblings on other workers.

    Attributes:
        boot: The incarnation of the worker.
        key: The key of the task's run time.
    """

    boot: str
    key: str
    speed: float


@dataclass(slots=True)
class _SpeedOfKey:
    speed: float
    seen_at_ms: float


class WorkerSpeeds:
    """Average the samples of each worker by key."""

    def __init__(self) -> None:
        """Start without samples: all workers are of equal speed."""
        self._by_key_by_boot: dict[str, dict[str, _SpeedOfKey]] = {}

    def record(self, sample: SpeedSample, now_ms: float) -> None:
        """Count a sample."""
        speed = min(sample.speed, _MAX_SPEED)
        by_key = self._by_key_by_boot.setdefault(sample.boot, {})
        known = by_key.get(sample.key)
        if known is None:
            by_key[sample.key] = _SpeedOfKey(speed, now_ms)
            return
        known.speed += _SAMPLE_WEIGHT * (speed - known.speed)
        known.seen_at_ms = now_ms

    def forget_old(self, boots: Iterable[str], now_ms: float) -> None:
        """Drop old samples and workers that are not among ``boots``."""
        present = set(boots)
        kept: dict[str, dict[str, _SpeedOfKey]] = {}
        for boot, by_key in self._by_key_by_boot.items():
            fresh = {
                key: known
                for key, known in by_key.items()
                if now_ms - known.seen_at_ms <= _EXPIRY_MS
            }
            if boot in present and fresh:
                kept[boot] = fresh
        self._by_key_by_boot = kept

    def key_count(self, boot: str) -> int:
        """Return the number of keys that a worker's speed rests on."""
        return len(self._by_key_by_boot.get(boot, {}))

    def speed_of(self, boot: str) -> float:
        """Return a worker's relative speed, 1 if it is unknown.

        It is the mean over keys, in which older samples weigh less. The lowest
        key alone cannot make a worker slow: the speed is never below that of
        the second lowest.
        """
        known_speeds = list(self._by_key_by_boot.get(boot, {}).values())
        if len(known_speeds) < _MIN_KEYS:
            return 1
        newest_ms = max(known.seen_at_ms for known in known_speeds)
        weights = [
            _HALF_LIFE_MS / (_HALF_LIFE_MS + newest_ms - known.seen_at_ms)
            for known in known_speeds
        ]
        weighted = sum(
            weight * known.speed
            for weight, known in zip(weights, known_speeds, strict=True)
        )
        second_lowest = sorted(known.speed for known in known_speeds)[
            _MIN_KEYS - 1
        ]
        return max(weighted / sum(weights), second_lowest)


def slow_workers(
    speed_by_boot: Mapping[str, float], slow_speed: float
) -> dict[str, float]:
    """Return the speeds of the workers of one service that count as slow.

    Args:
        speed_by_boot: The speeds of all workers of the service.
        slow_speed: Workers below this speed are slow.
    """
    limit = len(speed_by_boot) // _WORKERS_PER_SLOW
    below = sorted(
        (speed, boot)
        for boot, speed in speed_by_boot.items()
        if speed < slow_speed
    )
    return {boot: speed for speed, boot in below[:limit]}
