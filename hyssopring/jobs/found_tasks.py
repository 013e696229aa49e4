"""Log of tasks that run although their job has ended."""

from typing import Final

from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.messages import AttemptReport
from hyssopring.jobs.stop_marks import log_stop
from hyssopring.jobs.workers import Worker
from hyssopring.logs import Event, log_event

__all__ = ('FoundTasks',)

_MAX_ATTEMPTS: Final = 1000
# The state of a job whose rows were removed some time after its end.
_FORGOTTEN: Final = 'forgotten'


class FoundTasks:
    """Logs attempts that are found, once for each.

    Such an attempt was started late, or by a process that is gone. Agents list
    it in each report until it has stopped.
    """

    def __init__(self) -> None:
        """Create a collection without attempts."""
        self._logged: dict[tuple[str, str, int], None] = {}

    def record(
        self,
        worker: Worker,
        attempt_report: AttemptReport,
        record: JobRecord | None,
    ) -> None:
        """Log an attempt that is found and stopped.

        Args:
            record: Its job, None if the job is not stored any more.
        """
        if not self._is_new(worker.agent_id, attempt_report):
            return
        state = _FORGOTTEN
        if record is not None:
            if record.final_state is None:
                return
            state = record.final_state.value
        log_event(
            Event.CANCELLED_TASK_FOUND,
            task=attempt_report.task,
            attempt=attempt_report.attempt,
            agent=worker.agent_id,
            state=state,
        )

    def record_unknown(
        self,
        worker: Worker,
        attempt_report: AttemptReport,
        record: JobRecord | None,
    ) -> None:
        """Log an attempt whose job has no such task, or is not stored."""
        key = self._key(worker.agent_id, attempt_report)
        if key not in self._logged:
            log_stop(
                attempt_report.task,
                attempt_report.attempt,
                worker,
                'its job is not known',
            )
        self.record(worker, attempt_report, record)

    def _is_new(self, agent_id: str, attempt_report: AttemptReport) -> bool:
        key = self._key(agent_id, attempt_report)
        if key in self._logged:
            return False
        self._logged[key] = None
        if len(self._logged) > _MAX_ATTEMPTS:
            self._logged.pop(next(iter(self._logged)))
        return True

    def _key(
        self, agent_id: str, attempt_report: AttemptReport
    ) -> tuple[str, str, int]:
        return agent_id, attempt_report.task, attempt_report.attempt
