"""Starts, stops and tracks the tasks of the shards that this entry owns."""

from functools import singledispatchmethod
from typing import Any, Callable

from hyssopring.clock import Clock
from hyssopring.fairness import FairShares
from hyssopring.jobs.advice_client import AdviceClient
from hyssopring.jobs.crash_suspects import CrashSuspects
from hyssopring.jobs.fleet import GRANT_TTL_MS, Fleet, Worker
from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.keeper_waits import KeeperWaitMonitor
from hyssopring.jobs.messages import (
    BAD_TICKET,
    RUNNING_HERE,
    WORKERS_REASONS,
    AgentLeft,
    EndsRecorded,
    Grant,
    JobsMessage,
    ReportRequest,
    StartRefusal,
    StopOrder,
    TaskRequirements,
    WorkerReport,
)
from hyssopring.jobs.task_mover import TaskMover
from hyssopring.jobs.owned_shard import Ack, OwnedShard
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.owner_timeouts import OwnerTimeouts
from hyssopring.jobs.planning import Send, StepPlanner
from hyssopring.jobs.reports import ReportReconciler
from hyssopring.jobs.scheduling_options import SchedulingOptions
from hyssopring.jobs.shards import shard_of, shard_of_task
from hyssopring.jobs.stop_marks import mark_stopping
from hyssopring.jobs.ticket_manager import TicketManager
from hyssopring.learning.owner_learning import OwnerLearning
from hyssopring.logs import Event, log_event
from hyssopring.rebalancing import Rebalancer
from hyssopring.stragglers import Stragglers

__all__ = ('JobOwner',)


class JobOwner:
    """Plans the tasks of the owned shards and orders agents to run them.

    Attributes:
        learning: What it learns from the tasks, as the options ask for.
        run_times: Learned run times; None if no part uses them.
        unplaced: Steps of which a task found no worker in the last planning
            round, with their jobs.
        done_observers: Called when tasks are done; see ``OnDone``.
        fair_shares: The shares of groups of jobs; None if the deployment has
            none.
        stragglers: Copies of tasks and slow workers; None if that is off.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        fleet: Fleet,
        send: Send,
        may_act: Callable[[], bool],
        wall_ms: Callable[[], float],
        on_ownership_lost: Callable[[OwnedShard], None],
        advice: AdviceClient,
        options: SchedulingOptions,
    ) -> None:
        """Send orders to agents by ``send`` while ``may_act`` returns True.

        Args:
            options: The optional parts of scheduling.
        """
        self._options = options
        self._on_ownership_lost = on_ownership_lost
        self._clock = clock
        self._fleet = fleet
        self._send = send
        self._may_act = may_act
        self._wall_ms = wall_ms
        self.shards = OwnedShards()
        self.learning = OwnerLearning(clock, wall_ms, options)
        self.run_times = self.learning.run_times
        self._ticket_manager = TicketManager(
            reactor,
            clock,
            advice,
            fleet,
            self.shards,
            may_act,
            wall_ms,
            self.learning.job_times,
        )
        self._ticket_manager.on_tickets = self.schedule_planning
        self._suspects = CrashSuspects(clock, fleet)
        self._planner = StepPlanner(
            reactor,
            clock,
            fleet,
            self.shards,
            send,
            may_act,
            wall_ms,
            self._ticket_manager,
            self._suspects,
        )
        self._planner.interference = self.learning.interference
        self._planner.job_times = self.learning.job_times
        self.fair_shares = FairShares.from_options(clock, options.fairness)
        self._planner.fair_shares = self.fair_shares
        self.keeper_waits = KeeperWaitMonitor(
            clock,
            fleet,
            self.shards,
            may_act,
            self._ticket_manager,
            self._suspects,
        )
        self.unplaced = self._planner.unplaced
        self.done_observers = self.learning.observers.done_observers
        self._reconciler = ReportReconciler(
            clock,
            fleet,
            self.shards,
            self,
            self._suspects,
            self.learning.observers,
            options.stragglers is not None,
        )
        self._timeouts = OwnerTimeouts(
            clock, fleet, self.shards, self._reconciler.record_attempt_lost
        )
        self._departures = self._reconciler.departures
        self._moves = TaskMover(
            clock,
            fleet,
            self.shards,
            self.stop,
            self._ticket_manager,
            self._planner.interference,
        )
        self._rebalancer: Rebalancer | None = None
        if options.rebalancing is not None:
            self._rebalancer = Rebalancer(
                clock,
                fleet,
                self.shards,
                self._planner,
                self._ticket_manager,
                self.stop,
                options.rebalancing,
            )
        self.stragglers: Stragglers | None = None
        if options.stragglers is not None and self.run_times is not None:
            self.stragglers = Stragglers(
                clock,
                fleet,
                self.shards,
                self._planner,
                self.run_times,
                self.stop,
                options.stragglers,
            )

    def acquire(self, owned: OwnedShard) -> None:
        """Start to own a shard: load its rows and request reports."""
        self.shards.by_shard[owned.shard] = owned
        owned.load()
        self.learning.acquire(owned)
        self.request_all_reports()

    def on_shard_loaded(self) -> None:
        """Request what runs and what has ended, now that the jobs are known."""
        self.process_departed_agents()
        for owned in self.shards.by_shard.values():
            owned.tick(self._fleet)
        self.request_all_reports()

    def process_departed_agents(self) -> None:
        """Apply the last messages of agents that have left."""
        self._departures.add_all()
        self._departures.apply()

    def on_ownership_checked(self) -> None:
        """Apply what waited for a check of the ownership."""
        self._timeouts.on_ownership_checked()
        self._departures.apply()
        for worker in self._fleet.by_agent.values():
            if worker.awaits_check and worker.is_connected:
                worker.awaits_check = False
                self._request_report(worker)
        self.schedule_planning()

    def on_roster_written(self) -> None:
        """Request reports of agents that may get a grant now, and plan."""
        for worker in self._fleet.by_agent.values():
            if worker.awaits_grant and self.shards.may_grant(worker.agent_id):
                worker.awaits_grant = False
                self._request_report(worker)
        self.schedule_planning()

    def request_all_reports(self) -> None:
        """Add all agents to the rosters and request their reports."""
        self._add_to_roster()
        for worker in self._fleet.by_agent.values():
            if worker.is_connected:
                self._request_report(worker)

    def drop(self, owned: OwnedShard) -> None:
        """Stop owning a shard and discard its attempts."""
        owned.drop()
        self._reconciler.forget(owned.shard)
        self.learning.drop(owned.shard)
        if self.shards.by_shard.get(owned.shard) is owned:
            self.shards.by_shard.pop(owned.shard)
        if self.fair_shares is not None:
            self.fair_shares.forget()
        log_event(
            Event.SHARD_LOST,
            shard=owned.shard,
            reign=owned.epoch,
            confirmed_age_ms=int(owned.ownership.age_ms),
        )
        for worker in self._fleet.by_agent.values():
            for task in list(worker.placed_by_task):
                if shard_of_task(task) == owned.shard:
                    worker.placed_by_task.pop(task)
                    self._fleet.record_removal(task)

    def on_job_accepted(self, record: JobRecord) -> None:
        """Plan a job that was added to an owned shard."""
        self._reconciler.replay_reports(record)
        self.schedule_planning()

    def acknowledge_ends(self, acks: list[Ack]) -> None:
        """Allow agents to drop ends that are durable."""
        if self._reconciler.mark_durable(acks):
            self.schedule_planning()
        numbers_by_boot: dict[tuple[str, str], list[int]] = {}
        for ack in acks:
            incarnation = (ack.agent_id, ack.boot)
            numbers_by_boot.setdefault(incarnation, []).append(ack.number)
        for (agent_id, boot), numbers in numbers_by_boot.items():
            self._send(agent_id, EndsRecorded(boot, numbers))

    def send_task_facts(self, worker: Worker, facts: TaskRequirements) -> None:
        """Send an agent the size and limits of an attempt."""
        self._send(worker.agent_id, facts)

    def agent_connected(self, worker: Worker) -> None:
        """Add an agent to the rosters and request its report."""
        self._add_to_roster()
        self.shards.clear_expiry(worker.agent_id)
        self._request_report(worker)

    @singledispatchmethod
    def handle_message(self, message: JobsMessage, worker: Worker) -> None:
        """Handle a message of an agent; log one of an unexpected type."""
        log_event(
            Event.PEER_ERROR,
            agent=worker.agent_id,
            detail=f'unexpected {type(message).__name__}',
        )

    @handle_message.register
    def _handle_report(self, report: WorkerReport, worker: Worker) -> None:
        suspects = self._suspects
        suspects.worker_crashes.record_report(
            worker, report, suspects.trial_agents
        )
        worker.report = report
        worker.reported_at = self._clock.now()
        if report.attempts:
            # The worker of an agent that was leaving runs tasks again.
            self._fleet.departure_by_agent.pop(worker.agent_id, None)
        acknowledged_shards = self.shards.shards_acknowledged_in(report)
        if self.shards.by_shard and self._may_act():
            self._grant(report, worker)
            is_current_connection = report.connection == worker.connection
            if not is_current_connection or acknowledged_shards != set(
                self.shards.by_shard
            ):
                self._request_report(worker)
        for shard in acknowledged_shards:
            owned = self.shards.by_shard[shard]
            self._record_first_report(worker, owned)
            if owned.is_loaded:
                self._reconciler.reconcile(worker, report, owned)
            else:
                # Applied with the next report, once the jobs are loaded.
                worker.reported_at = 0
        self.schedule_planning()

    def _record_first_report(self, worker: Worker, owned: OwnedShard) -> None:
        """Record the first report of an agent under the shard's epoch.

        A former owner may have sent a grant until now. If only this owner's
        grants counted, an attempt could be given up while it still runs, and
        the task would run twice.
        """
        if worker.agent_id not in owned.reported:
            owned.reported.add(worker.agent_id)
            worker.granted_at = self._clock.now()

    @handle_message.register
    def _handle_refusal(self, message: StartRefusal, worker: Worker) -> None:
        placed = worker.placed_by_task.get(message.task)
        # RUNNING_HERE: an attempt that this owner does not know of runs there.
        # Starting the task elsewhere would run it twice. The agent's next
        # report lists the attempt or shows that it has ended.
        is_settled = message.reason != RUNNING_HERE
        if placed and placed.attempt == message.attempt and is_settled:
            if message.reason == BAD_TICKET:
                self._ticket_manager.record_rejection(placed.name, placed.boot)
            elif message.reason in WORKERS_REASONS:
                worker.refused_at = self._clock.now()
            self._reconciler.record_attempt_lost(worker, placed, message.reason)
        owned = self.shards.by_shard.get(shard_of_task(message.task))
        if owned is not None and message.reign > owned.epoch:
            # Another entry owns the shard. Agents would refuse every further
            # order, and each refused start would be sent again at once.
            self._on_ownership_lost(owned)

    @handle_message.register
    def _handle_agent_left(self, message: AgentLeft, worker: Worker) -> None:
        if not self._fleet.has_departed(worker.agent_id):
            log_event(
                Event.AGENT_LEFT,
                agent=worker.agent_id,
                boot=message.boot,
                ends=len(message.ends),
            )
        self._fleet.record_departure(worker, message)
        self._departures.add(worker.agent_id)
        self._departures.apply()
        self.schedule_planning()

    def tick(self) -> None:
        """Start due occurrences, expire attempts; call a few times a second."""
        for record in self.shards.live_jobs():
            record.open_due_occurrences(self._wall_ms())
            if record.complete_if_done():
                owned = self.shards.by_shard[shard_of(record.job.job_id)]
                owned.save(record)
        if self.shards.by_shard:
            self._moves.check(may_act=self._may_act())
        if self._rebalancer is not None:
            self._rebalancer.tick(self._may_act())
        self._timeouts.tick()
        self._departures.apply()
        self.learning.retain_agents(self._fleet.by_agent)
        self._add_to_roster()
        self._ticket_manager.check()
        self.keeper_waits.check()
        self.learning.tick()
        if self.stragglers is not None:
            self.stragglers.tick(self._may_act())
        self.schedule_planning()

    def _add_to_roster(self) -> None:
        """Add agents to the rosters before tasks are sent to them."""
        loaded = [
            owned for owned in self.shards.by_shard.values() if owned.is_loaded
        ]
        if loaded:
            agents = self._fleet.agents_with_worker()
            for owned in loaded:
                owned.roster.add(agents)

    def schedule_planning(self) -> None:
        """Plan once after all events of this reactor iteration."""
        self._planner.schedule_planning()

    def _request_report(self, worker: Worker) -> None:
        if self.shards.by_shard:
            request = ReportRequest(self.shards.epochs(), worker.connection)
            self._send(worker.agent_id, request)

    def _grant(self, report: WorkerReport, worker: Worker) -> None:
        """Send a grant.

        It is empty if the agent leaves, its worker is silent, its row may set
        an expiry, or this owner has been cut off for as long as grants last.
        """
        has_left = self._fleet.has_departed(worker.agent_id)
        now_ms = self._clock.now()
        origin_at = self.shards.grant_origin_at()
        ttl_ms = int(GRANT_TTL_MS - now_ms + origin_at)
        # Ask for a report as soon as grants last longer again.
        is_short = ttl_ms < GRANT_TTL_MS / 2
        worker.awaits_grant = is_short
        if has_left or worker.has_silent_worker or ttl_ms <= 0:
            grant = Grant(report.sequence, [], 0)
        elif self.shards.may_grant(worker.agent_id):
            grant = Grant(
                report.sequence,
                self.shards.epochs(),
                ttl_ms,
                self.learning.unsent_estimates(worker),
            )
            # The worker may keep its tasks for longer than the grant, as a hold
            # of its former incarnation may last for 10 s.
            granted_at = origin_at if is_short else now_ms
            worker.granted_at = max(worker.granted_at, granted_at)
        else:
            # An empty grant shows the agent that its owner runs.
            grant = Grant(report.sequence, [], 0)
            worker.awaits_grant = True
            self.shards.clear_expiry(worker.agent_id)
        self._send(worker.agent_id, grant)

    def stop_job(self, record: JobRecord) -> None:
        """Order the stop of all attempts of a job."""
        owned = self.shards.by_shard[shard_of(record.job.job_id)]
        for worker in self._fleet.by_agent.values():
            for task, placed in worker.placed_by_task.items():
                if placed.name.job_id == record.job.job_id:
                    mark_stopping(placed, worker, 'its job has ended')
                    self.stop(owned, worker, task, placed.attempt)

    def stop(
        self,
        owned: OwnedShard,
        worker: Worker,
        task: str,
        attempt: int,
    ) -> None:
        """Order an agent to stop an attempt."""
        self._send(
            worker.agent_id,
            StopOrder(owned.shard, owned.epoch, task, attempt),
        )
