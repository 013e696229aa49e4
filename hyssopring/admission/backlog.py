"""The outlook of an owner, from its jobs and workers."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Final, Iterable

from hyssopring.admission.ended_work import EndedWork
from hyssopring.admission.messages import QueueOutlook, ServiceOutlook
from hyssopring.admission.demand import ExpectedMs, core_ms, wire_amount
from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.job_record import JobRecord, StepRun

__all__ = ('Backlog', 'waits_for_capacity')

# On average, half of the work of a running task is done.
_RUNNING_SHARE_LEFT: Final = 0.5
# Keepers use about half of the processor time that they reserve.
_KEEPER_SHARE_USED: Final = 0.5
# Bounds the size of a notice; the queues with the most work are kept.
_MAX_QUEUES: Final = 100


def waits_for_capacity(record: JobRecord, run: StepRun) -> bool:
    """Return whether a step without a worker lacks nothing but capacity.

    Other tasks may start at once if a step waits for a ticket or for a worker
    that does not run a task of the step yet.
    """
    is_limited = run.step.max_per_worker or record.job.queue.advice is not None
    return bool(run.waiting) and not is_limited and not run.step.is_keeper


@dataclass(slots=True)
class _QueueWork:
    """The work of a queue for workers with a label."""

    service: str
    priority: int
    work: float = 0
    job_ids: set[str] = field(default_factory=set)
    is_waiting: bool = False


class Backlog:
    """The work of all live jobs that is not done, counted once."""

    def __init__(
        self,
        records: Iterable[JobRecord],
        unplaced: Iterable[tuple[JobRecord, StepRun]],
        expected_ms: ExpectedMs,
    ) -> None:
        """Count the work of ``records``.

        Args:
            records: The jobs without a final state.
            unplaced: Steps of which a task found no worker in the last
                planning round.
            expected_ms: Returns the expected run time of a task.
        """
        self._expected_ms = expected_ms
        self._work_by_queue: dict[tuple[str, str], _QueueWork] = {}
        self._running_by_service: Counter[str] = Counter()
        self._kept_by_service: Counter[str] = Counter()
        for record in records:
            for run in record.step_runs.values():
                self._add(record, run)
        for waiting_record, waiting_run in unplaced:
            if waits_for_capacity(waiting_record, waiting_run):
                self._queue_work(waiting_record, waiting_run).is_waiting = True

    def queues(self, ended: EndedWork, now_ms: float) -> list[QueueOutlook]:
        """Return the outlook of the queues with the most work."""
        largest = sorted(
            self._work_by_queue.items(),
            key=lambda keyed: (not keyed[1].is_waiting, -keyed[1].work),
        )
        return [
            QueueOutlook(
                queue,
                counted.service,
                label,
                counted.priority,
                wire_amount(counted.work),
                wire_amount(ended.rate_millis(queue, now_ms)),
                len(counted.job_ids),
                counted.is_waiting,
            )
            for (queue, label), counted in largest[:_MAX_QUEUES]
        ]

    def services(
        self, ended: EndedWork, workers: Iterable[Worker], now_ms: float
    ) -> list[ServiceOutlook]:
        """Return the outlook of the services that have work."""
        usable_by_service: Counter[str] = Counter()
        for worker in workers:
            usable_by_service[worker.service] += worker.capacity.cpu_millis
        speed = ended.speed(now_ms)
        return [
            self._service(
                service,
                sum(ended.rate_millis(queue, now_ms) for queue in queues),
                speed,
                usable_by_service[service],
            )
            for service, queues in self._queues_by_service().items()
        ]

    def _service(
        self,
        service: str,
        ended_millis: float,
        speed: float,
        capacity_millis: int,
    ) -> ServiceOutlook:
        running = self._running_by_service[service]
        kept = self._kept_by_service[service] * _KEEPER_SHARE_USED
        usable = wire_amount(capacity_millis - kept)
        # The ends of long tasks are too rare for an average, so what runs
        # counts as well.
        rate = max(ended_millis, running * speed) or usable
        return ServiceOutlook(
            service, wire_amount(rate), wire_amount(running), usable
        )

    def _queues_by_service(self) -> dict[str, set[str]]:
        queues_by_service: dict[str, set[str]] = {}
        for (queue, _label), counted in self._work_by_queue.items():
            queues_by_service.setdefault(counted.service, set()).add(queue)
        return queues_by_service

    def _add(self, record: JobRecord, run: StepRun) -> None:
        cpu_millis = run.step.size.cpu_millis
        running_count = len(run.running)
        service = record.job.queue.service
        if run.step.is_keeper:
            self._kept_by_service[service] += running_count * cpu_millis
            return
        undone_count = run.step.count - run.done.bit_count()
        if not undone_count:
            return
        self._running_by_service[service] += running_count * cpu_millis
        expected_ms = self._expected_ms(record.job, run.step_index)
        task_work = core_ms(expected_ms, cpu_millis)
        counted = self._queue_work(record, run)
        counted.work += task_work * (
            undone_count - running_count * (1 - _RUNNING_SHARE_LEFT)
        )
        counted.job_ids.add(record.job.job_id)

    def _queue_work(self, record: JobRecord, run: StepRun) -> _QueueWork:
        queue = record.job.queue
        return self._work_by_queue.setdefault(
            (queue.name, run.step.label),
            _QueueWork(queue.service, queue.priority),
        )
