"""Agents with a grant of a new owner but no report to it.

In all tests the workers' record asserts that no task runs twice.
"""

from twisted.internet.defer import Deferred

from hyssopring.jobs.rows import StoreRefused
from hyssopring.jobs.times import GRANT_EXPIRY_MS
from standins.jobs.deployment import Deployment, a_job, settled
from standins.jobs.rows import RowsClient

FOREVER_MS = 1e9
LATE = 'agent-0'
LINK_S = 0.001
FAR_S = 0.8


def deploy_keepers(workers=3):
    """Return a deployment with a keeper's task on each worker."""
    deployment = settled(
        Deployment(workers=workers, work_ms=lambda task: FOREVER_MS)
    )
    job = a_job(steps=((workers, ()),), is_keeper=True, max_per_worker=2)
    deployment.submit(job)
    deployment.run(1)
    assert all(worker.runs for worker in deployment.workers)
    return deployment


def run_until_loaded(deployment):
    for _step in range(1000):
        deployment.run(0.01)
        for entry in deployment.entries.values():
            for owned in entry.core.owner.shards.by_shard.values():
                if entry.is_alive and owned.is_loaded:
                    return owned
    raise AssertionError('no entry has taken the shard')


def slow_after_first_message():
    """Return delays: only an agent's first message to an entry is fast."""
    met = set()

    def link_s(_now, sender, receiver):
        is_far = sender == LATE and receiver in met
        met.update({receiver} if sender == LATE else ())
        return FAR_S if is_far else LINK_S

    return link_s


def grant_before_report(deployment):
    """Let a new owner grant an agent without a report; return the shard.

    The owner cannot store an expiry, which would prevent the grant, because
    the store does not tell its time.
    """
    deployment.rows.tells_time = False
    deployment.cut_off(LATE)
    name = deployment.owner
    deployment.kill_entry(name)
    deployment.start_entry(name)
    owned = run_until_loaded(deployment)
    deployment.run(0.6)
    deployment.heal(LATE)
    deployment.link_s = slow_after_first_message()
    fleet = deployment.entries[deployment.owner].core.fleet
    for _step in range(400):
        deployment.run(0.01)
        known = fleet.by_agent.get(LATE)
        if known and known.granted_at:
            break
    deployment.run(0.05)
    assert LATE in owned.unreported
    return owned


def test_an_agent_with_a_grant_before_its_first_report_is_waited_for():
    """An agent gets a grant for its first report and is then cut off.

    A wait that counts from the takeover would end while that grant lasts, and
    the agent's task would run a second time.
    """
    deployment = deploy_keepers()
    grant_before_report(deployment)
    deployment.cut_off(LATE)
    deployment.run(GRANT_EXPIRY_MS / 1000 + 12)


def test_a_planned_stop_reports_grants_to_agents_without_a_report():
    """The next owner waits only as long as the former one reports.

    If that were the wait with which the former owner began, the agent's task
    would be started while the former owner's grant lasts.
    """
    deployment = deploy_keepers()
    grant_before_report(deployment)
    deployment.cut_off(LATE)
    entry = deployment.entries[deployment.owner]
    entry.reactor.run(entry.core.release)
    deployment.run(GRANT_EXPIRY_MS / 1000 + 12)


def test_two_planned_stops_in_a_row_keep_all_grants():
    """An agent is cut off; its owner and the next one stop as planned.

    The second owner had no report of the agent and omitted its grant: the
    third owner started the agent's task while it ran.
    """
    deployment = deploy_keepers()
    deployment.run(1)
    deployment.cut_off(LATE)
    for _step in range(2):
        name = deployment.owner
        entry = deployment.entries[name]
        entry.reactor.run(entry.core.release)
        run_until_loaded(deployment)
        deployment.run(0.3)
        deployment.kill_entry(name)
    deployment.run(GRANT_EXPIRY_MS / 1000 + 12)


class RetriedLoad:
    """Lets an owner's first load fail, and delays its second one.

    Attributes:
        is_held: Whether the agents' rows were read for the second time and
            are being delayed.
    """

    def __init__(self, deployment, monkeypatch):
        self.is_held = False
        self._reactor = deployment.reactor
        self._read = RowsClient.read
        self._is_failing = True
        self._has_listed = False
        monkeypatch.setattr(RowsClient, 'read', self._answer())

    def _answer(self):
        def read(client, table, part, first=''):
            if table == 'hs_jobs' and self._is_failing:
                return client._fail(StoreRefused('refused'), 0.05)
            if table == 'hs_agent' and self._has_listed and not self.is_held:
                return self._hold(client._page(table, part, first))
            self._has_listed |= table == 'hs_agent'
            return self._read(client, table, part, first)

        return read

    def _hold(self, page):
        self.is_held = True
        self._is_failing = False
        delayed = Deferred()
        self._reactor.callLater(0.8, delayed.callback, page)
        return delayed


def test_a_retried_load_does_not_restore_an_agent_s_expiry(monkeypatch):
    """The expiry in an agent's row is removed between two loads.

    The rows of the second load were read before that. If they were used, the
    next owner would rely on the old expiry, and the agent's task would run
    twice.
    """
    deployment = deploy_keepers()
    deployment.cut_off(LATE)
    deployment.run(6)
    name = deployment.owner
    load = RetriedLoad(deployment, monkeypatch)
    deployment.kill_entry(name)
    deployment.start_entry(name)
    for _step in range(500):
        deployment.run(0.01)
        if load.is_held:
            break
    deployment.heal(LATE)
    fleet = deployment.entries[name].core.fleet
    for _step in range(100):
        deployment.run(0.01)
        known = fleet.by_agent.get(LATE)
        if known and known.granted_at:
            break
    deployment.run(0.03)
    deployment.cut_off(LATE)
    owned = run_until_loaded(deployment)
    assert owned.roster.grant_expires_at(LATE) is None
    deployment.run(GRANT_EXPIRY_MS / 1000 + 10)
