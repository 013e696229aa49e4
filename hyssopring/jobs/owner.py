"""The owner's part in jobs: what starts where, and what its end means."""

from functools import singledispatchmethod
from typing import Any, Callable, Final

from hyssopring.clock import Clock
from hyssopring.jobs.ticket_manager import TicketManager
from hyssopring.jobs.advice_client import AdviceClient
from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.fleet import GRANT_TTL_MS, Fleet, Worker
from hyssopring.jobs.messages import (
    BAD_TICKET,
    RUNNING_HERE,
    AgentLeft,
    EndsRecorded,
    Grant,
    JobsMessage,
    ReportRequest,
    StartRefusal,
    StopOrder,
    TaskFacts,
    WorkerReport,
)
from hyssopring.jobs.moves import TaskMoves
from hyssopring.jobs.owned_shard import Ack, OwnedShard
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.planning import Send, StepPlanner
from hyssopring.jobs.reports import ReportReader
from hyssopring.jobs.shards import shard_of, shard_of_task
from hyssopring.jobs.stall_detector import StallDetector
from hyssopring.jobs.stop_marks import mark_stopping
from hyssopring.jobs.crash_suspects import CrashSuspects
from hyssopring.jobs.keeper_waits import KeeperWaitMonitor
from hyssopring.jobs.worker_port import StartOutcome
from hyssopring.logs import Event, log_event

__all__ = ('JobOwner',)

# The worker itself did not take a start, and may not take the next one.
_WORKERS_REASONS: Final = frozenset(
    (
        StartOutcome.FENCED.value,
        StartOutcome.INVALID.value,
        StartOutcome.LATE.value,
        StartOutcome.NO_ROOM.value,
        StartOutcome.OLD.value,
        StartOutcome.UNHEALTHY.value,
    )
)


class JobOwner:
    """Plans the shards that this entry owns."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        fleet: Fleet,
        send: Send,
        may_act: Callable[[], bool],
        wall_ms: Callable[[], float],
        on_deposed: Callable[[OwnedShard], None],
        advice: AdviceClient,
    ) -> None:
        """Order agents by ``send`` while ``may_act`` says that it may."""
        self._on_deposed = on_deposed
        self._clock = clock
        self._fleet = fleet
        self._send = send
        self._may_act = may_act
        self._wall_ms = wall_ms
        self.shards = OwnedShards()
        self._advice = TicketManager(
            reactor,
            clock,
            advice,
            fleet,
            self.shards,
            may_act,
            wall_ms,
        )
        self._advice.on_tickets = self.schedule_planning
        self._suspects = CrashSuspects(clock, fleet)
        self._planner = StepPlanner(
            reactor,
            clock,
            fleet,
            self.shards,
            send,
            may_act,
            wall_ms,
            self._advice,
            self._suspects,
        )
        self.waits = KeeperWaitMonitor(
            clock,
            fleet,
            self.shards,
            may_act,
            self._advice,
            self._suspects,
        )
        self._stalls = StallDetector(clock)
        self._reader = ReportReader(
            clock,
            fleet,
            self.shards,
            self,
            self._suspects,
        )
        self._moves = TaskMoves(
            clock,
            fleet,
            self.shards,
            self.stop,
            self._advice,
            self._planner.interference,
        )

    def acquire(self, owned: OwnedShard) -> None:
        """Own a shard from now on."""
        self.shards.by_shard[owned.shard] = owned
        owned.load()
        self.ask_all()

    def loaded(self) -> None:
        """A shard's jobs are known: hear what runs, and what has ended."""
        self.hear_departed()
        for owned in self.shards.by_shard.values():
            owned.tick(self._fleet)
        self.ask_all()

    def hear_departed(self) -> None:
        """Take what agents have said that ended before an owner was here."""
        for owned in self.shards.by_shard.values():
            if owned.is_loaded:
                for departed in list(self._fleet.departed.values()):
                    self._reader.take_left(departed, owned)

    def ask_all(self) -> None:
        """List all agents, and ask what they run of the owned shards."""
        self._list_agents()
        for worker in self._fleet.by_agent.values():
            if worker.is_connected:
                self._ask(worker)

    def drop(self, owned: OwnedShard) -> None:
        """Own a shard no more."""
        owned.drop()
        self._reader.forget(owned.shard)
        if self.shards.by_shard.get(owned.shard) is owned:
            self.shards.by_shard.pop(owned.shard)
        log_event(Event.SHARD_LOST, shard=owned.shard, reign=owned.epoch)
        for worker in self._fleet.by_agent.values():
            for task in list(worker.placed_by_task):
                if shard_of_task(task) == owned.shard:
                    worker.placed_by_task.pop(task)

    def accepted(self, record: JobRecord) -> None:
        """A job came to an owned shard."""
        self._reader.job_known(record)
        self.schedule_planning()

    def cancelled(self, record: JobRecord) -> None:
        """A job must not run any more."""
        self.stop_job(record)

    def recorded(self, acks: list[Ack]) -> None:
        """Ends are durable: the agents may forget them."""
        self._reader.recorded(acks)
        numbers_by_boot: dict[tuple[str, str], list[int]] = {}
        for ack in acks:
            place = (ack.agent_id, ack.boot)
            numbers_by_boot.setdefault(place, []).append(ack.number)
        for (agent_id, boot), numbers in numbers_by_boot.items():
            self._send(agent_id, EndsRecorded(boot, numbers))

    def tell_facts(self, worker: Worker, facts: TaskFacts) -> None:
        """Tell an agent what an attempt takes."""
        self._send(worker.agent_id, facts)

    def agent_connected(self, worker: Worker) -> None:
        """List an agent, and ask what it runs of the owned shards."""
        self._list_agents()
        self._ask(worker)

    @singledispatchmethod
    def handle_message(self, message: JobsMessage, worker: Worker) -> None:
        """Take an agent's message."""
        log_event(
            Event.PEER_ERROR,
            agent=worker.agent_id,
            detail=f'unexpected {type(message).__name__}',
        )

    @handle_message.register
    def _take_report(self, message: WorkerReport, worker: Worker) -> None:
        suspects = self._suspects
        suspects.worker_crashes.record_report(worker, message, suspects.agents)
        worker.report = message
        worker.reported_at = self._clock.now()
        known = self.shards.known_to(message)
        if self.shards.by_shard and self._may_act():
            self._grant(message, worker)
            is_counted = message.connection == worker.connection
            if not is_counted or known != set(self.shards.by_shard):
                self._ask(worker)
        for shard in known:
            owned = self.shards.by_shard[shard]
            self._meet(worker, owned)
            if owned.is_loaded:
                self._reader.reconcile(worker, message, owned)
            else:
                # Read again with the next report, once the jobs are known.
                worker.reported_at = 0
        self.schedule_planning()

    def _meet(self, worker: Worker, owned: OwnedShard) -> None:
        """Note the first report of an agent that knows an owner's reign.

        A former owner may have granted until now. Counted from this owner's
        own grants only, an attempt there would be given up while it runs, and
        run twice.
        """
        if worker.agent_id not in owned.reported:
            owned.reported.add(worker.agent_id)
            worker.granted_at = self._clock.now()

    @handle_message.register
    def _take_refusal(self, message: StartRefusal, worker: Worker) -> None:
        placed = worker.placed_by_task.get(message.task)
        # Where an attempt of the task runs, it is none that this owner knows
        # of: started elsewhere the task would run twice. The agent's next
        # report names the attempt, or shows that it is over.
        is_settled = message.reason != RUNNING_HERE
        if placed and placed.number == message.attempt and is_settled:
            if message.reason == BAD_TICKET:
                self._advice.record_rejection(placed.name, placed.boot)
            elif message.reason in _WORKERS_REASONS:
                worker.refused_at = self._clock.now()
            self._reader.record_worker_lost(worker, placed, message.reason)
        owned = self.shards.by_shard.get(shard_of_task(message.task))
        if owned is not None and message.reign > owned.epoch:
            # Another entry owns the shard: the agents would refuse all else,
            # and each refused task would be sent again at once.
            self._on_deposed(owned)

    @handle_message.register
    def _take_left(self, message: AgentLeft, worker: Worker) -> None:
        departed = self._fleet.remove_departed(worker, message)
        log_event(
            Event.AGENT_LEFT,
            agent=worker.agent_id,
            boot=message.boot,
            ends=len(message.ends),
        )
        for owned in self.shards.by_shard.values():
            if owned.is_loaded:
                self._reader.take_left(departed, owned)
        self.schedule_planning()

    def tick(self) -> None:
        """Notice what is due or lapsed; call a few times a second."""
        now = self._clock.now()
        for record in self.shards.live_jobs():
            record.open_due(self._wall_ms())
        self._moves.evacuate()
        if self._may_act():
            takers = self.shards.startable_on(self._fleet.schedulable_workers())
            self._moves.relieve(takers)
        if self._stalls.record_tick():
            self._give_up_lost(now)
        self._list_agents()
        self._advice.check()
        self.waits.check()
        self.schedule_planning()

    def _give_up_lost(self, now: float) -> None:
        for worker in self._fleet.by_agent.values():
            if worker.placed_by_task and self._is_lost(worker, now):
                for placed in list(worker.placed_by_task.values()):
                    self._reader.record_worker_lost(worker, placed, 'lapsed')
        for owned in self.shards.by_shard.values():
            owned.tick(self._fleet)
        self._fleet.forget_lost()

    def _is_lost(self, worker: Worker, now: float) -> bool:
        """Whether nothing that was ordered at an agent can run any more.

        One that is away may have been restarted, and reach a former owner
        only: the new process has not heard of this one, and takes the former
        owner's grants while that one may act.
        """
        may_former_act = any(
            owned.former.may_act for owned in self.shards.by_shard.values()
        )
        is_away = not worker.is_connected
        return worker.is_lost(now) and not (is_away and may_former_act)

    def _list_agents(self) -> None:
        """Make agents known to next owners before they get a task."""
        agents = self._fleet.listable_agents()
        for owned in self.shards.by_shard.values():
            if owned.is_loaded:
                owned.roster.add(agents)

    def schedule_planning(self) -> None:
        """Plan once for all that happens in this turn of the reactor."""
        self._planner.schedule_planning()

    def _ask(self, worker: Worker) -> None:
        if self.shards.by_shard:
            question = ReportRequest(self.shards.epochs(), worker.connection)
            self._send(worker.agent_id, question)

    def _grant(self, report: WorkerReport, worker: Worker) -> None:
        """Grant an agent, unless its row tells others that none does."""
        if worker.has_silent_worker:
            grant = Grant(report.sequence, [], 0)
        elif self.shards.may_grant(worker.agent_id):
            grant = Grant(report.sequence, self.shards.epochs(), GRANT_TTL_MS)
            worker.granted_at = self._clock.now()
        else:
            # The agent takes any answer for a sign of life.
            grant = Grant(report.sequence, [], 0)
            self.shards.readmit(worker.agent_id)
        self._send(worker.agent_id, grant)

    def stop_job(self, record: JobRecord) -> None:
        """Order the stop of all that runs of a job."""
        owned = self.shards.by_shard[shard_of(record.job.job_id)]
        for worker in self._fleet.by_agent.values():
            for task, placed in worker.placed_by_task.items():
                if placed.name.job_id == record.job.job_id:
                    mark_stopping(placed, worker, 'its job has ended')
                    self.stop(owned, worker, task, placed.number)

    def stop(
        self,
        owned: OwnedShard,
        worker: Worker,
        task: str,
        attempt: int,
    ) -> None:
        """Order an attempt's stop."""
        self._send(
            worker.agent_id,
            StopOrder(owned.shard, owned.epoch, task, attempt),
        )
