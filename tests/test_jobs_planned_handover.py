"""Rolling restarts of entries: a released shard has its next owner at once."""

import pytest

from hyssopring.logs import Event
from standins.jobs.deployment import a_job, settled, starts_of


def stop_owner(deployment):
    """Let the owner release its shard, as before a planned end."""
    owner = deployment.entries[deployment.owner]
    owner.reactor.run(owner.core.release)
    return owner.name


def seconds_without_owner(deployment):
    """Stop the owner; return how long the shard has none."""
    stop_owner(deployment)
    began = deployment.reactor.seconds()
    while not any(
        entry.core.owner.shards.by_shard
        for entry in deployment.entries.values()
    ):
        deployment.run(0.01)
        assert deployment.reactor.seconds() - began < 5
    return deployment.reactor.seconds() - began


@pytest.mark.parametrize('after_s', [0, 0.13, 0.37, 0.5, 0.71, 0.93])
def test_released_shard_is_taken_before_the_next_heartbeat(after_s):
    """Guards against jobs that wait a second at each restart of an owner."""
    deployment = settled()
    deployment.run(after_s)
    assert seconds_without_owner(deployment) <= 0.2
    assert seconds_without_owner(deployment) <= 0.2


def test_job_that_comes_during_a_restart_starts_soon():
    """Guards against small jobs that are late at each restart of an owner."""
    deployment = settled()
    deployment.run(0.2)
    former = stop_owner(deployment)
    job = a_job(steps=((2, ()),))
    entry = next(name for name in deployment.entries if name != former)
    deployment.submit(job, entry)
    deployment.run(0.5)
    assert len(starts_of(deployment, job)) == 2


def test_shard_is_released_and_taken_once(log_lines):
    """Guards against entries that take a released shard from each other."""
    deployment = settled()
    log_lines.clear()
    stop_owner(deployment)
    deployment.run(5)
    acquired = [
        line for line in log_lines if line['event'] is Event.SHARD_ACQUIRED
    ]
    assert len(acquired) == 1
