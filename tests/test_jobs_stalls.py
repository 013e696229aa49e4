"""A process that is behind judges nobody by silence."""

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
