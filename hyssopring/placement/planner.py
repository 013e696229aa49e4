"""Plans the tasks of the shards that this entry holds."""

import zlib
from typing import Iterator, Sequence

from result import Result

from hyssopring.errors import Failure
from hyssopring.leases import HeldShard, ShardHolder
from hyssopring.membership import AgentRecord
from hyssopring.placement.assigner import Assigner
from hyssopring.placement.interference import Interference
from hyssopring.placement.journal import Journal
from hyssopring.placement.records import chunk_prefix
from hyssopring.placement.relief import Relief
from hyssopring.placement.ports import PlannerPorts
from hyssopring.placement.shard_plan import ShardPlan
from hyssopring.placement.sizes import LearnedSizes
from hyssopring.placement.task_index import PlannedTask
from hyssopring.protocol.messages import LeaseGrant, TaskReport
from hyssopring.store.rows import Row, Store
from hyssopring.tasks import TaskKind

__all__ = ('Planner', 'shard_of')

_RECLAIM_MS = 1000.0


def shard_of(name: str, shards: int) -> int:
    """Return the shard of a job or keeper set, the same in every process."""
    return zlib.crc32(name.encode()) % shards


class Planner:
    """Grants leases, takes reports and keeps the held shards' plans."""

    def __init__(self, store: Store, ports: PlannerPorts) -> None:
        """Take the ports; ``attach`` adds the shard holder."""
        self._store = store
        self._ports = ports
        self._interference = Interference()
        self._sizes = LearnedSizes()
        self._relief = Relief(self._interference)
        self._assigner = Assigner(ports, self._interference, self._sizes)
        self._plan_by_shard: dict[int, ShardPlan] = {}
        self._granted_at_by_agent: dict[str, float] = {}
        self._holder: ShardHolder | None = None
        self._reclaim_at: float = 0
        self._keepers_version_by_shard: dict[int, int] = {}
        self._is_reading_inbox = False

    def attach(self, holder: ShardHolder) -> None:
        """Use the holder's word for which leases are good."""
        self._holder = holder

    def on_acquired(self, held: HeldShard) -> None:
        """Load a shard that this entry now holds."""
        journal = Journal(self._store, held, self._fenced)
        plan = ShardPlan(held, journal, self._ports)
        self._plan_by_shard[held.shard] = plan
        self._load(plan)

    def on_lost(self, shard: int) -> None:
        """Drop a shard; its next holder reads all from the table."""
        self._plan_by_shard.pop(shard, None)
        self._keepers_version_by_shard.pop(shard, None)

    def grants(self, agent_id: str) -> tuple[LeaseGrant, ...]:
        """Grant an agent the right to run tasks of the held shards."""
        held = self._holder.held() if self._holder else []
        if held:
            self._granted_at_by_agent[agent_id] = self._ports.clock.now()
        times = self._ports.times
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
        self._reclaim_lapsed(plans)
        for plan in plans:
            self._ensure_keepers(plan)
        self._assigner.place_waiting(plans)
        for usable in plans:
            usable.flush()

    def on_heartbeat(self, record: AgentRecord) -> None:
        """Learn from an agent's report of load and use, and act on it."""
        now = self._ports.clock.now()
        self._sizes.observe(record.usage)
        self._interference.on_heartbeat(record, now)
        self._relief.on_heartbeat(record, self._usable_tasks(), now)

    def on_disconnected(self, agent_id: str) -> None:
        """Forget what shared the VM of an agent that has gone."""
        self._interference.forget(agent_id)
        self._relief.forget(agent_id)

    def on_report(self, record: AgentRecord, report: TaskReport) -> None:
        """Take an agent's word on its tasks."""
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
                plan.take_letter(row)

    def _reclaim_lapsed(self, plans: list[ShardPlan]) -> None:
        """Look over all tasks once a second; leases last many seconds."""
        now = self._ports.clock.now()
        if now < self._reclaim_at:
            return
        self._reclaim_at = now + _RECLAIM_MS
        for plan in plans:
            plan.reclaim_lapsed(self._granted_at_by_agent)

    def _ensure_keepers(self, plan: ShardPlan) -> None:
        """Take in keeper sets, once for each version of configuration."""
        version = self._ports.configuration.version
        if self._keepers_version_by_shard.get(plan.held.shard) == version:
            return
        self._keepers_version_by_shard[plan.held.shard] = version
        for policy in self._ports.configuration.policies():
            job_id = f'keeper-{policy.service_name.replace("/", "-")}'
            is_keeper = policy.kind == TaskKind.KEEPER.value
            shards = self._holder.shards if self._holder else 1
            if is_keeper and shard_of(job_id, shards) == plan.held.shard:
                plan.accept_job(
                    job_id,
                    policy.service_name,
                    TaskKind.KEEPER,
                    policy.keepers,
                )
