"""Plans the tasks of the shards that this entry holds."""

import zlib
from functools import partial
from typing import Iterator, Sequence

from result import Result

from hyssopring.errors import Failure
from hyssopring.leases import HeldShard, ShardHolder
from hyssopring.membership import AgentRecord
from hyssopring.placement.assigner import Assigner
from hyssopring.placement.interference import InterferenceTracker
from hyssopring.placement.chunk_writer import ChunkWriter
from hyssopring.placement.ports import PlannerPorts
from hyssopring.placement.records import TaskState, chunk_prefix
from hyssopring.placement.mitigation import Mitigation
from hyssopring.placement.shard_plan import ShardPlan, keeper_job_id
from hyssopring.placement.sizes import LearnedSizes
from hyssopring.placement.task_reconciler import GrantKey
from hyssopring.placement.task_index import PlannedTask
from hyssopring.protocol.messages import LeaseGrant, TaskReport
from hyssopring.store import Row, Store
from hyssopring.tasks import TaskKind

__all__ = ('Planner', 'shard_of')

_SURVEY_MS = 1000.0
# Longer than any lease: an older grant has lapsed anyway.
_REMEMBER_GRANTS_MS = 7_200_000.0


def shard_of(name: str, shards: int) -> int:
    """Return the shard of a job or keeper set, the same in every process."""
    return zlib.crc32(name.encode()) % shards


class Planner:
    """Grants leases, takes reports and keeps the held shards' plans."""

    def __init__(self, store: Store, ports: PlannerPorts) -> None:
        """Take the ports; ``attach`` adds the shard holder."""
        self._store = store
        self._ports = ports
        self._interference = InterferenceTracker()
        self._sizes = LearnedSizes()
        self._mitigation = Mitigation(self._interference)
        self._assigner = Assigner(ports, self._interference, self._sizes)
        self._plan_by_shard: dict[int, ShardPlan] = {}
        self._granted_at: dict[GrantKey, float] = {}
        self._next_survey: float = 0
        self._holder: ShardHolder | None = None
        self._is_reading_inbox = False

    def attach(self, holder: ShardHolder) -> None:
        """Ask this holder which leases are good."""
        self._holder = holder

    def on_acquired(self, held: HeldShard) -> None:
        """Load a shard that this entry now holds."""
        journal = ChunkWriter(
            self._store,
            held,
            partial(self._is_current, held),
            self._fenced,
        )
        plan = ShardPlan(held, journal, self._ports)
        self._plan_by_shard[held.shard] = plan
        self._load(plan)

    def on_lost(self, shard: int) -> None:
        """Drop a shard; its next holder reads all from the table."""
        plan = self._plan_by_shard.pop(shard, None)
        if plan is not None:
            plan.is_dropped = True

    def grant_leases(self, record: AgentRecord) -> tuple[LeaseGrant, ...]:
        """Grant an agent the right to run tasks of the held shards.

        An agent whose worker does not answer gets none: nobody knows what
        runs there, so its leases are left to run out. Nor is anything
        granted before the plan was read: an agent answers the first grant
        of an epoch with all that it runs, once, and that must be heard.
        """
        held = [plan.held for plan in self._usable_plans()]
        if not held or not record.worker_boot:
            return ()
        key = (record.agent_id, record.worker_boot)
        self._granted_at[key] = self._ports.clock.now()
        times = self._ports.lease_times
        return tuple(
            LeaseGrant(
                shard.shard,
                shard.epoch,
                times.batch_ttl_ms,
                times.keeper_ttl_ms,
            )
            for shard in held
        )

    def poll(self) -> None:
        """Look for submitted jobs and cancellations; finish loading."""
        for plan in list(self._plan_by_shard.values()):
            if not plan.is_loaded and not plan.is_loading:
                self._load(plan)
        if self._is_reading_inbox or not self._plan_by_shard:
            return
        self._is_reading_inbox = True
        self._store.read('inbox/', self._inbox_read)

    def tick(self) -> None:
        """Place waiting tasks, notice lapsed ones, write what changed."""
        plans = self._usable_plans()
        if self._ports.clock.now() >= self._next_survey:
            self._survey(plans)
        for plan in plans:
            self._keep_up(plan)
        self._assigner.place_waiting(plans)
        for usable in plans:
            usable.flush()

    def on_heartbeat(self, record: AgentRecord) -> None:
        """Learn from an agent's report of load and use, and act on it."""
        now = self._ports.clock.now()
        self._sizes.observe(record.usage)
        self._interference.on_heartbeat(record, now)
        self._mitigation.on_heartbeat(record, self._usable_tasks(), now)

    def on_disconnected(self, agent_id: str) -> None:
        """Forget what shared the VM of an agent that has gone."""
        self._interference.forget(agent_id)
        self._mitigation.forget(agent_id)

    def on_report(self, record: AgentRecord, report: TaskReport) -> None:
        """Take an agent's report of its tasks."""
        for status in report.tasks:
            plan = self._usable(status.shard)
            if plan is not None:
                plan.take_status(record, status)
        complete = self._usable(report.shard) if report.complete else None
        if complete is not None:
            complete.reconcile(record, report)

    def tasks(self) -> Iterator[PlannedTask]:
        """Return all tasks that this entry plans."""
        for shard in sorted(self._plan_by_shard):
            yield from self._plan_by_shard[shard].index.tasks

    def _usable_tasks(self) -> Iterator[PlannedTask]:
        for plan in self._usable_plans():
            yield from plan.index.tasks

    def _load(self, plan: ShardPlan) -> None:
        plan.is_loading = True
        self._store.read(
            chunk_prefix(plan.held.shard),
            lambda answer: self._loaded(plan, answer),
        )

    def _loaded(
        self,
        plan: ShardPlan,
        answer: Result[Sequence[Row], Failure],
    ) -> None:
        if self._plan_by_shard.get(plan.held.shard) is not plan:
            return
        plan.is_loading = False
        if answer.is_ok():
            plan.load(list(answer.unwrap()))

    def _fenced(self, shard: int) -> None:
        if self._holder is not None:
            self._holder.drop(shard, 'rows changed under its planner')

    def _usable(self, shard: int) -> ShardPlan | None:
        plan = self._plan_by_shard.get(shard)
        if plan is None or not plan.is_loaded or self._holder is None:
            return None
        return plan if self._holder.get(shard) else None

    def _usable_plans(self) -> list[ShardPlan]:
        plans = [self._usable(shard) for shard in sorted(self._plan_by_shard)]
        return [plan for plan in plans if plan is not None]

    def _inbox_read(self, answer: Result[Sequence[Row], Failure]) -> None:
        self._is_reading_inbox = False
        if answer.is_err():
            return
        for row in answer.unwrap():
            plan = self._usable(int(row.key.split('/')[1]))
            if plan is not None:
                plan.handle_inbox_row(row)

    def _is_current(self, held: HeldShard) -> bool:
        return self._holder is not None and (
            self._holder.get(held.shard) == held
        )

    def _survey(self, plans: Sequence[ShardPlan]) -> None:
        """Look over all tasks for what time alone changes."""
        now = self._ports.clock.now()
        self._next_survey = now + _SURVEY_MS
        for plan in plans:
            plan.reclaim_lapsed(self._granted_at)
            plan.forget_finished()
        oldest = now - _REMEMBER_GRANTS_MS
        self._granted_at = {
            key: granted_at
            for key, granted_at in self._granted_at.items()
            if granted_at > oldest
        }
        self._gauge_keepers(plans)

    def _keep_up(self, plan: ShardPlan) -> None:
        """Bring a plan's keeper sets to what the configuration says."""
        configuration = self._ports.configuration
        if self._holder is None or not configuration.is_known:
            return
        if plan.keepers_version == configuration.version:
            return
        plan.keepers_version = configuration.version
        count_by_service = dict.fromkeys(plan.keeper_services(), 0)
        for policy in configuration.policies():
            job_id = keeper_job_id(policy.service_name)
            is_keeper = policy.kind == TaskKind.KEEPER.value
            shard = shard_of(job_id, self._holder.shards)
            if is_keeper and shard == plan.held.shard:
                count_by_service[policy.service_name] = policy.keepers
        for service_name, count in count_by_service.items():
            plan.keep_up(service_name, count)

    def _gauge_keepers(self, plans: Sequence[ShardPlan]) -> None:
        keepers = [
            planned.task
            for plan in plans
            for planned in plan.index.tasks
            if planned.chunk.kind is TaskKind.KEEPER
        ]
        wanted = [task for task in keepers if not task.is_final]
        running = sum(
            task.state is TaskState.ASSIGNED and task.is_confirmed
            for task in wanted
        )
        self._ports.metrics.gauge('keepers_wanted', len(wanted))
        self._ports.metrics.gauge('keepers_running', running)
