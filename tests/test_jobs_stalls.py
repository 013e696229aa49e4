"""A stalled process applies no timeouts to its peers."""

from hyssopring.clock import ManualClock
from hyssopring.jobs.stall_detector import StallDetector
from standins.jobs.deployment import a_job, settled, starts_of


def test_a_stalled_owner_reads_reports_before_it_counts_tasks_as_lapsed():
    """An owner stalls for 8.7 s, while tasks end and are reported.

    If it counted the attempts as lapsed before reading the reports in its
    connections, it would start completed tasks again.
    """
    deployment = settled(entries=1, work_ms=lambda task: 4000)
    job = a_job(steps=((5, ()),))
    deployment.submit(job)
    deployment.run(1)
    owner = deployment.entries['entry-0']
    first = starts_of(deployment, job)[0][1].replace('worker', 'agent')
    unread = []
    take = owner.take

    def read_others_first(message, sender):
        if sender == first:
            unread.append((message, sender))
        else:
            take(message, sender)

    owner.take = read_others_first
    owner.thaws_at = deployment.reactor.seconds() + 8.7
    deployment.run(9)
    for message, sender in unread:
        take(message, sender)
    owner.take = take
    deployment.run(3)
    assert len(starts_of(deployment, job)) == 5


def record_ticks(clock, detector, *gaps_ms):
    """Return the detector's answers at ticks that are these gaps apart."""
    answers = []
    for gap_ms in gaps_ms:
        clock.advance(gap_ms)
        answers.append(detector.record_tick())
    return answers


def test_timeouts_apply_again_after_ticks_on_time():
    """Messages received during a stall must be read before timeouts apply."""
    clock = ManualClock(0)
    detector = StallDetector(clock)
    assert record_ticks(clock, detector, 200, 900) == [True, False]
    assert record_ticks(clock, detector, 200, 200, 200) == [False, False, True]
    assert record_ticks(clock, detector, 900, 200, 900) == [False, False, False]
    assert record_ticks(clock, detector, 200, 200, 200) == [False, False, True]


def test_timeouts_apply_in_a_process_that_stalls_repeatedly():
    """Guards against a lost VM whose tasks never start elsewhere."""
    clock = ManualClock(0)
    detector = StallDetector(clock)
    answers = record_ticks(clock, detector, *(20 * [700, 200]))
    assert not any(answers[:4])
    assert sum(answers) >= 4
    assert not any(answers[::2])
