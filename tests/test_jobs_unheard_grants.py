"""Agents that a new owner has granted, and that it has not heard.

The workers' book asserts all the while that no task runs twice.
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


def lasting(workers=3):
    """One lasting task on each worker."""
    deployment = settled(
        Deployment(workers=workers, work_ms=lambda task: FOREVER_MS)
    )
    job = a_job(steps=((workers, ()),), is_keeper=True, max_per_worker=2)
    deployment.submit(job)
    deployment.run(1)
    assert all(worker.runs for worker in deployment.workers)
    return deployment


def run_until_loaded(deployment):
    for _each in range(1000):
        deployment.run(0.01)
        for entry in deployment.entries.values():
            for owned in entry.core.owner.shards.by_shard.values():
                if entry.is_alive and owned.is_loaded:
                    return owned
    raise AssertionError('nobody has taken the shard')


def far_after_first():
    """The agent's first message to each entry is quick, the next ones not."""
    met = set()

    def link_s(_now, sender, receiver):
        is_far = sender == LATE and receiver in met
        met.update({receiver} if sender == LATE else ())
        return FAR_S if is_far else LINK_S

    return link_s


def granted_unheard(deployment):
    """Let a new owner grant an agent that it has not heard; return it."""
    deployment.cut_off(LATE)
    name = deployment.owner
    deployment.kill_entry(name)
    deployment.start_entry(name)
    owned = run_until_loaded(deployment)
    deployment.run(0.6)
    deployment.heal(LATE)
    deployment.link_s = far_after_first()
    fleet = deployment.entries[deployment.owner].core.fleet
    for _each in range(400):
        deployment.run(0.01)
        known = fleet.by_agent.get(LATE)
        if known and known.granted_at:
            break
    deployment.run(0.05)
    assert LATE in owned.unreported
    return owned


def test_an_agent_that_was_granted_before_it_was_heard_is_waited_for():
    """An agent is granted for its first report and cut off before the next.

    A wait that counts from the takeover ends while that grant lasts, and the
    agent's task runs a second time.
    """
    deployment = lasting()
    granted_unheard(deployment)
    deployment.cut_off(LATE)
    deployment.run(GRANT_EXPIRY_MS / 1000 + 12)


def test_a_planned_stop_tells_of_grants_to_agents_that_were_not_heard():
    """The next owner waits no longer than a former one says that it must.

    Told only of the wait that the former owner itself began with, it would
    start the agent's task while the former owner's grant lasts.
    """
    deployment = lasting()
    granted_unheard(deployment)
    deployment.cut_off(LATE)
    entry = deployment.entries[deployment.owner]
    entry.reactor.run(entry.core.release)
    deployment.run(GRANT_EXPIRY_MS / 1000 + 12)


def test_two_planned_stops_in_a_row_forget_no_grant():
    """An agent is cut off; its owner stops, and then the next one, as planned.

    The second had not heard the agent and told nothing of its grant: the third
    owner started the agent's task while it ran.
    """
    deployment = lasting()
    deployment.run(1)
    deployment.cut_off(LATE)
    for _each in range(2):
        name = deployment.owner
        entry = deployment.entries[name]
        entry.reactor.run(entry.core.release)
        run_until_loaded(deployment)
        deployment.run(0.3)
        deployment.kill_entry(name)
    deployment.run(GRANT_EXPIRY_MS / 1000 + 12)


class RetriedLoad:
    """The store of an owner whose first load fails, and whose second is slow.

    Attributes:
        is_held: The agents' rows are read for the second time, and are told
            some time later.
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
        told = Deferred()
        self._reactor.callLater(0.8, told.callback, page)
        return told


def test_a_retried_load_does_not_bring_back_an_agent_s_absence(monkeypatch):
    """An agent's row is taken back, and it is granted, between two loads.

    The rows of the second load were read before. Taken over, they say until
    when an earlier owner had granted the agent, and its task runs twice.
    """
    deployment = lasting()
    deployment.cut_off(LATE)
    deployment.run(6)
    name = deployment.owner
    load = RetriedLoad(deployment, monkeypatch)
    deployment.kill_entry(name)
    deployment.start_entry(name)
    for _each in range(500):
        deployment.run(0.01)
        if load.is_held:
            break
    deployment.heal(LATE)
    fleet = deployment.entries[name].core.fleet
    for _each in range(100):
        deployment.run(0.01)
        known = fleet.by_agent.get(LATE)
        if known and known.granted_at:
            break
    deployment.run(0.03)
    deployment.cut_off(LATE)
    owned = run_until_loaded(deployment)
    assert owned.roster.grant_expires_at(LATE) is None
    deployment.run(GRANT_EXPIRY_MS / 1000 + 10)
