"""Crashes of all workers, as reported by their agents."""

from collections import deque
from dataclasses import dataclass
from typing import Container, Final

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.fleet import Fleet, Worker
from hyssopring.jobs.messages import WorkerReport

__all__ = ('WorkerCrashes',)

# Crashes this close to each other may have a common cause. Agents report, and
# poll their workers, every half second.
_SAME_CAUSE_MS: Final = MILLIS_PER_SECOND
# This many other crashes at the same time make a common cause likely.
_MIN_OTHER_CRASHES: Final = 2
# A worker that has not answered for this long may have crashed.
_SILENT_MS: Final = MILLIS_PER_SECOND
_RECENT_MS: Final = 20 * MILLIS_PER_SECOND
# Crashes are frequent if more than one in this many workers crashed recently.
_WORKERS_PER_CRASH: Final = 2
_MAX_CRASHES: Final = 500


@dataclass(slots=True)
class _WorkerCrash:
    """An unannounced end of a worker's incarnation.

    Attributes:
        last_answer_at_ms: When the worker answered last.
        is_explained: Whether the worker was running a trial of a suspect.
    """

    agent_id: str
    last_answer_at_ms: float
    is_explained: bool


class WorkerCrashes:
    """Distinguish single crashes from those of many workers at once."""

    def __init__(self, clock: Clock, fleet: Fleet) -> None:
        """Start without crashes."""
        self._clock = clock
        self._fleet = fleet
        self._crashes: deque[_WorkerCrash] = deque(maxlen=_MAX_CRASHES)

    def record_report(
        self,
        worker: Worker,
        report: WorkerReport,
        trial_agents: Container[str],
    ) -> None:
        """Record a crash if a report shows a new incarnation.

        Args:
            worker: The worker, still with its previous report.
            trial_agents: IDs of the agents whose workers run a trial.
        """
        previous = worker.report
        if previous is None or not previous.boot or previous.is_leaving:
            return
        if report.boot and report.boot != previous.boot:
            last_answer_at_ms = worker.reported_at - previous.silent_ms
            is_explained = worker.agent_id in trial_agents
            self._crashes.append(
                _WorkerCrash(worker.agent_id, last_answer_at_ms, is_explained)
            )

    def attribute_to_trial(self, agent_id: str) -> None:
        """Attribute the last crash of an agent's worker to a trial.

        The trial may have been started by a former owner.
        """
        for crash in reversed(self._crashes):
            if crash.agent_id == agent_id:
                crash.is_explained = True
                return

    def has_common_cause(
        self, agent_id: str, trial_agents: Container[str]
    ) -> bool:
        """Return whether the last crash probably had a common cause.

        That is, other workers crashed at the same time. Workers in a trial do
        not count: their suspects explain their crashes.
        """
        crashed_at_ms = max(
            (
                crash.last_answer_at_ms
                for crash in self._crashes
                if crash.agent_id == agent_id
            ),
            default=self._clock.now(),
        )
        other_agents = {
            crash.agent_id
            for crash in self._crashes
            if not crash.is_explained
            and abs(crash.last_answer_at_ms - crashed_at_ms) <= _SAME_CAUSE_MS
        }
        other_agents.update(
            worker.agent_id
            for worker in self._fleet.by_agent.values()
            if worker.agent_id not in trial_agents
            and self._is_silent(worker, crashed_at_ms)
        )
        other_agents.discard(agent_id)
        return len(other_agents) >= _MIN_OTHER_CRASHES

    @property
    def are_frequent(self) -> bool:
        """Return whether a crash during a trial may well be a coincidence."""
        since_ms = self._clock.now() - _RECENT_MS
        recent_count = sum(
            not crash.is_explained and crash.last_answer_at_ms >= since_ms
            for crash in self._crashes
        )
        return recent_count * _WORKERS_PER_CRASH > len(self._fleet.by_agent)

    def _is_silent(self, worker: Worker, crashed_at_ms: float) -> bool:
        """Return whether a worker fell silent at the time of a crash."""
        report = worker.report
        if report is None or report.silent_ms < _SILENT_MS:
            return False
        last_answer_at_ms = worker.reported_at - report.silent_ms
        return abs(last_answer_at_ms - crashed_at_ms) <= _SAME_CAUSE_MS
