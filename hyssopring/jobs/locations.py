"""Which agents may run a lasting task, as a shard's owner tells successors."""

from collections import defaultdict
from typing import Callable, Final, Iterable, Mapping

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.fleet import Fleet, PlacedAttempt, Worker
from hyssopring.jobs.former_owner import FormerOwner
from hyssopring.jobs.model import TaskName
from hyssopring.jobs.epoch_rows import EpochRows
from hyssopring.jobs.roster import Roster

__all__ = ('Locations',)

_LOOK_MS: Final = MILLIS_PER_SECOND

# Whether an agent has told this reign what it runs.
IsHeard = Callable[[str], bool]


class Locations:
    """Keeps the lasting tasks in the agents' rows up to date.

    A task is added before it is ordered. It is taken off again once it runs
    elsewhere or its job has ended; until then it may start there again at once.
    """

    def __init__(
        self,
        clock: Clock,
        roster: Roster,
        reign_rows: EpochRows,
        former: FormerOwner,
        by_job: Mapping[str, JobRecord],
    ) -> None:
        """Look at the tasks of ``by_job``."""
        self._clock = clock
        self._roster = roster
        self._reign_rows = reign_rows
        self._former = former
        self._by_job = by_job
        self._looked_at = clock.now()
        self._agents_by_task: dict[str, set[str]] = defaultdict(set)

    def ensure_located(self, agent_id: str, tasks: list[str]) -> bool:
        """Whether an agent's row lists tasks; else write that it does."""
        if self._roster.is_located(agent_id, tasks):
            return True
        known = self._roster.tasks(agent_id)
        self._roster.locate(agent_id, {*known, *tasks})
        return False

    def loaded(self) -> None:
        """The agents' rows are known: note which agents each task is in.

        Rows of agents that are still to be heard do not change.
        """
        for agent_id in self._roster.agents:
            for task in self._roster.tasks(agent_id):
                self._agents_by_task[task].add(agent_id)

    def possible_agents(self, task: str, unheard: set[str]) -> set[str]:
        """Return the unheard agents that may run a lasting task."""
        if not self._reign_rows.is_complete:
            return unheard
        return self._agents_by_task.get(task, set()) & unheard

    def located_on(self, task: str, workers: Iterable[Worker]) -> set[str]:
        """Return the boots of workers on which a task may be ordered now."""
        return {
            worker.boot
            for worker in workers
            if self._roster.is_located(worker.agent_id, [task])
        }

    def update(
        self, fleet: Fleet, is_heard: IsHeard, has_unheard: bool
    ) -> None:
        """Bring the rows up to date, if it is time to; call regularly.

        Args:
            fleet: The agents as this entry knows them.
            is_heard: Tells agents whose rows may be changed.
            has_unheard: Whether some agent has not told what it runs.
        """
        now = self._clock.now()
        if now - self._looked_at < _LOOK_MS:
            return
        self._looked_at = now
        agent_by_task = self._running(fleet)
        is_all_located = True
        for worker in fleet.by_agent.values():
            if is_heard(worker.agent_id) and worker.agent_id in self._roster:
                placed = self._placed(worker)
                self._update(worker.agent_id, placed, agent_by_task)
                is_all_located &= self._roster.is_located(
                    worker.agent_id, placed
                )
        if is_all_located and not has_unheard and not self._former.may_act:
            self._reign_rows.complete()

    def _update(
        self,
        agent_id: str,
        placed: set[str],
        agent_by_task: Mapping[str, str],
    ) -> None:
        """Add what was ordered there; take off what has moved or ended."""
        kept = set(self._roster.tasks(agent_id))
        if not self._former.may_act:
            # A former owner could order again what it has listed there.
            kept = {
                task
                for task in kept
                if self._is_live(task)
                and agent_by_task.get(task, agent_id) == agent_id
            }
        self._roster.locate(agent_id, kept | placed)

    def _running(self, fleet: Fleet) -> dict[str, str]:
        """Return the agents of the tasks that reports have named."""
        return {
            task: worker.agent_id
            for worker in fleet.by_agent.values()
            for task, placed in worker.placed_by_task.items()
            if self._is_ours(placed) and placed.reports > 0
        }

    def _placed(self, worker: Worker) -> set[str]:
        return {
            task
            for task, placed in worker.placed_by_task.items()
            if self._is_ours(placed)
        }

    def _is_ours(self, placed: PlacedAttempt) -> bool:
        return placed.step.is_keeper and placed.name.job_id in self._by_job

    def _is_live(self, task: str) -> bool:
        record = self._by_job.get(TaskName.from_text(task).job_id)
        return record is not None and record.final_state is None
