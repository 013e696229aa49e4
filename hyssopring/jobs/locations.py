"""Writes which agents may run a keeper's task, for the next owners."""

from collections import defaultdict
from typing import Callable, Final, Iterable, Mapping

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.epoch_rows import EpochRows
from hyssopring.jobs.fleet import Fleet, PlacedAttempt, Worker
from hyssopring.jobs.former_owner import FormerOwners
from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.model import TaskName
from hyssopring.jobs.roster import Roster

__all__ = ('Locations',)

_UPDATE_INTERVAL_MS: Final = MILLIS_PER_SECOND

# Whether an agent has sent a report under this epoch.
IsReported = Callable[[str], bool]


class Locations:
    """Keeps the keepers' tasks in the agents' rows up to date.

    A task is added before it is started. It is removed once it runs elsewhere
    or its job has ended; until then it may start there again without a write.

    Attributes:
        target_agent_by_task: The agents whose rows are to list tasks that move
            there, also while they still run elsewhere.
    """

    def __init__(
        self,
        clock: Clock,
        roster: Roster,
        epoch_rows: EpochRows,
        former: FormerOwners,
        by_job: Mapping[str, JobRecord],
    ) -> None:
        """Track the keepers' tasks of the jobs in ``by_job``."""
        self._clock = clock
        self._roster = roster
        self._epoch_rows = epoch_rows
        self._former = former
        self._by_job = by_job
        self._updated_at = clock.now()
        self._agents_by_task: dict[str, set[str]] = defaultdict(set)
        self.target_agent_by_task: dict[str, str] = {}

    def ensure_listed(self, agent_id: str, tasks: list[str]) -> bool:
        """Return whether an agent's row lists tasks; if not, add them."""
        if self._roster.is_located(agent_id, tasks):
            return True
        listed = self._roster.tasks(agent_id)
        self._roster.set_tasks(agent_id, {*listed, *tasks})
        return False

    def load(self) -> None:
        """Index the loaded rows by task.

        The rows of unreported agents do not change after that.
        """
        for agent_id in self._roster.agents:
            for task in self._roster.tasks(agent_id):
                self._agents_by_task[task].add(agent_id)

    def possible_agents(self, task: str, unreported: set[str]) -> set[str]:
        """Return the unreported agents that may run a keeper's task."""
        if not self._epoch_rows.is_complete:
            return unreported
        return self._agents_by_task.get(task, set()) & unreported

    def located_on(self, task: str, workers: Iterable[Worker]) -> set[str]:
        """Return the boots of workers whose rows list a task."""
        return {
            worker.boot
            for worker in workers
            if self._roster.is_located(worker.agent_id, [task])
        }

    def update(
        self, fleet: Fleet, is_reported: IsReported, has_unreported: bool
    ) -> None:
        """Update the rows about once a second; call regularly.

        Args:
            fleet: The agents known to this entry.
            is_reported: Whether an agent has reported, so that its row may
                change.
            has_unreported: Whether some agent has not reported yet.
        """
        now_ms = self._clock.now()
        if now_ms - self._updated_at < _UPDATE_INTERVAL_MS:
            return
        self._updated_at = now_ms
        agent_by_task = self._running(fleet)
        is_all_located = True
        for worker in fleet.by_agent.values():
            if is_reported(worker.agent_id) and worker.agent_id in self._roster:
                placed = self._placed(worker)
                self._update(worker.agent_id, placed, agent_by_task)
                is_all_located &= self._roster.is_located(
                    worker.agent_id, placed
                )
        if (
            is_all_located
            and not has_unreported
            and not self._former.may_grants_act
        ):
            self._epoch_rows.mark_complete()

    def _update(
        self,
        agent_id: str,
        placed: set[str],
        agent_by_task: Mapping[str, str],
    ) -> None:
        """Add the tasks started there; remove those that moved or ended."""
        retained = set(self._roster.tasks(agent_id))
        if not self._former.may_grants_act:
            # While it may act, a former owner may start listed tasks again.
            retained = {
                task
                for task in retained
                if self._is_live(task)
                and agent_id
                in {
                    agent_by_task.get(task, agent_id),
                    self.target_agent_by_task.get(task),
                }
            }
        self._roster.set_tasks(agent_id, retained | placed)

    def _running(self, fleet: Fleet) -> dict[str, str]:
        """Return the agents of the keepers' tasks that are in reports."""
        return {
            task: worker.agent_id
            for worker in fleet.by_agent.values()
            for task, placed in worker.placed_by_task.items()
            if self._is_own_keeper(placed) and placed.report_count > 0
        }

    def _placed(self, worker: Worker) -> set[str]:
        return {
            task
            for task, placed in worker.placed_by_task.items()
            if self._is_own_keeper(placed)
        }

    def _is_own_keeper(self, placed: PlacedAttempt) -> bool:
        return placed.step.is_keeper and placed.name.job_id in self._by_job

    def _is_live(self, task: str) -> bool:
        record = self._by_job.get(TaskName.from_text(task).job_id)
        return record is not None and record.final_state is None
