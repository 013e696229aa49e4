"""Runs the tasks of jobs on one worker, on behalf of the shards' owners.

The agent is the only client of its worker. It carries out the owners' start
and stop orders and reports to each owner the attempts of its shards that are
running, have ended or may still start. A new owner learns from these reports
what its predecessor started.
"""

from functools import singledispatchmethod
from typing import Any, Callable, Final

from hyssopring.clock import Clock
from hyssopring.jobs.agent_leases import AgentLeases
from hyssopring.jobs.agent_shutdown import AgentShutdown
from hyssopring.jobs.attempts import Attempt, AttemptTable, Phase
from hyssopring.jobs.cancelled_jobs import CancelledJobs
from hyssopring.jobs.end_table import EndTable
from hyssopring.jobs.evacuation_messages import EvacuationNotice
from hyssopring.jobs.fences import FenceCounter
from hyssopring.jobs.messages import (
    CANCELLED,
    EVACUATED,
    CancelNotice,
    EndsRecorded,
    Grant,
    JobsMessage,
    ReportRequest,
    StartOrder,
    StartRefusal,
    StopOrder,
    TaskRequirements,
    WorkerReport,
)
from hyssopring.jobs.model import Size
from hyssopring.jobs.orders import WorkerOrders
from hyssopring.jobs.own_zone import OwnZone
from hyssopring.jobs.pacing import Pacer
from hyssopring.jobs.received_starts import ReceivedStarts
from hyssopring.jobs.report_schedule import ReportSchedule
from hyssopring.jobs.roster_withdrawal import RosterWithdrawal
from hyssopring.jobs.shards import shard_of, shard_of_task
from hyssopring.jobs.start_rules import StartRules
from hyssopring.jobs.worker_monitor import WorkerMonitor
from hyssopring.jobs.worker_port import Listing, WorkerPort
from hyssopring.logs import Event, log_event

__all__ = ('JobAgentCore',)

# How long an agent waits for grants from the owners of the running tasks that
# it finds. Connections take up to 500 ms; the hold that its predecessor set
# lasts longer than this.
_GRANT_WAIT_MS: Final = 1500.0

Send = Callable[[str, JobsMessage], None]


class JobAgentCore:
    """Handles the entries' messages and reports to them for one worker.

    Attributes:
        monitor: Polls the worker and extends the hold on its tasks.
        table: The attempts that use resources of the worker.
        shutdown: State of the process's shutdown.
        own_zone: Whether the worker's availability zone is evacuated.
        is_settled: Whether, at the last tick, owners had renewed all leases
            recently and the worker responded; no deadline is near then.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        port: WorkerPort,
        send: Send,
        wall_ms: Callable[[], float],
        rosters: RosterWithdrawal,
        release_of: Callable[[str], int],
        zone: str = '',
    ) -> None:
        """Start polling when the worker announces itself.

        Args:
            port: Calls to the worker.
            send: Sends a message to the entry of the given ID.
            wall_ms: Returns the milliseconds since 1970.
            rosters: Withdraws this agent from the shards' rosters.
            release_of: Returns the ``EntryGreeting.release`` of an entry.
            zone: Availability zone of the worker.
        """
        self._reactor = reactor
        self._clock = clock
        self._send = send
        self.own_zone = OwnZone(clock, zone, send)
        self.monitor = WorkerMonitor(
            reactor, clock, port, FenceCounter(clock, wall_ms)
        )
        self.table = AttemptTable()
        self._leases = AgentLeases(clock)
        self._cancelled_jobs = CancelledJobs(clock)
        self._start_rules = StartRules(
            clock,
            self.monitor,
            self.table,
            self._leases,
            self.own_zone,
            self._cancelled_jobs,
        )
        self._orders = WorkerOrders(
            reactor,
            clock,
            port,
            self.monitor,
            self.table,
            self._start_refused,
            self._start_rules.may_start,
        )
        self._pacer = Pacer(clock, self._orders.set_pace)
        self._ends = EndTable()
        self.shutdown = AgentShutdown(
            self.monitor,
            self.table,
            lambda: self._ends.by_number.values(),
            send,
            rosters,
        )
        self._sequence = 0
        self._schedule = ReportSchedule(clock, release_of)
        self.is_settled = False
        self._received_starts = ReceivedStarts()
        self._is_report_due = False
        # Attempts of a silent worker whose hold expired; it may have crashed,
        # which its next incarnation will show.
        self._expired_attempts: list[Attempt] = []
        self._incarnation_found_at = clock.now()
        self.monitor.on_new_incarnation = self._incarnation_changed
        self.monitor.on_listing = self._listing_received
        self.monitor.on_hold_expired = self._hold_expired
        self.monitor.on_capacity_changed = self._schedule_report
        self.monitor.hold_limit = self._hold_limit
        self.monitor.has_unrecorded = lambda: self._ends.has_unrecorded
        self.monitor.durable_up_to = self._ends.durable_up_to

    def connected(self, entry_id: str) -> None:
        """Report the worker's state to an entry that has connected."""
        self._report(entry_id)
        self.own_zone.announce_to(entry_id)

    def disconnected(self, entry_id: str) -> None:
        """Stop reporting to an entry whose connection is closed."""
        self._schedule.remove(entry_id)
        self._leases.forget_reports(entry_id)

    def stop(self) -> None:
        """Begin the shutdown: accept no more start orders.

        A worker that stays keeps its tasks for the next agent. If the worker
        is leaving or silent and runs nothing, each entry is notified;
        otherwise the next owner of a shard would wait for an agent that never
        returns, and so would its keepers.
        """
        self.shutdown.has_begun = True
        self.shutdown.tick(self._schedule.entries)

    def tick(self) -> None:
        """Do periodic work.

        Call ten times a second, or four times while ``is_settled``.
        """
        now_ms = self._clock.now()
        self.monitor.check()
        self.is_settled = (
            self.monitor.is_steady
            and not self.shutdown.has_begun
            and self._leases.are_fresh(now_ms, self._schedule.entries)
        )
        for entry_id in self._schedule.due_entries(
            self._leases.owners, is_settled=self.is_settled
        ):
            self._report(entry_id)
        if self._leases.latest_expiry > now_ms and not self._awaits_grants(
            now_ms
        ):
            self._stop_ungranted(now_ms)
        self.shutdown.tick(self._schedule.entries)

    @singledispatchmethod
    def handle_message(self, message: JobsMessage, entry_id: str) -> None:
        """Handle a message from an entry; log an unexpected type."""
        log_event(
            Event.PEER_ERROR,
            entry=entry_id,
            detail=f'unexpected {type(message).__name__}',
        )

    @handle_message.register
    def _handle_grant(self, grant: Grant, entry_id: str) -> None:
        self._leases.renew(
            entry_id,
            grant.sequence,
            grant.reigns,
            grant.ttl_ms,
        )
        self._pacer.received.add(grant.interference)

    @handle_message.register
    def _handle_report_request(
        self, request: ReportRequest, entry_id: str
    ) -> None:
        self._received_starts.set_connection(entry_id, request.connection)
        for owned in request.reigns:
            self._leases.observe_epoch(owned.shard, owned.reign, entry_id)
        self._report(entry_id)

    @handle_message.register
    def _handle_ends_recorded(self, ends: EndsRecorded, entry_id: str) -> None:
        if ends.boot != self.monitor.boot:
            return
        self._ends.forget(ends.numbers)

    @handle_message.register
    def _handle_facts(self, facts: TaskRequirements, entry_id: str) -> None:
        attempt = self.table.by_task.get(facts.task)
        if attempt is not None and attempt.number == facts.attempt:
            attempt.facts = facts

    @handle_message.register
    def _handle_evacuations(
        self, notice: EvacuationNotice, entry_id: str
    ) -> None:
        self.own_zone.handle_notice(notice, entry_id)

    @handle_message.register
    def _handle_cancellation(self, notice: CancelNotice, entry_id: str) -> None:
        """Start no more tasks of a job, and stop those that run.

        The owner is told first. It would otherwise start the stopped tasks
        again.
        """
        self._cancelled_jobs.add(notice.job_id)
        attempts = self.table.attempts_of_job(notice.job_id)
        owner_id = self._leases.owner_of(shard_of(notice.job_id))
        if attempts and owner_id not in {'', entry_id}:
            self._send(owner_id, notice)
        for attempt in attempts:
            self._orders.stop(attempt)

    @handle_message.register
    def _handle_start(self, order: StartOrder, entry_id: str) -> None:
        facts = order.facts
        if not self._received_starts.record(entry_id, order.connection):
            self._refuse(entry_id, order.shard, facts, 'connection')
            return
        reason = self._start_rules.refusal_reason(
            order, entry_id, self.shutdown
        )
        if reason:
            if reason == EVACUATED:
                # The owner does not know of the evacuation yet, and would
                # send the start again.
                self.own_zone.announce_to(entry_id)
            elif reason == CANCELLED:
                job_id = facts.task.partition('.')[0]
                self._send(entry_id, CancelNotice(job_id))
            self._refuse(entry_id, order.shard, facts, reason)
            return
        attempt = Attempt(
            facts.task,
            facts.attempt,
            order.shard,
            Phase.STARTING,
            self._clock.now(),
            facts,
            order.checkpoint,
            is_trial=order.is_trial,
            lease_term=self._leases.term_of(order.shard),
        )
        self.table.add(attempt)
        self._orders.start(order, attempt)
        self._schedule_report()

    @handle_message.register
    def _handle_stop(self, order: StopOrder, entry_id: str) -> None:
        if not self._leases.observe_epoch(order.shard, order.reign, entry_id):
            return
        attempt = self.table.by_task.get(order.task)
        if attempt is not None and attempt.number <= order.attempt:
            self._orders.stop(attempt)
        else:
            self.table.close(order.task, order.attempt)

    def _start_refused(self, attempt: Attempt, reason: str) -> None:
        """Pass on that the worker refused a start."""
        assert attempt.facts is not None, 'every start order has task facts'
        owner = self._leases.owner_of(attempt.shard)
        self._refuse(owner, attempt.shard, attempt.facts, reason)

    def _refuse(
        self,
        entry_id: str,
        shard: int,
        facts: TaskRequirements,
        reason: str,
    ) -> None:
        """Notify an entry that a start was not carried out."""
        log_event(
            Event.TASK_REFUSED,
            task=facts.task,
            attempt=facts.attempt,
            reason=reason,
        )
        epoch = self._leases.epoch_of(shard)
        self._send(
            entry_id,
            StartRefusal(facts.task, facts.attempt, reason, epoch),
        )

    def _incarnation_changed(self, listing: Listing) -> None:
        now_ms = self._clock.now()
        self._incarnation_found_at = now_ms
        self._ends = EndTable(self._ends)
        former_attempts = [
            *self.table.by_task.values(),
            *self._expired_attempts,
        ]
        if self.monitor.past_incarnation is not None:
            lost_attempts = [
                attempt
                for attempt in former_attempts
                if not listing.may_include(attempt.task, attempt.number)
            ]
            self._ends.add_crashes(
                self.monitor.past_incarnation, lost_attempts, now_ms
            )
        self._expired_attempts = []
        self.table.clear()
        # A start sent to the previous incarnation may have reached this one.
        self.table.carry_over(former_attempts, listing, now_ms)
        self.monitor.durable_up_to = self._ends.durable_up_to
        self._schedule_report()

    def _hold_expired(self) -> None:
        """Drop all attempts: the worker is silent and its hold has expired."""
        self._expired_attempts = list(self.table.by_task.values())
        for attempt in list(self.table.by_task.values()):
            self.table.remove(attempt.task, attempt.number)
        # Attempts that were never listed have ended as well.
        self.table.is_partial = False
        self._schedule_report()

    def _hold_limit(self) -> float:
        """Return the time up to which the hold may be extended, 0 for not.

        A hold covers all tasks of a worker. A new agent finds tasks of shards
        whose owners have not granted it anything yet; extending the hold for
        one owner would keep another owner's tasks alive past their grant.
        """
        if self._awaits_grants(self._clock.now()):
            return 0
        return self._leases.latest_expiry

    def _awaits_grants(self, now_ms: float) -> bool:
        if now_ms - self._incarnation_found_at > _GRANT_WAIT_MS:
            return False
        return any(
            self._leases.expiry_of(attempt.shard) <= now_ms
            for attempt in self.table.by_task.values()
        )

    def _stop_ungranted(self, now_ms: float) -> None:
        """Stop attempts whose own shard has no valid grant.

        Another owner's grant would keep them alive, although their owner's
        successor may already count them as ended. Without any grant at all,
        the hold expires by itself.
        """
        for attempt in list(self.table.by_task.values()):
            if self._leases.expiry_of(attempt.shard) <= now_ms:
                self._orders.stop(attempt)

    def _listing_received(self, listing: Listing, sent_at: float) -> None:
        now_ms = self._clock.now()
        self._expired_attempts = []
        has_changed = False
        for end in listing.ends:
            if self._ends.add(end):
                has_changed = True
                self.table.remove(end.task, end.attempt)
        self._ends.skip(listing.last_unidentified_end)
        listed_tasks = set()
        for row in listing.rows:
            listed_tasks.add(row.task)
            if row.task not in self.table.by_task:
                has_changed = True
            attempt = self.table.update_listed(row, now_ms, sent_at)
            self._orders.repeat_stop(attempt, sent_at)
        if self.table.is_partial and not listing.has_more_ends:
            self.table.is_partial = False
            has_changed = True
        if listing.is_complete:
            # An attempt dropped by mistake would start again while it runs, or
            # although its end shows that it is done.
            has_changed |= self.table.drop_unlisted(listed_tasks, sent_at)
        self._pacer.tick(self.table.by_task.values())
        if has_changed:
            self._schedule_report()

    def _schedule_report(self) -> None:
        """Schedule one report for all changes in this reactor iteration."""
        if not self._is_report_due:
            self._is_report_due = True
            self._reactor.callLater(0, self._report_to_owners)

    def _report_to_owners(self) -> None:
        self._is_report_due = False
        for entry_id in self._schedule.entries:
            if self._leases.epochs_of(entry_id):
                self._report(entry_id)

    def _report(self, entry_id: str) -> None:
        now_ms = self._clock.now()
        self._sequence += 1
        next_ms = self._schedule.record_report(entry_id)
        self._leases.note_report_sent(entry_id, self._sequence, now_ms)
        shard_epochs = self._leases.epochs_of(entry_id)
        own_shards = {owned.shard for owned in shard_epochs}
        attempts = self.table.by_task.values()
        foreign_usage = Size()
        for attempt in attempts:
            if attempt.shard not in own_shards:
                foreign_usage = foreign_usage.plus(attempt.reserved_size())
        monitor = self.monitor
        self._send(
            entry_id,
            WorkerReport(
                self._sequence,
                monitor.boot,
                monitor.announced.service,
                list(monitor.announced.labels),
                monitor.capacity.cpu_millis,
                monitor.capacity.memory_mb,
                monitor.capacity.accelerators,
                monitor.announced.is_leaving,
                monitor.announced.remaining_ms,
                monitor.silent_ms,
                shard_epochs,
                [
                    attempt.report(self._leases.known_at(attempt.shard))
                    for attempt in attempts
                    if attempt.shard in own_shards
                ],
                [
                    end
                    for end in self._ends.by_number.values()
                    if shard_of_task(end.task) in own_shards
                ],
                foreign_usage.cpu_millis,
                foreign_usage.memory_mb,
                foreign_usage.accelerators,
                self._received_starts.count(entry_id),
                self._received_starts.connection(entry_id),
                int(next_ms),
                self.table.is_partial,
            ),
        )
        self.shutdown.announce_to(entry_id)
