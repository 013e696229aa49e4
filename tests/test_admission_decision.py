"""The decision about a submitted job, without any process."""

import pytest

from hyssopring.admission.known_outlook import (
    AcceptedWork,
    KnownOutlook,
)
from hyssopring.admission.backlog import Backlog
from hyssopring.admission.decision import Knowledge, Reason, decide
from hyssopring.admission.demand import (
    JobDemand,
    core_ms,
    estimate_of,
    wire_amount,
)
from hyssopring.admission.ended_work import EndedWork
from hyssopring.admission.messages import (
    QueueOutlook,
    QueueOutlookNotice,
    RejectionNotice,
    ServiceOutlook,
)
from hyssopring.admission.prediction import predict
from hyssopring.admission.rejections import JobAnswers, Rejection
from hyssopring.admission.reservations import Reservations
from hyssopring.clock import ManualClock
from hyssopring.jobs.documents import JobRow
from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.messages import pack, unpack
from hyssopring.jobs.model import AdviceTiming, Queue
from hyssopring.jobs.scheduling_options import AdmissionOptions
from admission_support import job_of

OPTIONS = AdmissionOptions()
RATE = 16_000


def notice(work=0, is_waiting=True, sequence=1, epoch=1, rate=RATE, **changes):
    queue = {
        'queue': 'queue',
        'service': 'service',
        'label': '',
        'priority': 0,
        'work': work,
        'rate_millis': rate,
        'jobs': 1,
        'is_waiting': is_waiting,
        **changes,
    }
    services = [ServiceOutlook('service', rate, rate, rate)]
    return QueueOutlookNotice(
        epoch, sequence, services, [QueueOutlook(**queue)]
    )


def demand_of(**changes):
    return JobDemand.from_job(job_of(1, **changes), estimate_of)


def reason_of(demand, known, age_ms=0, **changes):
    return decide(demand, Knowledge(known, age_ms, **changes), OPTIONS).reason


# The job takes 1 s alone, its objective is 2 s, so its limit is 6 s.
LATE = notice(5 * RATE + 1000)
IN_TIME = notice(5 * RATE)


@pytest.mark.parametrize(
    ('known', 'age_ms', 'changes', 'expected'),
    [
        (IN_TIME, 0, {}, Reason.IN_TIME),
        (LATE, 0, {}, Reason.TOO_LATE),
        (None, 0, {}, Reason.NO_OUTLOOK),
        (LATE, 2000, {}, Reason.TOO_LATE),
        (LATE, 2001, {}, Reason.STALE),
        (notice(10**9, is_waiting=False), 0, {}, Reason.NOTHING_WAITS),
        (notice(10**9, rate=0), 0, {}, Reason.NO_RATE),
        (LATE, 0, {'may_be_stored': True}, Reason.MAY_BE_STORED),
        (IN_TIME, 0, {'accepted_work': 1000}, Reason.TOO_LATE),
        (IN_TIME, 0, {'reserved_work': 1000}, Reason.TOO_LATE),
        (LATE, 0, {'has_returned': True}, Reason.RETURNED),
        (
            IN_TIME,
            0,
            {'has_returned': True, 'reserved_work': 10**9},
            Reason.RETURNED,
        ),
        (notice(12 * RATE), 0, {'has_returned': True}, Reason.FAR_WORSE),
    ],
)
def test_reason(known, age_ms, changes, expected):
    assert reason_of(demand_of(), known, age_ms, **changes) is expected


@pytest.mark.parametrize(
    'changes',
    [{'service': 'other'}, {'priority': 1}, {'label': 'gpu'}],
)
def test_work_that_does_not_come_first_rejects_nothing(changes):
    """Guards against jobs that wait for work of others.

    Work of another service, of a less urgent queue, or for workers with a
    label that the job does not need leaves its room alone.
    """
    known = notice(10**9, **changes)
    assert reason_of(demand_of(), known) is Reason.NOTHING_WAITS


def test_work_for_the_label_of_a_job_comes_first():
    known = notice(10**9, label='gpu')
    assert reason_of(demand_of(label='gpu'), known) is Reason.TOO_LATE


def test_more_urgent_work_comes_first():
    assert reason_of(demand_of(priority=2), LATE) is Reason.TOO_LATE


@pytest.mark.parametrize(
    ('urgent_rate', 'expected_rate'), [(4000, 12_000), (15_000, 8000)]
)
def test_more_urgent_queues_take_their_part_of_the_rate(
    urgent_rate, expected_rate
):
    """Guards against a prediction that gives a queue all of the room."""
    known = notice(1000, priority=-1)
    known.queues[0].rate_millis = urgent_rate
    prediction = predict(known, demand_of(), 0)
    assert prediction.rate_millis == expected_rate
    own = predict(known, demand_of(priority=-1), 0)
    assert own.rate_millis == RATE


@pytest.mark.parametrize('tasks', [1, 100, 100_000])
def test_size_alone_rejects_no_job(tasks):
    """Guards against estimates that are ten times too high.

    A job that takes longer than three objectives even alone would be rejected
    whenever a single task of another job waits.
    """
    known = notice(2 * RATE)
    assert reason_of(demand_of(tasks=tasks), known) is Reason.IN_TIME


def test_job_without_an_objective_is_accepted():
    demand = demand_of(estimate_ms=0, target_ms=0)
    assert reason_of(demand, notice(10**9)) is Reason.NO_OBJECTIVE


def test_limit_follows_the_setting():
    knowledge = Knowledge(IN_TIME, 0)
    decision = decide(demand_of(), knowledge, AdmissionOptions(2))
    assert decision.reason is Reason.TOO_LATE
    assert decision.limit_ms == 4000
    assert decision.prediction.duration_ms == 6000
    assert decision.excess_work == 2 * RATE


def test_older_outlooks_are_ignored():
    """Guards against a former owner, and notices that overtake each other."""
    clock = ManualClock()
    known = KnownOutlook(clock)
    assert known.notice is None
    assert known.apply(notice(epoch=2, sequence=5))
    clock.advance(100)
    assert not known.apply(notice(epoch=2, sequence=5))
    assert not known.apply(notice(epoch=2, sequence=4))
    assert not known.apply(notice(epoch=1, sequence=9))
    assert known.age_ms == 100
    assert known.apply(notice(epoch=3, sequence=1))
    assert known.age_ms == 0


def test_outlook_is_forgotten():
    """Guards against a former owner's outlook that counts as needed for ever."""
    clock = ManualClock()
    known = KnownOutlook(clock)
    known.apply(notice())
    clock.advance(30_001)
    assert known.notice is None


def test_work_that_was_accepted_since_the_notice_counts_once():
    """Guards against a burst between two notices that is accepted whole."""
    accepted = AcceptedWork()
    accepted.add(demand_of(), 1000)
    accepted.add(demand_of(), 1500)
    assert accepted.ahead_of(demand_of()) == 32_000
    assert accepted.ahead_of(demand_of(label='gpu')) == 32_000
    accepted.on_notice(1600)
    assert accepted.ahead_of(demand_of()) == 16_000
    accepted.add(demand_of(priority=1, label='gpu'), 1600)
    assert accepted.ahead_of(demand_of(priority=1)) == 16_000


def reserve(reservations, now_ms, excess, work=1000, priority=0):
    seconds = reservations.find(now_ms, excess, priority, 2000)
    reservations.add(now_ms + seconds * 1000, priority, work)
    return seconds


def test_reservations_spread_the_jobs_that_return():
    """Guards against callers that all return in the same second."""
    reservations = Reservations()
    seconds = [reserve(reservations, 500, 4000) for _ in range(6)]
    assert seconds == [2, 3, 3, 4, 4, 5]
    assert reserve(reservations, 500, 4000, priority=-1) == 2


def test_reservations_are_bounded_and_expire():
    reservations = Reservations()
    for _ in range(1000):
        assert reserve(reservations, 0, 4000) <= 32
    assert reserve(reservations, 0, 10**15) == 600
    reservations.prune(700_000)
    assert not len(reservations)


def test_room_of_a_job_that_returned_is_released():
    reservations = Reservations()
    reserve(reservations, 0, 0)
    assert reservations.due_work(1000, 0) == 1000
    assert not reservations.due_work(1000, -1)
    assert not reservations.due_work(9000, 0)
    reservations.release(1200, 0, 1000)
    assert not reservations.due_work(1200, 0)


def test_rejections_expire_and_are_bounded():
    """Guards against memory that grows with each rejected job."""
    answers = JobAnswers()
    for number in range(10_500):
        answers.add_rejection(str(number), Rejection(1000, 2000))
    assert len(answers) == 10_000
    assert answers.rejection_of('0', 2000) is None
    assert answers.rejection_of('10499', 12_000) is not None
    assert answers.rejection_of('10499', 12_001) is None
    answers.prune(12_001)
    assert not len(answers)


def test_first_submission_counts():
    """A job that is rejected again keeps the time of its first submission."""
    answers = JobAnswers()
    answers.add_rejection('job', Rejection(1000, 2000))
    answers.add_rejection('job', Rejection(1500, 4000))
    rejection = answers.rejection_of('job', 3000)
    assert rejection.first_asked_ms == 1000
    assert not rejection.has_returned(3900)
    assert rejection.has_returned(3950)


def test_stored_jobs_are_remembered_for_a_time():
    answers = JobAnswers()
    assert answers.add_storing('job', 1000)
    assert not answers.add_storing('job', 2000)
    assert answers.may_be_stored('job', 61_999)
    assert not answers.may_be_stored('job', 62_000)
    assert not answers.may_be_stored('other', 2000)


def test_ended_work_is_a_moving_average():
    ended = EndedWork()
    for tenth in range(400):
        ended.record('queue', 1600, tenth * 100)
    assert ended.rate_millis('queue', 40_000) == pytest.approx(RATE, rel=0.05)
    assert ended.rate_millis('queue', 60_000) < RATE / 5
    assert not ended.rate_millis('other', 40_000)
    ended.prune(40_000)
    assert ended.rate_millis('queue', 40_000)
    ended.prune(10**6)
    assert not ended.rate_millis('queue', 40_000)


def test_speed_follows_real_run_times():
    """Guards against estimates that are half of the real run time."""
    ended = EndedWork()
    assert ended.speed(0) == 1
    for tenth in range(400):
        ended.record('queue', 1600, tenth * 100, 2)
    assert ended.speed(40_000) == pytest.approx(0.5, abs=0.02)
    assert ended.speed(10**9) == pytest.approx(1)


def backlog_of(*records, unplaced=(), ended=None):
    backlog = Backlog(records, unplaced, estimate_of)
    ended = ended or EndedWork()
    return backlog.queues(ended, 0), backlog.services(ended, [], 0)


def record_of(**changes):
    return JobRecord.from_row(JobRow(job_of(1, **changes), 0), 1, False)


def test_backlog_counts_work_that_is_not_done():
    record = record_of(tasks=4, steps=2)
    run = record.step_runs['0.0']
    run.mark_done(0)
    run.mark_running(1)
    (queue,), (service,) = backlog_of(record, unplaced=[(record, run)])
    assert queue.work == 2500 + 4000
    assert queue.jobs == 1 and queue.is_waiting
    assert service.running_millis == service.rate_millis == 1000


def test_backlog_of_a_keeper_is_no_work():
    record = record_of(is_keeper=True)
    run = record.step_runs['0.0']
    run.mark_running(0)
    assert backlog_of(record, unplaced=[(record, run)]) == ([], [])


@pytest.mark.parametrize('limit', ['worker', 'ticket'])
def test_step_that_lacks_more_than_capacity_is_no_scarcity(limit):
    """Guards against rejections while workers are idle."""
    record = record_of(max_per_worker=1 if limit == 'worker' else 0)
    if limit == 'ticket':
        queue = Queue('queue', 'service', advice=AdviceTiming())
        object.__setattr__(record.job, 'queue', queue)
    run = record.step_runs['0.0']
    (queue,), _services = backlog_of(record, unplaced=[(record, run)])
    assert not queue.is_waiting


def test_rate_is_what_ends_if_that_is_more():
    ended = EndedWork()
    ended.record('queue', 80_000, 0)
    record = record_of()
    record.step_runs['0.0'].mark_running(0)
    _queues, (service,) = backlog_of(record, ended=ended)
    assert service.rate_millis == 10_000


def test_extreme_estimates_fit_in_a_message():
    """Guards against a job whose estimate stops its owner."""
    record = record_of(estimate_ms=10**299, tasks=1000)
    queues, services = backlog_of(record)
    message = QueueOutlookNotice(1, 1, services, queues)
    assert unpack(pack(message)) == message
    assert wire_amount(float('inf')) == 2**53
    assert core_ms(-5, 1000) == 0


def test_rejection_survives_its_message():
    rejection = Rejection(1000, 2000, 'service', 2, 32_000)
    message = unpack(pack(rejection.to_notice('job')))
    assert isinstance(message, RejectionNotice)
    assert Rejection.from_notice(message) == rejection
