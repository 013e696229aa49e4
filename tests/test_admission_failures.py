"""Admission while processes, links or the store fail."""

import pytest
from twisted.internet.defer import Deferred

from hyssopring.admission.messages import QueueOutlookNotice, RejectionNotice
from hyssopring.errors import ErrorKind
from hyssopring.jobs.links import LinkDialler
from hyssopring.jobs.messages import (
    AgentGreeting,
    EntryGreeting,
    pack,
)
from hyssopring.clock import ManualClock
from hyssopring.jobs.model import JobState
from hyssopring.jobs.row_keys import job_key
from hyssopring.jobs.rows import StoreUncertain
from hyssopring.logs import Event
from hyssopring.protocol.structs import read_struct, struct, write_struct
from standins.jobs.deployment import starts_of
from admission_support import (
    add_work,
    deploy,
    is_rejected,
    job_of,
    overloaded,
    rejections,
    stored_row,
    submit,
    wall_ms,
)


def other_entries(deployment):
    return [name for name in deployment.entries if name != deployment.owner]


def stale_lines(log_lines):
    return [
        line for line in log_lines if line['event'] is Event.ADMISSION_STALE
    ]


@pytest.mark.parametrize('entry', ['entry-0', 'entry-1', 'entry-2'])
def test_stored_job_is_answered_as_stored(entry):
    """Guards against not-run for a job whose first answer was lost."""
    deployment = overloaded()
    job = job_of(1)
    assert stored_row(deployment, job)
    assert submit(deployment, job, entry).is_ok()


def test_job_that_ended_is_answered_as_stored():
    deployment = deploy()
    job = job_of(1)
    submit(deployment, job)
    deployment.run(65)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    add_work(deployment, 10)
    assert is_rejected(submit(deployment, job_of(100)))
    assert submit(deployment, job).is_ok()


def lose_writes_of(deployment, job, late_s):
    """Let a job's writes by the first entry take effect late, unanswered."""
    store = deployment.entries['entry-0'].core.job_api._store
    commit = store.commit

    def lose(transaction):
        if job_key(job.job_id) not in {put.row_key for put in transaction.puts}:
            return commit(transaction)
        answer = Deferred()
        call_later = deployment.reactor.callLater
        call_later(late_s, deployment.rows.apply, transaction)
        call_later(0.5, answer.errback, StoreUncertain('lost'))
        return answer

    store.commit = lose


@pytest.mark.parametrize('again', ['entry-0', 'entry-1'])
def test_job_whose_write_may_come_late_is_not_rejected(again):
    """Guards against not-run while the store may still carry out a write.

    The store loses the answer, carries out the write seconds later, and the
    row cannot be read yet when the caller submits the job again.
    """
    deployment = deploy()
    job = job_of(100)
    lose_writes_of(deployment, job, 6)
    outcomes = deployment.submit(job)
    deployment.run(3)
    assert outcomes[0].unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
    add_work(deployment)
    assert is_rejected(submit(deployment, job_of(101), again))
    assert stored_row(deployment, job) is None
    outcomes = deployment.submit(job, again)
    deployment.run(3)
    assert not is_rejected(outcomes[0])
    deployment.run(25)
    assert len(starts_of(deployment, job)) == 16


def test_job_that_another_entry_is_storing_is_not_rejected():
    """Guards against not-run for a job whose entry died while storing it."""
    deployment = overloaded()
    gate = deployment.entries['entry-1'].core.admission.gate
    gate.handle_rejection(
        RejectionNotice(job_of(100).job_id, 0, 0, may_be_stored=True)
    )
    assert submit(deployment, job_of(100), 'entry-1').is_ok()


def test_entry_tells_its_peers_before_it_stores_a_job():
    deployment = deploy()
    notices = []
    for name in ('entry-1', 'entry-2'):
        gate = deployment.entries[name].core.admission.gate
        gate.handle_rejection = notices.append
    deployment.rows.pauses = lambda: (0.5, 0)
    deployment.submit(job_of(1))
    deployment.run(0.02)
    assert [notice.may_be_stored for notice in notices] == [True, True]
    assert stored_row(deployment, job_of(1)) is None


def test_job_that_is_stored_during_the_read_is_not_rejected():
    """Guards against two copies of a submission at two entries."""
    deployment = overloaded()
    outcomes = deployment.submit(job_of(100), 'entry-1')
    gate = deployment.entries['entry-1'].core.admission.gate
    gate.handle_rejection(
        RejectionNotice(job_of(100).job_id, 0, 0, may_be_stored=True)
    )
    deployment.run(0.1)
    assert outcomes[0].is_ok()


def test_failed_read_rejects_nothing():
    """Guards against not-run for a job that the store may hold."""
    deployment = overloaded()
    deployment.rows.is_down = True
    outcomes = deployment.submit(job_of(100))
    deployment.run(2)
    assert outcomes[0].unwrap_err().kind is ErrorKind.STORE_UNAVAILABLE


def test_slow_read_rejects_nothing(monkeypatch):
    """Guards against callers that wait for a read of a slow store."""
    deployment = overloaded()
    gate = deployment.entries['entry-0'].core.admission.gate
    never = Deferred()
    monkeypatch.setattr(
        gate._stored_jobs, '_store', _StoreWithRead(lambda key: never)
    )
    outcomes = deployment.submit(job_of(100))
    deployment.run(0.1)
    assert not outcomes
    deployment.run(0.05)
    assert outcomes[0].is_ok()
    assert stored_row(deployment, job_of(100))


class _StoreWithRead:
    def __init__(self, read_one):
        self.read_one = read_one


def test_store_that_is_always_slow_is_waited_for():
    """Guards against a slow store that turns admission off."""
    deployment = overloaded(jobs=60)
    deployment.rows.pauses = lambda: (0.09, 0)
    for number in range(100, 140):
        deployment.submit(job_of(number))
        deployment.run(0.2)
    deployment.rows.pauses = lambda: (0.15, 0)
    outcomes = deployment.submit(job_of(200))
    deployment.run(0.3)
    assert is_rejected(outcomes[0])


def test_stale_outlook_rejects_nothing(log_lines):
    """Guards against rejections by what was true seconds ago."""
    deployment = overloaded(jobs=12)
    cut_off = other_entries(deployment)[0]
    for entry in deployment.entries.values():
        entry.core.admission._publish = lambda notice: None
        entry.core.admission.publisher._send = lambda notice: None
    deployment.run(1.5)
    assert is_rejected(submit(deployment, job_of(100), cut_off))
    deployment.run(0.8)
    assert submit(deployment, job_of(101), cut_off).is_ok()
    (line,) = stale_lines(log_lines)
    assert line['age_ms'] > 2000 and line['jobs'] == 1
    for number in range(102, 110):
        assert submit(deployment, job_of(number), cut_off).is_ok()
    assert len(stale_lines(log_lines)) == 1
    deployment.run(5)
    submit(deployment, job_of(110), cut_off)
    assert [each['jobs'] for each in stale_lines(log_lines)] == [1, 9]


def test_without_an_owner_everything_is_accepted():
    deployment = overloaded(jobs=30)
    owner = deployment.owner
    entry = other_entries(deployment)[0]
    deployment.kill_entry(owner)
    deployment.run(2.1)
    assert submit(deployment, job_of(100), entry).is_ok()


def test_new_owner_publishes_its_own_outlook():
    """Guards against an outlook of a former owner that stays in force."""
    deployment = overloaded(jobs=40)
    owner = deployment.owner
    entry = other_entries(deployment)[0]
    deployment.kill_entry(owner)
    deployment.run(15)
    assert deployment.owner != owner
    gate = deployment.entries[entry].core.admission.gate
    assert gate.outlook.notice.epoch == 2
    assert is_rejected(submit(deployment, job_of(100), entry))


def test_new_owner_that_has_not_heard_all_agents_publishes_nothing():
    """Guards against predictions by a part of what runs."""
    deployment = overloaded(workers=4, jobs=40)
    owner = deployment.owner
    deployment.cut_off('agent-3')
    deployment.kill_entry(owner)
    deployment.run(5)
    new_owner = deployment.entries[deployment.owner]
    (owned,) = new_owner.core.owner.shards.by_shard.values()
    assert owned.unreported
    assert new_owner.core.admission.gate.outlook.notice.epoch == 1


def test_lost_notices_are_repeated():
    """Guards against an entry that missed one notice and accepts all."""
    deployment = overloaded(jobs=12)
    entry = other_entries(deployment)[0]
    gate = deployment.entries[entry].core.admission.gate
    handle = gate.handle_outlook
    gate.handle_outlook = lambda notice: None
    deployment.run(1)
    gate.handle_outlook = handle
    assert is_rejected(submit(deployment, job_of(100), entry))


def test_entry_that_misses_outlooks_accepts_what_another_rejects(log_lines):
    """Two entries disagree: both answers hold, and the job runs once."""
    deployment = overloaded()
    behind, informed = other_entries(deployment)
    core = deployment.entries[behind].core
    core.admission.gate.outlook._notice = None
    core.admission.gate.handle_outlook = lambda notice: None
    job = job_of(100)
    assert is_rejected(submit(deployment, job, informed))
    assert submit(deployment, job, behind).is_ok()
    assert submit(deployment, job, informed).is_ok()
    deployment.run(20)
    assert len(starts_of(deployment, job)) == 16


def test_peer_with_a_wrong_wall_clock_is_ignored():
    """Guards against a time to come back that is hours away."""
    deployment = overloaded()
    gate = deployment.entries['entry-1'].core.admission.gate
    job = job_of(100)
    hour_ms = 3_600_000
    come_back_ms = round(wall_ms(deployment)) + hour_ms
    gate.handle_rejection(
        RejectionNotice(job.job_id, come_back_ms - 1000, come_back_ms)
    )
    outcome = submit(deployment, job, 'entry-1')
    assert outcome.unwrap_err().retry_after_ms <= 10_000


def test_callers_that_leave_hold_no_room():
    """Guards against room that is kept for callers who never return."""
    deployment = overloaded()
    for number in range(100, 130):
        submit(deployment, job_of(number))
    deployment.run(12)
    assert submit(deployment, job_of(200)).is_ok()
    gate = deployment.entries['entry-0'].core.admission.gate
    deployment.run(60)
    (reservations,) = gate._reservations_by_service.values()
    assert not len(reservations)
    assert not len(gate.answers)


def test_entry_of_the_previous_release_gets_no_new_message():
    """Guards against a closed connection: an unknown class is an error."""
    deployment = deploy()
    older = other_entries(deployment)[0]
    deployment.entries[older].release = 0
    received = []
    take = deployment.entries[older].take

    def record(message, sender):
        received.append(type(message))
        take(message, sender)

    deployment.entries[older].take = record
    add_work(deployment)
    assert is_rejected(submit(deployment, job_of(100)))
    assert submit(deployment, job_of(101), older).is_ok()
    assert QueueOutlookNotice not in received
    assert RejectionNotice not in received


@struct
class OlderGreeting:
    """An ``EntryGreeting`` of the previous release."""

    entry_id: str


class Connection:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def test_release_of_a_peer_is_known_from_its_greeting():
    """Guards against a new process that takes an older one for new."""
    dialler = LinkDialler(
        None,
        ManualClock(),
        AgentGreeting('agent', 'zone'),
        lambda entry_id: None,
        lambda entry_id, message: None,
        lambda entry_id: None,
    )
    dialler.add_addresses(['old:1', 'new:1'])
    older = read_struct(EntryGreeting, write_struct(OlderGreeting('old')))
    for address, greeting in (
        ('old:1', older),
        ('new:1', EntryGreeting('new', 1)),
    ):
        dialled = dialler._by_address[address]
        dialled._opened(Connection())
        dialled._received(dialled.connection, greeting)
    assert dialler.release_of('old') == 0
    assert dialler.release_of('new') == 1
    assert dialler.release_of('unknown') == 0


def test_process_without_admission_ignores_the_messages(errors):
    deployment = deploy(options=None)
    core = deployment.entries['entry-0'].core
    core.handle_message(QueueOutlookNotice(1, 1, [], []), 'entry-1')
    core.handle_message(RejectionNotice('job', 1, 2), 'entry-1')
    assert not errors


def test_new_classes_are_the_last_ones():
    """Guards against messages that an older process takes for others."""
    assert pack(RejectionNotice('job', 1, 2))[0] == 29
    assert pack(QueueOutlookNotice(1, 1, [], []))[0] == 28


def test_rejections_never_run(log_lines):
    """A job that was rejected and not submitted again never runs."""
    deployment = overloaded(jobs=12)
    jobs = [job_of(number) for number in range(100, 120)]
    rejected = [job for job in jobs if is_rejected(submit(deployment, job))]
    assert len(rejected) > 10
    deployment.kill_entry(deployment.owner)
    deployment.run(40)
    started = {row[2].split('.')[0] for row in deployment.run_recorder.starts}
    assert not started & {job.job_id for job in rejected}
    logged = {line['job'] for line in rejections(log_lines)}
    assert logged.issuperset(job.job_id for job in rejected)
    assert all(
        job_key(job.job_id) not in deployment.rows.rows for job in rejected
    )
