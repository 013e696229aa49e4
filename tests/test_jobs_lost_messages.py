"""Messages and answers that are lost, late, or overtaken."""

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


def one(work_ms=1000):
    """One entry, one agent, and a job of one task."""
    deployment = settled(workers=1, entries=1, work_ms=lambda task: work_ms)
    job = a_job(steps=((1, ()),))
    deployment.submit(job)
    return deployment, job


def cancel(deployment, job):
    deployment.entries['entry-0'].core.job_api.cancel(job.job_id, 1e9)


def test_a_stop_that_the_worker_refuses_for_its_fence_is_sent_again():
    """A worker has seen a higher fence than a stop carries.

    It does nothing; the agent took its answer for a stop that was carried
    out, and a cancelled task ran on to its end.
    """
    deployment, job = one(work_ms=20_000)
    deployment.run(1)
    deployment.workers[0].fence += 1
    cancel(deployment, job)
    deployment.run(3)
    assert not deployment.workers[0].runs


def test_a_stop_that_a_start_with_a_raised_fence_overtakes_is_sent_again():
    """A start is answered as late, so that the fence is raised meanwhile."""
    deployment, job = one(work_ms=20_000)
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
        heard = Deferred()
        deployment.reactor.callLater(
            0.25, lambda: stop(*order).chainDeferred(heard)
        )
        return heard

    worker._start, worker.stop = late_once, slow_stop
    cancel(deployment, job)
    deployment.run(0.03)
    deployment.submit(a_job(number=2, steps=((1, ()),)))
    deployment.run(8)
    assert refused
    assert not [task for task in worker.runs if task.startswith(job.job_id)]


def test_an_acknowledgement_that_is_lost_with_its_link_is_sent_again():
    """The link breaks under the message that an end is durable.

    The owner had counted the end and told of it, and never did so again: the
    worker listed it for ever, and each look was answered at once.
    """
    deployment, _job = one()
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
    """An agent is killed after it heard that an end is durable.

    Its worker was not told yet, and lists the end to the next agent.
    """
    deployment, _job = one()
    agent, worker = deployment.agents['agent-0'], deployment.workers[0]
    take, heard = agent.take, []

    def die_once(message, sender):
        take(message, sender)
        if isinstance(message, EndsRecorded) and not heard:
            heard.append(message)
            deployment.kill_agent('agent-0')
            deployment.reactor.callLater(
                1, deployment.start_agent, 'agent-0', worker
            )

    agent.take = die_once
    deployment.run(10)
    assert heard
    assert not worker.ends


def test_a_late_question_of_an_earlier_connection_sets_no_count_back():
    """An old connection's question is read after the new one's.

    The agent counted from nothing when the new name came again. The owner's
    starts seemed never to be taken, and one that vanished was not repeated.
    """
    deployment, _job = one(work_ms=3000)
    deployment.run(0.3)
    agent = deployment.agents['agent-0']
    owned = deployment.entries['entry-0'].core.owner.shards.by_shard[0]
    question = ReportRequest([ShardEpoch(0, owned.epoch)], 'earlier/1')
    agent.core.take(question, 'entry-0')
    deployment.run(0.5)
    job = a_job(number=2, steps=((1, ()),))
    deployment.submit(job)
    deployment.run(0.3)
    task = next(
        task for task in agent.core.table.by_task if task.startswith(job.job_id)
    )
    agent.core.table.ended(task, agent.core.table.by_task[task].number)
    deployment.workers[0].runs.pop(task)
    deployment.book.running[task].clear()
    deployment.run(3)
    assert len(starts_of(deployment, job)) == 2


def test_a_start_of_an_earlier_connection_is_void():
    """It would be counted among the starts of the new connection."""
    taken = ReceivedStarts()
    taken.begin('entry', 'old')
    assert taken.record('entry', 'old')
    taken.begin('entry', 'new')
    assert not taken.record('entry', 'old')
    assert taken.count('entry') == 0
    assert taken.record('entry', 'new')
    assert taken.count('entry') == 1


class StoppedClock:
    """A clock of the product that does not go on."""

    def now(self):
        return 0


class DeafConnection:
    """A connection on which nothing is heard."""

    last_received_at = 0

    def send(self, message):
        """Nobody reads it."""

    def abort(self):
        """It is not there."""


def test_an_old_connection_that_closes_leaves_the_new_one_alone():
    """An entry is known by two addresses, and the older connection ends.

    The agent took the entry for gone, though the newer connection was well.
    """
    opened, closed, heard = [], [], []
    dialler = LinkDialler(
        None,
        StoppedClock(),
        AgentGreeting('agent', 'zone'),
        opened.append,
        lambda entry_id, message: heard.append(message),
        closed.append,
    )
    dialler.add_addresses(['old:1', 'new:1'])
    old, new = dialler._by_address['old:1'], dialler._by_address['new:1']
    for dialled in (old, new):
        connection = DeafConnection()
        dialled._opened(connection)
        dialled._received(connection, EntryGreeting('entry'))
    old._received(old.connection, ReportRequest([]))
    assert not heard
    old._closed(old.connection)
    assert dialler.connected == ['entry']
    assert not closed


def test_a_cancellation_that_overtakes_its_job_is_kept():
    """Two entries tell the owner, one of a job and one of its end."""
    deployment = settled(workers=1, entries=1)
    owned = deployment.entries['entry-0'].core.owner.shards.by_shard[0]
    job = a_job(steps=((1, ()),))
    owned.cancel(job.job_id)
    owned.add(JobRow(job, 0))
    deployment.run(1)
    assert not starts_of(deployment, job)
    assert deployment.state(job.job_id) is JobState.CANCELLED


def test_an_attempt_that_replaced_another_on_its_worker_goes_on():
    """An agent reports a higher attempt than was ordered there last.

    A former owner had started it. The owner took the attempt that it had
    noted on the same worker for another one that runs, and stopped this one.
    """
    deployment, job = one(work_ms=3000)
    deployment.run(0.5)
    fleet = deployment.entries['entry-0'].core.fleet
    (placed,) = fleet.by_agent['agent-0'].placed_by_task.values()
    placed.number = 0
    deployment.run(4)
    assert [row[3] for row in deployment.book.ends] == [AttemptEnd.DONE]


def test_a_report_that_counts_for_another_connection_ends_nothing():
    """It may have left before the start that it does not list."""
    deployment, _job = one(work_ms=3000)
    deployment.run(0.5)
    worker = deployment.entries['entry-0'].core.fleet.by_agent['agent-0']
    (placed,) = worker.placed_by_task.values()
    assert worker.has_received(placed, worker.report)
    earlier = replace(worker.report, connection='earlier/1')
    assert not worker.has_received(placed, earlier)


def test_an_agent_that_wakes_reads_before_it_judges_its_worker():
    """A VM is frozen with its worker for longer than a hold lasts.

    The worker's clock stood still, and its tasks run on. The agent woke, saw
    a silence of 8 s and reported an idle worker.
    """
    deployment, _job = one(work_ms=20_000)
    deployment.run(1)
    agent = deployment.agents['agent-0']
    watch, lapses = agent.core.monitor, []
    watch.on_lapse = lambda: lapses.append(deployment.reactor.seconds())
    deployment.workers[0].is_dark = True
    deployment.run(0.7)
    watch._heard_at -= 9000
    watch._held_until -= 9000
    watch._inherited_until -= 9000
    watch._stalls._turned_at -= 9000
    watch.check()
    assert not lapses
    deployment.run(1.5)
    assert lapses
