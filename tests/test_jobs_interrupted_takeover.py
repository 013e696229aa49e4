"""An entry that is stopped while it takes over a shard."""

from hyssopring.jobs.documents import OwnerRow
from hyssopring.jobs.row_keys import owner_key
from standins.jobs.deployment import a_job, settled, starts_of
from standins.jobs.rows import no_pauses

# From the store's commit until its answer arrives.
ANSWER_DELAY_S = 0.1
# A stopped entry drains for this long.
DRAIN_S = 3


def _stop(entry):
    entry.reactor.run(entry.core.release)


def _run_until_taken(deployment, former):
    """Run until the owner row names a successor; return that entry."""
    for _step in range(500):
        deployment.run(deployment.step_s)
        row = deployment.rows.rows[owner_key(0)]
        successor = OwnerRow.from_row(row).entry_id
        if successor not in {'', former}:
            return deployment.entries[successor]
    raise AssertionError('no entry took the shard')


def test_an_entry_stopped_during_its_takeover_releases_the_shard():
    """Guards against an owner row that names an entry that plans nothing."""
    deployment = settled(workers=5, work_ms=lambda task: 10**9)
    job = a_job(steps=((5, ()),), is_keeper=True)
    deployment.submit(job)
    deployment.run(8)
    former = deployment.owner
    deployment.rows.pauses = lambda: (0, ANSWER_DELAY_S)
    _stop(deployment.entries[former])
    successor = _run_until_taken(deployment, former)
    assert not successor.core.owner.shards.by_shard
    _stop(successor)
    deployment.rows.pauses = no_pauses
    busy = next(worker for worker in deployment.workers if worker.runs)
    started = len(starts_of(deployment, job))
    busy.fail_all()
    deployment.run(DRAIN_S)
    assert len(starts_of(deployment, job)) > started
    assert deployment.owner not in {former, successor.name}
