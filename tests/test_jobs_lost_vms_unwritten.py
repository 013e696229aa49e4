"""Lost VMs whose rows nobody had time to write, and the keepers' rule."""

from standins.jobs.deployment import Deployment, a_job, settled
from standins.jobs.lasting_rule import LastingRule

FOREVER_MS = 1e9
LOST_NUMBER = 0
LOST = 'agent-0'
POWER_OUTAGE_S = 1.0
LEFT_S = 0.5
WATCHED_S = 25


def deploy_keepers():
    """Return a deployment of keepers, and their rule."""
    deployment = settled(Deployment(work_ms=lambda task: FOREVER_MS))
    job = a_job(steps=((8, ()),), is_keeper=True)
    deployment.submit(job)
    rule = LastingRule(deployment, [job])
    rule.run(5)
    return deployment, rule


def lose_worker(worker):
    worker.crash()
    worker.is_unresponsive = True


def lose_vm(deployment):
    lose_worker(deployment.workers[LOST_NUMBER])
    deployment.kill_agent(LOST)


def lose_power(deployment, rule):
    """Lose all power; one VM stays away."""
    for name in deployment.entries:
        deployment.kill_entry(name)
        deployment.reactor.callLater(
            POWER_OUTAGE_S, deployment.start_entry, name
        )
    lose_vm(deployment)
    for number, worker in enumerate(deployment.workers):
        if number != LOST_NUMBER:
            lose_worker(worker)
            deployment.kill_agent(f'agent-{number}')
            deployment.reactor.callLater(
                POWER_OUTAGE_S, power_up, deployment, number
            )
    rule.disturb(POWER_OUTAGE_S)


def power_up(deployment, number):
    worker = deployment.workers[number]
    worker.is_unresponsive = False
    deployment.start_agent(f'agent-{number}', worker)


def lose_owner(deployment, rule):
    """Lose a VM and the owner's VM; both stay away."""
    lose_vm(deployment)
    deployment.kill_entry(deployment.owner)
    rule.disturb()


def leave_without_store(deployment, rule):
    """Remove a VM as planned while the store fails; then lose all entries."""
    deployment.rows.is_down = True
    worker = deployment.workers[LOST_NUMBER]
    worker.is_leaving = True
    deployment.agents[LOST].beat()
    deployment.run(LEFT_S)
    worker.crash()
    worker.is_unresponsive = True
    deployment.stop_agent(LOST)
    deployment.run(LEFT_S)
    for name in deployment.entries:
        deployment.kill_entry(name)
        deployment.start_entry(name)
    deployment.rows.is_down = False
    rule.disturb()


def test_a_lost_vm_whose_row_nobody_wrote_delays_no_keeper():
    """Guards against waits for grants of which no row tells the end."""
    longest_s_by_case = {}
    for case in (lose_power, lose_owner, leave_without_store):
        deployment, rule = deploy_keepers()
        case(deployment, rule)
        rule.run(WATCHED_S)
        if rule.lost:
            longest_s_by_case[case.__name__] = rule.longest_s
    assert not longest_s_by_case
