"""The workers that count as slow, and the log of changes."""

from dataclasses import dataclass
from typing import Final, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.fleet import Worker
from hyssopring.logs import Event, log_event
from hyssopring.stragglers.worker_speeds import (
    SpeedSample,
    WorkerSpeeds,
    slow_workers,
)

__all__ = ('SlowSet',)

# A slow worker recovers this much above the limit, so that noise does not
# change its state again and again.
_RECOVERY_FACTOR: Final = 1.2
_SPEED_DIGITS: Final = 2


@dataclass(frozen=True, slots=True)
class _SlowSince:
    agent_id: str
    since_ms: float


class SlowSet:
    """Decide which workers count as slow.

    Attributes:
        speed_by_boot: The relative speeds of the slow workers.
    """

    def __init__(self, clock: Clock, slow_speed: float) -> None:
        """Start without slow workers.

        Args:
            slow_speed: Workers below this relative speed are slow.
        """
        self._clock = clock
        self._slow_speed = slow_speed
        self._speeds = WorkerSpeeds()
        self._since_by_boot: dict[str, _SlowSince] = {}
        self.speed_by_boot: dict[str, float] = {}

    def update(
        self, workers: Iterable[Worker], samples: Iterable[SpeedSample]
    ) -> None:
        """Count samples and decide anew."""
        now_ms = self._clock.now()
        for sample in samples:
            self._speeds.record(sample, now_ms)
        worker_by_boot = {
            worker.boot: worker
            for worker in workers
            if worker.boot and worker.is_connected
        }
        self._speeds.forget_old(worker_by_boot, now_ms)
        slow: dict[str, float] = {}
        for speed_by_boot in self._by_service(worker_by_boot).values():
            slow.update(slow_workers(speed_by_boot, self._slow_speed))
        self._log_changes(slow, worker_by_boot, now_ms)
        self.speed_by_boot = {
            boot: self._speeds.speed_of(boot) for boot in slow
        }

    def _by_service(
        self, worker_by_boot: dict[str, Worker]
    ) -> dict[str, dict[str, float]]:
        """Return the speeds that are compared with the limit, by service."""
        by_service: dict[str, dict[str, float]] = {}
        for boot, worker in worker_by_boot.items():
            speed = self._speeds.speed_of(boot)
            if boot in self._since_by_boot:
                speed /= _RECOVERY_FACTOR
            by_service.setdefault(worker.service, {})[boot] = speed
        return by_service

    def _log_changes(
        self,
        slow: dict[str, float],
        worker_by_boot: dict[str, Worker],
        now_ms: float,
    ) -> None:
        for boot in slow.keys() - self._since_by_boot.keys():
            agent_id = worker_by_boot[boot].agent_id
            self._since_by_boot[boot] = _SlowSince(agent_id, now_ms)
            log_event(
                Event.WORKER_SLOW,
                agent=agent_id,
                boot=boot,
                speed=round(self._speeds.speed_of(boot), _SPEED_DIGITS),
                keys=self._speeds.key_count(boot),
            )
        for former in self._since_by_boot.keys() - slow.keys():
            since = self._since_by_boot.pop(former)
            if former in worker_by_boot:
                log_event(
                    Event.WORKER_RECOVERED,
                    agent=since.agent_id,
                    boot=former,
                    speed=round(self._speeds.speed_of(former), _SPEED_DIGITS),
                    slow_ms=int(now_ms - since.since_ms),
                )
