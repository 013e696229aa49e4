"""A deployment in three availability zones whose operator evacuates some."""

from hyssopring.jobs.rows import RowKey, RowPut, Transaction
from hyssopring.logs import Event
from standins.jobs.deployment import Deployment, a_job, settled

ZONES = ('zone-a', 'zone-b', 'zone-c')
# Time after the store's response within which an evacuation is in force.
BOUND_S = 5.0
CONFIGURATION = '{"version": 1, "routes": []}'


def row_key(zone):
    return RowKey('op', '', f'evacuate/{zone}')


def evacuate(deployment, *zones, text='{}'):
    puts = tuple(RowPut(row_key(zone), text) for zone in zones)
    deployment.rows.apply(Transaction(puts=puts))


def end_evacuation(deployment, *zones):
    removals = tuple(row_key(zone) for zone in zones)
    deployment.rows.apply(Transaction(removals=removals))


def zoned(workers=6, **options):
    deployment = Deployment(workers=workers, zones=ZONES, **options)
    configuration = RowPut(RowKey('op', '', 'config'), CONFIGURATION)
    deployment.rows.apply(Transaction(puts=(configuration,)))
    return settled(deployment)


def starts_in(deployment, zones, since_s=0.0):
    """Return the starts on the workers of some zones, from a time on."""
    return [
        start
        for start in deployment.run_recorder.starts
        if start[0] >= since_s
        and deployment.zone_by_agent[start[1].replace('worker', 'agent')]
        in zones
    ]


def submit_jobs(deployment, numbers, **changes):
    entry = next(
        name for name, entry in deployment.entries.items() if entry.is_alive
    )
    for number in numbers:
        deployment.submit(a_job(number, ((6, ()),), **changes), entry)


def now_s(deployment):
    return deployment.reactor.seconds()


def refusals(log_lines):
    return [line for line in log_lines if line['event'] is Event.TASK_REFUSED]
