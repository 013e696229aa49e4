"""A process that is behind judges nobody by silence."""

from hyssopring.clock import ManualClock
from hyssopring.jobs.stall_detector import StallDetector
from standins.jobs.deployment import a_job, settled, starts_of


def test_an_owner_that_was_behind_counts_no_task_as_lapsed_at_once():
    """An owner is busy for 8.7 seconds, while tasks end and are reported.

    The reports lie unread in its connections. It counted the attempts as
    lapsed before it read them, and started tasks again that were done.
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


def turns(clock, watch, *gaps_ms):
    """Whether the watch judges at each of some turns."""
    told = []
    for gap_ms in gaps_ms:
        clock.advance(gap_ms)
        told.append(watch.record_tick())
    return told


def test_a_process_judges_again_after_turns_in_time():
    """What came during a stall must have been read before silence counts."""
    clock = ManualClock(0)
    watch = StallDetector(clock)
    assert turns(clock, watch, 200, 900) == [True, False]
    assert turns(clock, watch, 200, 200, 200) == [False, False, True]
    assert turns(clock, watch, 900, 200, 900) == [False, False, False]
    assert turns(clock, watch, 200, 200, 200) == [False, False, True]


def test_a_process_that_is_late_again_and_again_judges_all_the_same():
    """It never gave a lost VM up, and all earlier jobs waited for that one."""
    clock = ManualClock(0)
    watch = StallDetector(clock)
    told = turns(clock, watch, *(20 * [700, 200]))
    assert not any(told[:4])
    assert sum(told) >= 4
    assert not any(told[::2])
