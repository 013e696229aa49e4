"""Plan the tasks of the shards that this entry holds."""

import zlib
from functools import partial
from typing import Iterator, Sequence

from result import Result

from hyssopring.errors import Failure
from hyssopring.leases import HeldShard, ShardHolder
from hyssopring.membership import AgentRecord
from hyssopring.placement.assigner import Assigner
from hyssopring.placement.chunk_writer import ChunkWriter
from hyssopring.placement.interference import InterferenceTracker
from hyssopring.placement.mitigation import Mitigation
from hyssopring.placement.ports import PlannerPorts
from hyssopring.placement.records import TaskState, chunk_prefix
from hyssopring.placement.shard_plan import ShardPlan, keeper_job_id
from hyssopring.placement.sizes import LearnedSizes
from hyssopring.placement.task_index import PlannedTask
from hyssopring.placement.task_reconciler import GrantKey
from hyssopring.protocol.messages import LeaseGrant, TaskReport
from hyssopring.store import Row, Store
from hyssopring.tasks import TaskKind

__all__ = ('Planner', 'shard_of')

_REVIEW_INTERVAL_MS = 1000.0
# Longer than any lease, so that a dropped grant has expired.
_GRANT_RETENTION_MS = 7_200_000.0


def shard_of(job_id: str, shard_count: int) -> int:
    """Return the shard of a job or keeper set.

    The result does not depend on the process.
    """
    return zlib.crc32(job_id.encode()) % shard_count


class Planner:
    """Grant task leases, handle agents' reports and plan the held shards."""

    def __init__(self, store: Store, ports: PlannerPorts) -> None:
        """Create a planner without shards; call ``attach`` before use."""
        self._store = store
        self._ports = ports
        self._interference = InterferenceTracker()
        self._sizes = LearnedSizes()
        self._mitigation = Mitigation(self._interference)
        self._assigner = Assigner(ports, self._interference, self._sizes)
        self._plan_by_shard: dict[int, ShardPlan] = {}
        self._granted_at_by_boot: dict[GrantKey, float] = {}
        self._next_review_ms: float = 0
        self._holder: ShardHolder | None = None
        self._is_reading_inbox = False

    def attach(self, holder: ShardHolder) -> None:
        """Set the holder that tells which shard leases are valid."""
        self._holder = holder

    def on_acquired(self, held: HeldShard) -> None:
        """Load a shard that this entry has acquired."""
        writer = ChunkWriter(
            self._store,
            held,
            partial(self._is_current, held),
            self._on_fenced,
        )
        plan = ShardPlan(held, writer, self._ports)
        self._plan_by_shard[held.shard] = plan
        self._load(plan)

    def on_lost(self, shard: int) -> None:
        """Drop a shard; its next holder reads the state from the table."""
        plan = self._plan_by_shard.pop(shard, None)
        if plan is not None:
            plan.is_dropped = True

    def grant_leases(self, record: AgentRecord) -> tuple[LeaseGrant, ...]:
        """Grant an agent leases to run tasks of the held shards.

        An agent whose worker does not answer gets no lease: it is unknown
        what runs there, so its leases must expire. A shard is granted only
        once its plan is loaded, since an agent answers the first grant of an
        epoch with one complete report, which the plan must not miss.
        """
        held_shards = [plan.held for plan in self._usable_plans()]
        if not held_shards or not record.worker_boot:
            return ()
        key = (record.agent_id, record.worker_boot)
        self._granted_at_by_boot[key] = self._ports.clock.now()
        lease_times = self._ports.lease_times
        return tuple(
            LeaseGrant(
                held.shard,
                held.epoch,
                lease_times.batch_ttl_ms,
                lease_times.keeper_ttl_ms,
            )
            for held in held_shards
        )

    def poll(self) -> None:
        """Read submitted jobs and cancellations; retry failed loads."""
        for plan in list(self._plan_by_shard.values()):
            if not plan.is_loaded and not plan.is_loading:
                self._load(plan)
        if self._is_reading_inbox or not self._plan_by_shard:
            return
        self._is_reading_inbox = True
        self._store.read('inbox/', self._on_inbox_read)

    def tick(self) -> None:
        """Place waiting tasks, reclaim expired ones and write changes."""
        plans = self._usable_plans()
        if self._ports.clock.now() >= self._next_review_ms:
            self._review(plans)
        for plan in plans:
            self._scale_keepers(plan)
        self._assigner.place_waiting(plans)
        for loaded_plan in plans:
            loaded_plan.flush()

    def on_heartbeat(self, record: AgentRecord) -> None:
        """Update sizes and model from a heartbeat; mitigate interference."""
        now_ms = self._ports.clock.now()
        self._sizes.observe(record.usage)
        self._interference.on_heartbeat(record, now_ms)
        self._mitigation.on_heartbeat(record, self._usable_tasks(), now_ms)

    def on_disconnected(self, agent_id: str) -> None:
        """Drop the interference state of an agent that has disconnected."""
        self._interference.remove_agent(agent_id)
        self._mitigation.remove_agent(agent_id)

    def on_report(self, record: AgentRecord, report: TaskReport) -> None:
        """Apply an agent's report of its tasks to the plans."""
        for status in report.tasks:
            plan = self._usable_plan(status.shard)
            if plan is not None:
                plan.handle_status(record, status)
        reported_plan = (
            self._usable_plan(report.shard) if report.complete else None
        )
        if reported_plan is not None:
            reported_plan.reconcile(record, report)

    def tasks(self) -> Iterator[PlannedTask]:
        """Yield all tasks that this entry plans, by shard."""
        for shard in sorted(self._plan_by_shard):
            yield from self._plan_by_shard[shard].index.tasks

    def _usable_tasks(self) -> Iterator[PlannedTask]:
        for plan in self._usable_plans():
            yield from plan.index.tasks

    def _load(self, plan: ShardPlan) -> None:
        plan.is_loading = True
        self._store.read(
            chunk_prefix(plan.held.shard),
            lambda response: self._on_loaded(plan, response),
        )

    def _on_loaded(
        self,
        plan: ShardPlan,
        response: Result[Sequence[Row], Failure],
    ) -> None:
        if self._plan_by_shard.get(plan.held.shard) is not plan:
            return
        plan.is_loading = False
        if response.is_ok():
            plan.load(list(response.unwrap()))

    def _on_fenced(self, shard: int) -> None:
        if self._holder is not None:
            self._holder.drop(shard, 'rows changed under its planner')

    def _usable_plan(self, shard: int) -> ShardPlan | None:
        plan = self._plan_by_shard.get(shard)
        if plan is None or not plan.is_loaded or self._holder is None:
            return None
        return plan if self._holder.get(shard) else None

    def _usable_plans(self) -> list[ShardPlan]:
        plans = [
            self._usable_plan(shard) for shard in sorted(self._plan_by_shard)
        ]
        return [plan for plan in plans if plan is not None]

    def _on_inbox_read(self, response: Result[Sequence[Row], Failure]) -> None:
        self._is_reading_inbox = False
        if response.is_err():
            return
        for row in response.unwrap():
            plan = self._usable_plan(int(row.key.split('/')[1]))
            if plan is not None:
                plan.handle_inbox_row(row)

    def _is_current(self, held: HeldShard) -> bool:
        return self._holder is not None and (
            self._holder.get(held.shard) == held
        )

    def _review(self, plans: Sequence[ShardPlan]) -> None:
        """Apply changes due to elapsed time: expired leases, old jobs."""
        now_ms = self._ports.clock.now()
        self._next_review_ms = now_ms + _REVIEW_INTERVAL_MS
        for plan in plans:
            plan.reclaim_expired(self._granted_at_by_boot)
            plan.delete_finished_jobs()
        oldest = now_ms - _GRANT_RETENTION_MS
        self._granted_at_by_boot = {
            key: granted_at
            for key, granted_at in self._granted_at_by_boot.items()
            if granted_at > oldest
        }
        self._report_keepers(plans)

    def _scale_keepers(self, plan: ShardPlan) -> None:
        """Scale a plan's keeper sets to the configured numbers."""
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
            plan.scale_keepers(service_name, count)

    def _report_keepers(self, plans: Sequence[ShardPlan]) -> None:
        keepers = [
            planned.task
            for plan in plans
            for planned in plan.index.tasks
            if planned.chunk.kind is TaskKind.KEEPER
        ]
        unfinished = [task for task in keepers if not task.is_final]
        running = sum(
            task.state is TaskState.ASSIGNED and task.is_confirmed
            for task in unfinished
        )
        self._ports.metrics.gauge('keepers_wanted', len(unfinished))
        self._ports.metrics.gauge('keepers_running', running)
