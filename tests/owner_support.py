"""A deployment of three workers whose owner is to be followed."""

from standins.jobs.deployment import Deployment, a_job, settled

LONG_MS = 90_000
STEP_S = 0.01
PATIENCE = 2000


def three(entries=2):
    """Three workers, the owner, and an entry that is to take over."""
    deployment = settled(
        Deployment(workers=3, entries=entries, work_ms=lambda task: LONG_MS)
    )
    former = deployment.entries[deployment.owner]
    others = [
        entry for entry in deployment.entries.values() if entry is not former
    ]
    return deployment, former, others


def busy(deployment):
    """The number of a worker that runs something."""
    return next(
        number for number, each in enumerate(deployment.workers) if each.runs
    )


def idle(deployment):
    """The number of a worker that runs nothing."""
    return next(
        number
        for number, each in enumerate(deployment.workers)
        if not each.runs
    )


def run_until_taken(deployment, entries):
    """Go on until one of the entries owns the shard, and return it."""
    for _each in range(PATIENCE):
        for entry in entries:
            if entry.core.owner.shards.by_shard:
                return entry
        deployment.run(STEP_S)
    raise AssertionError('nobody has taken the shard')


def silence(entry):
    """The entry's row is not renewed any more; it goes on otherwise."""
    entry.membership.renew = lambda: None


def start_one(deployment, entry, count=1):
    job = a_job(steps=((count, ()),), max_per_worker=1)
    deployment.submit(job, entry.name)
    deployment.run(1)
    return job
