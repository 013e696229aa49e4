"""Messages and answers that are lost, delayed or reordered."""

from dataclasses import replace

from twisted.internet.defer import Deferred

from hyssopring.jobs.documents import JobRow
from hyssopring.jobs.links import LinkDialler
from hyssopring.jobs.messages import (
    AgentGreeting,
    EndsRecorded,
    EntryGreeting,
    ReportRequest,
    ShardEpoch,
)
from hyssopring.jobs.model import AttemptEnd, JobState
from hyssopring.jobs.received_starts import ReceivedStarts
from hyssopring.jobs.worker_port import StartOutcome
from standins.jobs.deployment import a_job, settled, starts_of


def deployment_with_job(work_ms=1000):
    """Return a deployment of one entry and agent, and a job of one task."""
    deployment = settled(workers=1, entries=1, work_ms=lambda task: work_ms)
    job = a_job(steps=((1, ()),))
    deployment.submit(job)
    return deployment, job


def cancel(deployment, job):
    deployment.entries['entry-0'].core.job_api.cancel(job.job_id, 1e9)


def test_a_stop_that_the_worker_refuses_for_its_fence_is_sent_again():
    """A worker has seen a higher fence than that of a stop, and ignores it.

    If the agent treated the answer as an accepted stop, a cancelled task would
    run to its end.
    """
    deployment, job = deployment_with_job(work_ms=20_000)
    deployment.run(1)
    deployment.workers[0].fence += 1
    cancel(deployment, job)
    deployment.run(3)
    assert not deployment.workers[0].runs


def test_a_stop_overtaken_by_a_start_with_a_raised_fence_is_sent_again():
    """A start is refused as late and raises the fence while a stop is sent."""
    deployment, job = deployment_with_job(work_ms=20_000)
    deployment.run(1)
    worker = deployment.workers[0]
    start, stop = worker._start, worker.stop
    refused = []

    def late_once(order):
        if not refused:
            refused.append(order)
            return StartOutcome.LATE
        return start(order)

    def slow_stop(*order):
        received = Deferred()
        deployment.reactor.callLater(
            0.25, lambda: stop(*order).chainDeferred(received)
        )
        return received

    worker._start, worker.stop = late_once, slow_stop
    cancel(deployment, job)
    deployment.run(0.03)
    deployment.submit(a_job(number=2, steps=((1, ()),)))
    deployment.run(8)
    assert refused
    assert not [task for task in worker.runs if task.startswith(job.job_id)]


def test_an_acknowledgement_that_is_lost_with_its_link_is_sent_again():
    """The connection breaks with the message that an end is durable.

    If the owner did not repeat the message, the worker would list the end
    forever and answer each poll without waiting.
    """
    deployment, _job = deployment_with_job()
    agent = deployment.agents['agent-0']
    take, lost = agent.take, []

    def lose_once(message, sender):
        if isinstance(message, EndsRecorded) and not lost:
            lost.append(message)
            deployment._unlink_pair(('agent-0', sender))
            return
        take(message, sender)

    agent.take = lose_once
    deployment.run(8)
    assert lost
    assert not deployment.workers[0].ends


def test_an_agent_that_dies_with_an_acknowledgement_gets_it_again():
    """An agent is killed right after the message that an end is durable.

    Its worker has not got the acknowledgement, and lists the end to the next
    agent.
    """
    deployment, _job = deployment_with_job()
    agent, worker = deployment.agents['agent-0'], deployment.workers[0]
    take, received = agent.take, []

    def die_once(message, sender):
        take(message, sender)
        if isinstance(message, EndsRecorded) and not received:
            received.append(message)
            deployment.kill_agent('agent-0')
            deployment.reactor.callLater(
                1, deployment.start_agent, 'agent-0', worker
            )

    agent.take = die_once
    deployment.run(10)
    assert received
    assert not worker.ends


def test_a_late_question_of_an_earlier_connection_resets_no_count():
    """A message of an earlier connection is read after the current one's.

    If the agent then counted the current connection's starts from 0 again, the
    owner would take them for still in flight, and a lost one would never be
    repeated.
    """
    deployment, _job = deployment_with_job(work_ms=3000)
    deployment.run(0.3)
    agent = deployment.agents['agent-0']
    owned = deployment.entries['entry-0'].core.owner.shards.by_shard[0]
    question = ReportRequest([ShardEpoch(0, owned.epoch)], 'earlier/1')
    agent.core.handle_message(question, 'entry-0')
    deployment.run(0.5)
    job = a_job(number=2, steps=((1, ()),))
    deployment.submit(job)
    deployment.run(0.3)
    task = next(
        task for task in agent.core.table.by_task if task.startswith(job.job_id)
    )
    agent.core.table.remove(task, agent.core.table.by_task[task].number)
    deployment.workers[0].runs.pop(task)
    deployment.run_recorder.running[task].clear()
    deployment.run(3)
    assert len(starts_of(deployment, job)) == 2


def test_a_start_of_an_earlier_connection_is_void():
    """Guards against counting it among the starts of the new connection."""
    starts = ReceivedStarts()
    starts.set_connection('entry', 'old')
    assert starts.record('entry', 'old')
    starts.set_connection('entry', 'new')
    assert not starts.record('entry', 'old')
    assert starts.count('entry') == 0
    assert starts.record('entry', 'new')
    assert starts.count('entry') == 1


class StoppedClock:
    """A clock whose time never advances."""

    def now(self):
        return 0


class DeafConnection:
    """A connection that receives nothing and drops what is sent."""

    last_received_at = 0

    def send(self, message):
        """Drop a message."""

    def abort(self):
        """Do nothing."""


def test_an_old_connection_that_closes_leaves_the_new_one_alone():
    """An entry has two addresses, and the older of two connections closes.

    The agent must not treat the entry as disconnected, since the newer
    connection is open.
    """
    opened, closed, received = [], [], []
    dialler = LinkDialler(
        None,
        StoppedClock(),
        AgentGreeting('agent', 'zone'),
        opened.append,
        lambda entry_id, message: received.append(message),
        closed.append,
    )
    dialler.add_addresses(['old:1', 'new:1'])
    old, new = dialler._by_address['old:1'], dialler._by_address['new:1']
    for dialled in (old, new):
        connection = DeafConnection()
        dialled._opened(connection)
        dialled._received(connection, EntryGreeting('entry'))
    old._received(old.connection, ReportRequest([]))
    assert not received
    old._closed(old.connection)
    assert dialler.connected == ['entry']
    assert not closed


def test_a_cancellation_that_overtakes_its_job_is_kept():
    """One entry passes on a job to its owner, another its cancellation."""
    deployment = settled(workers=1, entries=1)
    owned = deployment.entries['entry-0'].core.owner.shards.by_shard[0]
    job = a_job(steps=((1, ()),))
    owned.cancel(job.job_id)
    owned.add(JobRow(job, 0))
    deployment.run(1)
    assert not starts_of(deployment, job)
    assert deployment.state(job.job_id) is JobState.CANCELLED


def test_an_attempt_that_replaced_another_on_its_worker_goes_on():
    """An agent reports a later attempt than the owner has recorded there.

    A former owner started it. The owner must not treat its outdated record on
    the same worker as another running attempt, and stop this one.
    """
    deployment, job = deployment_with_job(work_ms=3000)
    deployment.run(0.5)
    fleet = deployment.entries['entry-0'].core.fleet
    (placed,) = fleet.by_agent['agent-0'].placed_by_task.values()
    placed.attempt = 0
    deployment.run(4)
    assert [row[3] for row in deployment.run_recorder.ends] == [AttemptEnd.DONE]


def test_a_report_that_counts_for_another_connection_ends_nothing():
    """It may have been sent before a start that it does not list arrived."""
    deployment, _job = deployment_with_job(work_ms=3000)
    deployment.run(0.5)
    worker = deployment.entries['entry-0'].core.fleet.by_agent['agent-0']
    (placed,) = worker.placed_by_task.values()
    assert worker.has_received(placed, worker.report)
    earlier = replace(worker.report, connection='earlier/1')
    assert not worker.has_received(placed, earlier)


def test_a_resumed_agent_reads_answers_before_it_expires_the_hold():
    """A VM is suspended, with its worker, for longer than a hold lasts.

    The worker's clock stood still, and its tasks keep running. The agent must
    not treat the gap of 9 s as a silent worker and report its tasks as ended.
    """
    deployment, _job = deployment_with_job(work_ms=20_000)
    deployment.run(1)
    agent = deployment.agents['agent-0']
    monitor, expired_at = agent.core.monitor, []
    monitor.on_hold_expired = lambda: expired_at.append(
        deployment.reactor.seconds()
    )
    deployment.workers[0].is_unresponsive = True
    deployment.run(0.7)
    monitor._answered_at -= 9000
    monitor._hold_until -= 9000
    monitor._inherited_hold_until -= 9000
    monitor._stall_detector._last_tick_at -= 9000
    monitor.check()
    assert not expired_at
    deployment.run(1.5)
    assert expired_at
