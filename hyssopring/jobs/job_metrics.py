"""Counters and histograms of jobs, derived from log events.

Deriving them from the log keeps metrics and log lines consistent.
docs/METRICS.md lists the series.
"""

from types import MappingProxyType
from typing import Final, Mapping

from hyssopring.logs import Event
from hyssopring.metrics import Metrics

__all__ = ('JobMetrics',)

EventFields = Mapping[str, object]

# The name of the counter of each event, and the event field that is its label;
# empty for a counter without a label.
_COUNTER_BY_EVENT: Final = MappingProxyType(
    {
        Event.JOB_ACCEPTED: ('jobs_accepted_total', ''),
        Event.JOB_FINISHED: ('jobs_finished_total', 'state'),
        Event.REQUEST_REFUSED: ('requests_refused_total', 'kind'),
        Event.TASK_PLACED: ('starts_ordered_total', ''),
        Event.TASK_REFUSED: ('starts_refused_total', 'reason'),
        Event.TASK_FINISHED: ('attempts_ended_total', 'how'),
        Event.TASK_LAPSED: ('attempts_given_up_total', 'reason'),
        Event.CANCELLED_TASK_FOUND: ('cancelled_tasks_found_total', 'state'),
        Event.TASK_PACED: ('paces_set_total', ''),
        Event.TASK_COPIED: ('copies_started_total', ''),
        Event.TASK_MOVED: ('tasks_moved_total', 'why'),
        Event.WORKER_SLOW: ('workers_slow_total', ''),
        Event.WORKER_RECOVERED: ('workers_recovered_total', ''),
        Event.WORKER_CRASHED: ('workers_crashed_total', ''),
        Event.WORKER_RESTARTED: ('workers_restarted_total', ''),
        Event.TASK_SUSPECTED: ('suspects_total', 'cause'),
        Event.TASK_GIVEN_UP: ('jobs_given_up_total', ''),
        Event.TASK_WAITING: ('lasting_tasks_waited_total', 'reason'),
        Event.SUSPECT_CLEARED: ('suspects_cleared_total', ''),
        Event.LEARNED_STATE_LOADED: ('learned_states_loaded_total', ''),
        Event.LEARNED_STATE_IGNORED: ('learned_states_ignored_total', ''),
        Event.ADVICE_GIVEN: ('questions_answered_total', ''),
        Event.ADVICE_UNAVAILABLE: ('questions_unanswered_total', ''),
        Event.SHARD_ACQUIRED: ('shards_acquired_total', ''),
        Event.SHARD_LOST: ('shards_lost_total', ''),
        Event.STORE_RELAYED: ('store_relays_begun_total', ''),
        Event.STORE_UNREACHABLE: ('store_losses_total', ''),
        Event.CONNECTION_SILENT: ('connections_silent_total', ''),
        Event.INVARIANT_VIOLATED: ('invariant_violations_total', ''),
    }
)


class JobMetrics:
    """Update the metrics of one process from its log events."""

    def __init__(self, metrics: Metrics) -> None:
        """Update ``metrics``."""
        self._metrics = metrics

    def record_event(self, event: Event, fields: EventFields) -> None:
        """Count one event; pass this method to ``listen_to_events``."""
        counter = _COUNTER_BY_EVENT.get(event)
        if counter is None:
            return
        series, field_name = counter
        label = (
            f'{{{field_name}="{fields.get(field_name, "")}"}}'
            if field_name
            else ''
        )
        self._metrics.count(series + label)
        if event is Event.JOB_FINISHED:
            self._record_finished(fields)
        elif event is Event.TASK_PLACED:
            self._observe('report_age', fields.get('report_age_ms'))
        elif event is Event.ADVICE_GIVEN:
            self._observe('question', fields.get('took_ms'))

    def _record_finished(self, fields: EventFields) -> None:
        age_ms, due_ms = fields.get('age_ms'), fields.get('due_ms')
        self._observe('job_age', age_ms)
        if isinstance(age_ms, int) and isinstance(due_ms, int):
            if age_ms > due_ms:
                self._metrics.count('jobs_late_total')

    def _observe(self, series: str, duration_ms: object) -> None:
        if isinstance(duration_ms, int):
            self._metrics.observe(series, duration_ms)
