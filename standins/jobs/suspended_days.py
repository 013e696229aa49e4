"""Fault schedules with owners that are suspended and resume.

A suspended owner loses its shard and may act for some more seconds when it
resumes. Other faults keep it from finding that out: a store that refuses it or
is slow, and agents that its successor does not reach.
"""

import itertools

from hyssopring.logs import _emit, listen_to_events
from standins.jobs.held_links import HeldLinks
from standins.jobs.outage_days import CutVmDay
from standins.jobs.overlaps import Overlaps

SERIES = 4
WORKERS = 5
QUIET_S = 60
CHECK_S = 0.05
CHECKS_PER_TICK = 4
FAULT_EACH_S = 5
# A connection without messages is closed after this time.
SILENT_S = 2
# An owner counts an attempt as lapsed so long after its last grant.
LAPSE_S = 8.36
# Entries take over the shards of another one after this time.
TAKEOVER_S = 3
LONGEST_S = 12
LONG_WORKS_MS = (2500, 6000, 12_000)


class SuspendedDay(CutVmDay):
    """Series of suspended owners and agents, and other faults beside them.

    Attributes:
        overlaps: What former owners do beside their successors.
        suspensions_s: How long each suspension of an entry lasts.
    """

    job_each_s = 0.8

    def __init__(self, seed, series=SERIES, workers=WORKERS):
        self.suspensions_s = []
        self._series = series
        self._long_works = {}
        self._blocked_until = {}
        super().__init__(seed, workers)
        self.links = HeldLinks(self.chances, self._now, self._process)
        self.deployment.link_s = self.links
        self.overlaps = Overlaps(self.deployment)

    @property
    def counts(self):
        """What the day has shown, by name."""
        return {
            'overlaps': self.overlaps.count,
            'overlap_s': round(self.overlaps.seconds, 1),
            'suspensions': len(self.suspensions_s),
            'past_takeover': self._count_over(TAKEOVER_S),
            'past_lapse': self._count_over(LAPSE_S),
            'restarts': self.overlaps.restarts,
            'given_up': self.overlaps.reasons.total(),
            'given_up_by_former': self.overlaps.by_former,
        }

    def play(self):
        """Run the schedule and a quiet period; return lines of violations."""
        listen_to_events(self.overlaps.record_event)
        try:
            return self._play()
        finally:
            _emit._listeners.remove(self.overlaps.record_event)

    def _play(self):
        self.deployment.run(3)
        self._pass(self.random.uniform(4, 7))
        for _each in range(self._series):
            self._begin_series()
            self._pass(self.random.uniform(13, 20), FAULT_EACH_S)
        self._heal()
        self._pass(QUIET_S, has_jobs=False)
        return [*self.watch.missed, *self._left()]

    def _count_over(self, seconds):
        return sum(each > seconds for each in self.suspensions_s)

    def _tick(self):
        for _each in range(CHECKS_PER_TICK):
            self.deployment.run(CHECK_S)
            self.overlaps.check()
        self.watch.check(self._live_keepers())
        self.calm.check()

    def _work_ms(self, task):
        usual_ms = super()._work_ms(task)
        job_id, _occurrence, step, _index = task.split('.')
        is_gang = self.jobs[job_id].steps[int(step)].is_gang
        if is_gang or usual_ms < LONG_WORKS_MS[0]:
            return usual_ms
        drawn_ms = max(usual_ms, self.chances.choice(LONG_WORKS_MS))
        return self._long_works.setdefault(task, drawn_ms)

    def _process(self, name):
        deployment = self.deployment
        return deployment.entries.get(name) or deployment.agents[name]

    def _kinds(self):
        kinds = super()._kinds()
        if self.random.random() < 0.5:
            return kinds
        return [
            self._freeze_entry,
            self._freeze_agent,
            self._cut_one_pair,
            self._cut_one_way,
            self._restart_agent,
            self._leave_and_return,
            self._shun,
            self._slow_store,
        ]

    def _begin_series(self):
        """Suspend the owner, with faults of the store, agents and entries."""
        owner = self._owner()
        seconds = self._draw_suspension_s()
        begins = self.random.uniform(0, 1)
        self._later(begins, begins, self._suspend_entry, owner, seconds)
        resumes = begins + seconds
        self._disturb_store(owner, resumes)
        names = self._live_agents()
        count = min(len(names), self.random.randint(1, 3))
        disturbed = self.random.sample(names, count)
        for name in disturbed:
            self._disturb_agent(name, owner, resumes)
        if self.random.random() < 0.7:
            for name in sorted(set(names).difference(disturbed)):
                self._cut_from_former(name, owner, resumes)
        if self.random.random() < 0.3:
            self._later(4, resumes + 5, self._lose_one_owner)

    def _draw_suspension_s(self):
        if self.random.random() < 0.75:
            return self.random.uniform(5.5, 9)
        return self.random.uniform(1, LONGEST_S)

    def _disturb_store(self, owner, resumes):
        """Keep the owner from the store about the time when it resumes."""
        entry = self.deployment.entries[owner]
        if self.random.random() < 0.8:
            entry.has_peers = False
            away_s = resumes + self.random.uniform(1, 12)
            self._later(away_s, away_s, setattr, entry, 'has_peers', True)
        faults = [
            (self._refuse, owner),
            (self._refuse, owner),
            (self._refuse, owner),
            (self._store_down,),
            (self._store_silent,),
            (self._slow_store,),
            (self._lose_commits,),
        ]
        for fault in self.random.sample(faults, self.random.randint(1, 2)):
            self._later(max(0, resumes - 1), resumes + 0.1, *fault)

    def _refuse(self, name):
        rejected = self.deployment.rows.rejected_clients
        rejected.add(name)
        self._later(1, 9, rejected.discard, name)

    def _disturb_agent(self, name, owner, seconds):
        """Keep an agent from hearing of the owner's successor."""
        fault = self.random.choice(
            [
                self._suspend_too,
                self._cut_from_successors,
                self._cut_from_successors,
                self._restart_late,
                self._leave_and_return,
            ]
        )
        self._note(fault, name, owner)
        if fault == self._leave_and_return:
            self._later(0, seconds + 2, self._leave_and_return, name)
        else:
            fault(name, owner, seconds)

    def _suspend_too(self, name, _owner, seconds):
        """Suspend an agent with the owner; it resumes about when that does."""
        agent_s = max(1, seconds + self.random.uniform(-1.5, 3))
        self._later(0, 1, self._suspend, self.deployment.agents[name], agent_s)

    def _cut_from_successors(self, name, owner, seconds):
        """Cut an agent off from all entries but the owner."""
        away_s = seconds + self.random.uniform(2, 15)
        is_one_way = self.random.random() < 0.4
        for other in self.deployment.entries:
            if other == owner:
                continue
            if is_one_way:
                pair = self.random.choice([(name, other), (other, name)])
                self._later(0, 1, self._hold, *pair, away_s)
            else:
                self._later(0, 3.5, self._cut_pair, name, other, away_s)
        if self.random.random() < 0.5:
            self._later(0, 1, self._cut_pair, name, owner, seconds)

    def _cut_from_former(self, name, owner, resumes):
        """Cut an agent off from the owner, which hears of no successor."""
        away_s = resumes + self.random.uniform(0.5, 8)
        self._later(0, 1, self._cut_pair, name, owner, away_s)

    def _restart_late(self, name, owner, seconds):
        """Restart an agent that then reaches the former owner only."""
        self._later(seconds - 1, seconds + 3, self._restart_agent, name)
        away_s = self.random.uniform(3, 15)
        for other in self.deployment.entries:
            if other != owner:
                at = max(0, seconds - 0.5)
                self._later(
                    at, seconds + 3, self._cut_pair, name, other, away_s
                )

    def _freeze_entry(self):
        name = self.random.choice(list(self.deployment.entries))
        self._suspend_entry(name, self.random.uniform(1, LONGEST_S))

    def _freeze_agent(self):
        name = self.random.choice(list(self.deployment.agents))
        seconds = self.random.uniform(1, LONGEST_S)
        self._suspend(self.deployment.agents[name], seconds)

    def _lose_one_owner(self):
        if self.random.random() < 0.5:
            self._suspend_entry(self._owner(), self._draw_suspension_s())
        else:
            super()._lose_one_owner()

    def _suspend_entry(self, name, seconds):
        entry = self.deployment.entries[name]
        if not entry.is_alive:
            return
        self._note(self._suspend_entry, name, round(seconds, 2))
        self.suspensions_s.append(seconds)
        self._suspend(entry, seconds)

    def _suspend(self, process, seconds):
        """Suspend a process, perhaps in the middle of its next step.

        Its connections may be closed as silent meanwhile.
        """
        if self.random.random() < 0.3:
            self.links.in_step[process.name] = seconds
        else:
            process.thaws_at = self._now() + seconds
        if seconds > SILENT_S and self.random.random() < 0.5:
            at = SILENT_S + 0.1
            self._later(at, at, self._time_out_links, process, seconds - at)

    def _time_out_links(self, process, away_s):
        for pair in [
            pair for pair in self.deployment.links if process.name in pair
        ]:
            self._time_out_link(pair, away_s)

    def _time_out_link(self, pair, away_s):
        self.deployment.time_out(*pair)
        self.deployment.blocked.add(pair)
        until = max(self._now() + away_s, self._blocked_until.get(pair, 0))
        self._blocked_until[pair] = until
        # How many connections there are depends on the code under test.
        self.deployment.reactor.callLater(away_s, self._unblock, pair)

    def _unblock(self, pair):
        if self._blocked_until[pair] <= self._now():
            self.deployment.blocked.discard(pair)

    def _cut_one_pair(self):
        name = self.random.choice(list(self.deployment.agents))
        entry = self.random.choice(list(self.deployment.entries))
        self._cut_pair(name, entry, self.random.uniform(1, LONGEST_S))

    def _cut_pair(self, name, entry, away_s):
        """Cut a connection; the processes find it silent after a while."""
        pair = (name, entry)
        until = self._now() + away_s
        for sender, receiver in (pair, pair[::-1]):
            self.links.hold(sender, receiver, until)
        if away_s > SILENT_S:
            left_s = away_s - SILENT_S
            self._later(SILENT_S, SILENT_S, self._time_out_link, pair, left_s)

    def _cut_one_way(self):
        name = self.random.choice(list(self.deployment.agents))
        entry = self.random.choice(list(self.deployment.entries))
        pair = self.random.choice([(name, entry), (entry, name)])
        self._hold(*pair, self.random.uniform(0.5, LONGEST_S))

    def _hold(self, sender, receiver, away_s):
        """Hold messages of one direction; the connection may be closed."""
        self.links.hold(sender, receiver, self._now() + away_s)
        if away_s > SILENT_S and self.random.random() < 0.5:
            pair = (sender, receiver)
            if sender in self.deployment.entries:
                pair = (receiver, sender)
            left_s = away_s - SILENT_S
            self._later(SILENT_S, SILENT_S, self._time_out_link, pair, left_s)

    def _restart_agent(self, name=None):
        name = name or self.random.choice(list(self.deployment.agents))
        if self.deployment.agents[name].is_alive:
            self.deployment.kill_agent(name)
            self._later(0.1, 3, self._agent_back, name)

    def _leave_and_return(self, name=None):
        """Let a VM leave gracefully; another one returns under its name."""
        name = name or self.random.choice(list(self.deployment.agents))
        agent = self.deployment.agents[name]
        if not agent.is_alive or name in self.leaving:
            return
        self.leaving.add(name)
        notice_s = self.random.uniform(1, 6)
        agent.worker.is_leaving = True
        agent.worker.leaves_at = self._now() + notice_s
        self._later(0.3, notice_s, agent.worker.stop_all)
        self._later(0.3, notice_s, self._stop_agent, agent)
        self._later(notice_s, notice_s, self._return, name)

    def _stop_agent(self, agent):
        if agent.is_alive:
            agent.reactor.run(self.deployment.stop_agent, agent.name)

    def _return(self, name):
        self.leaving.discard(name)
        worker = self.deployment.agents[name].worker
        worker.is_leaving = False
        worker.leaves_at = None
        worker.go_down(self.random.uniform(0.5, 3))
        if self.deployment.agents[name].is_alive:
            self.deployment.kill_agent(name)
        self._later(0.5, 4, self._agent_back, name)

    def _heal(self):
        agents, entries = self.deployment.agents, self.deployment.entries
        for pair in itertools.product(agents, entries):
            if self.links.is_held(*pair):
                self.deployment.time_out(*pair)
                self.links.reopen(*pair)
        super()._heal()
        self.deployment.blocked.clear()
        for entry in self.deployment.entries.values():
            entry.has_peers = True
