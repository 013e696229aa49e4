"""How long an owner remembers the ends that it has counted."""

from hyssopring.clock import ManualClock
from hyssopring.jobs.progress_writer import Ack
from hyssopring.jobs.seen_ends import SeenEnds

COUNT = 5000
SHARD = 0


def seen_ends():
    seen = SeenEnds(ManualClock())
    acks = [Ack('agent', 'boot', number) for number in range(COUNT)]
    for ack in acks:
        seen.add(ack, SHARD)
    return seen, acks


def test_ends_that_are_not_durable_are_remembered():
    """Guards against ends of many workers that count again in each report.

    While the store is down, each of ten workers lists 500 ends. An end that
    counted again would break the next run of its gang.
    """
    seen, acks = seen_ends()
    assert all(ack in seen for ack in acks)


def test_memory_of_durable_ends_is_bounded():
    seen, acks = seen_ends()
    seen.mark_durable(acks)
    known = [ack in seen for ack in acks]
    assert known[-1] and not known[0]
    assert sum(known) < COUNT / 2


def test_ends_of_a_lost_shard_are_forgotten():
    seen, acks = seen_ends()
    seen.mark_durable(acks[: COUNT // 2])
    seen.forget(SHARD)
    assert not any(ack in seen for ack in acks)
    seen.add(acks[0], SHARD)
    seen.mark_durable(acks)
    assert acks[0] in seen
