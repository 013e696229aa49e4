"""When workers' lives ended, as their agents' reports tell an owner."""

from collections import deque
from dataclasses import dataclass
from typing import Container, Final

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.fleet import Fleet, Worker
from hyssopring.jobs.messages import WorkerReport

__all__ = ('WorkerCrashes',)

# Deaths this close to each other may have one cause. An agent reports each
# half second, and its worker is looked at as often.
_SAME_CAUSE_MS: Final = MILLIS_PER_SECOND
# So many others that die at the same time make a common cause likely.
_LEAST_OTHERS: Final = 2
# A worker that has not answered for this long may be dead.
_SILENT_MS: Final = MILLIS_PER_SECOND
_RECENT_MS: Final = 20 * MILLIS_PER_SECOND
# Deaths are frequent when more than one in so many workers has died recently.
_WORKERS_PER_DEATH: Final = 2
_KEPT: Final = 500


@dataclass(slots=True)
class _Death:
    """A life that ended unannounced.

    Attributes:
        at: When its worker answered last.
        is_explained: A suspect was on trial there.
    """

    agent_id: str
    at: float
    is_explained: bool


class WorkerCrashes:
    """Tells deaths that come alone from those of many workers at once."""

    def __init__(self, clock: Clock, fleet: Fleet) -> None:
        """Know of no death."""
        self._clock = clock
        self._fleet = fleet
        self._deaths: deque[_Death] = deque(maxlen=_KEPT)

    def record_report(
        self,
        worker: Worker,
        report: WorkerReport,
        trials: Container[str],
    ) -> None:
        """Compare a report with the one before, which the worker still has.

        Args:
            trials: The agents beside which a suspect is on trial.
        """
        before = worker.report
        if before is None or not before.boot or before.is_leaving:
            return
        if report.boot and report.boot != before.boot:
            at = worker.reported_at - before.silent_ms
            is_explained = worker.agent_id in trials
            self._deaths.append(_Death(worker.agent_id, at, is_explained))

    def explain(self, agent_id: str) -> None:
        """A suspect was on trial when an agent's worker died last.

        A former owner may have ordered that trial.
        """
        for each in reversed(self._deaths):
            if each.agent_id == agent_id:
                each.is_explained = True
                return

    def is_common(self, agent_id: str, trials: Container[str]) -> bool:
        """Whether an agent's worker died with others, of one cause at a guess.

        A worker on trial is none of the others: its own suspect explains it.
        """
        at = max(
            (each.at for each in self._deaths if each.agent_id == agent_id),
            default=self._clock.now(),
        )
        others = {
            each.agent_id
            for each in self._deaths
            if not each.is_explained and abs(each.at - at) <= _SAME_CAUSE_MS
        }
        others.update(
            worker.agent_id
            for worker in self._fleet.by_agent.values()
            if worker.agent_id not in trials and self._is_silent(worker, at)
        )
        others.discard(agent_id)
        return len(others) >= _LEAST_OTHERS

    @property
    def are_frequent(self) -> bool:
        """Whether workers die so often that one may well die in a trial."""
        since = self._clock.now() - _RECENT_MS
        recent = sum(
            not each.is_explained and each.at >= since for each in self._deaths
        )
        return recent * _WORKERS_PER_DEATH > len(self._fleet.by_agent)

    def _is_silent(self, worker: Worker, at: float) -> bool:
        report = worker.report
        if report is None or report.silent_ms < _SILENT_MS:
            return False
        heard_at = worker.reported_at - report.silent_ms
        return abs(heard_at - at) <= _SAME_CAUSE_MS
