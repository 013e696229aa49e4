"""A release that replaces VMs while entries are stopped and started again."""

import random
from dataclasses import dataclass

from hyssopring.jobs.model import AttemptEnd
from standins.jobs.deployment import Deployment, a_job, settled
from standins.jobs.lasting_rule import LastingRule

FOREVER_MS = 1e9
VMS = 11
TASKS = 16
REPLACED = 6
RELEASE_GAP_S = 0.7
# A leaving worker stops its runs, and its agent is stopped, so long after the
# worker has announced that it leaves.
RUNS_STOP_S = 1.5
AGENT_STOPS_S = 4.5
# A worker is gone once its agent has had its whole grace period.
WORKER_GONE_S = 11
# How long a stopping entry runs after it has released its shards.
LINGER_S = 3


@dataclass(frozen=True)
class EntryStops:
    """Planned stops of all entries, one after the other.

    Attributes:
        begins_s: When the first one stops, after the release has begun.
        gap_s: The time between the stops of two entries.
        away_s: How long each of them is away.
        is_killed: Whether they are killed without notice.
    """

    begins_s: float
    gap_s: float
    away_s: float
    is_killed: bool = False


@dataclass(frozen=True)
class StoreOutage:
    """A store that refuses all calls, from a time after the release begins."""

    begins_s: float
    lasts_s: float


class RollingRelease:
    """Replaces VMs of keepers one by one beside stops of the entries.

    Attributes:
        deployment: The entries and VMs.
        rule: The rule that each keeper must run again in time.
    """

    def __init__(self, stops, outage=None, agent_stops_s=AGENT_STOPS_S):
        self._agent_stops_s = agent_stops_s
        self.deployment = settled(
            Deployment(workers=VMS, work_ms=lambda task: FOREVER_MS)
        )
        job = a_job(steps=((TASKS, ()),), is_keeper=True)
        self.deployment.submit(job)
        self.rule = LastingRule(self.deployment, [job])
        self.rule.run(5)
        for number in range(REPLACED):
            self._later(number * RELEASE_GAP_S, self._replace_vm, number)
        for number, name in enumerate(self.deployment.entries):
            at_s = stops.begins_s + number * stops.gap_s
            self._later(at_s, self._stop_entry, name, stops)
        if outage is not None:
            self._later(outage.begins_s, self._set_store_down, True)
            ends_s = outage.begins_s + outage.lasts_s
            self._later(ends_s, self._set_store_down, False)

    def _later(self, delay_s, action, *given):
        self.deployment.reactor.callLater(delay_s, action, *given)

    def _replace_vm(self, number):
        self.deployment.add_vm(f'new-{number}')
        worker = self.deployment.workers[number]
        worker.is_leaving = True
        self.deployment.agents[f'agent-{number}'].beat()
        self._later(RUNS_STOP_S, self._stop_runs, worker)
        self._later(
            self._agent_stops_s, self.deployment.stop_agent, f'agent-{number}'
        )
        self._later(WORKER_GONE_S, self._remove_worker, worker)

    def _stop_runs(self, worker):
        for run in list(worker.runs.values()):
            worker.end(run, AttemptEnd.STOPPED)

    def _remove_worker(self, worker):
        worker.crash()
        worker.is_unresponsive = True

    def _set_store_down(self, is_down):
        self.rule.disturb()
        self.deployment.rows.is_down = is_down

    def _stop_entry(self, name, stops):
        entry = self.deployment.entries[name]
        if stops.is_killed:
            self._end_entry(name, stops)
            return
        entry.reactor.run(entry.core.release)
        self._later(LINGER_S, self._end_entry, name, stops)

    def _end_entry(self, name, stops):
        self.rule.disturb()
        self.deployment.kill_entry(name)
        self._later(stops.away_s, self._start_entry, name)

    def _start_entry(self, name):
        self.rule.disturb()
        self.deployment.start_entry(name)


def draw_release(seed):
    """Return a release with stops and outages drawn by a seed."""
    rng = random.Random(f'release {seed}')
    stops = EntryStops(
        rng.uniform(0, 8),
        rng.choice([0.2, 0.5, 1, 1.5, 2]),
        rng.uniform(1, 4),
        is_killed=rng.random() < 0.3,
    )
    outage = None
    if rng.random() < 0.25:
        outage = StoreOutage(rng.uniform(0, 8), rng.uniform(1, 5))
    return RollingRelease(stops, outage, rng.uniform(2, 5))
