"""Fault schedules at size with clock steps, late orders and rolling restarts.

Each VM has a time of day of its own, which steps while agents are restarted and
their last orders are carried out late. Entries and agents are restarted in
turn, the store is away for longer than any lease, and messages between entries
come seconds late.
"""

import itertools
from collections import Counter

from hyssopring.jobs.model import Queue, Job, Step
from hyssopring.logs import Event, _emit, listen_to_events
from standins.jobs.rolling_days import SIZE
from standins.jobs.suspended_days import CHECK_S, SuspendedDay

QUIET_S = 40
SERIES = 4
# The largest difference of two VMs' times of day without a step.
DIFFERENCE_MS = 200
STEPS_MS = (-2000, -2400, -3000, 2000, 2400, 3000)
# How much longer than an answer takes an order may be late.
LATE_S = (2, 6)
LATEST_S = 12
# How long an agent waits for such an order at most, before it is restarted.
WAIT_S = 4
# An outage of the store after which unknown jobs count as absent.
LONG_OUTAGE_S = (13, 24)
# The share of agents or workers that a fault concerns.
SHARES = (0.1, 0.3, 0.6)
# The number of agents beyond which a roster takes several transactions.
LARGE = 45


class SkewedDay(SuspendedDay):
    """Suspended owners at size, beside steps of the time of day.

    Attributes:
        counted: What the day has had, by name.
    """

    fault_each_s = 1.2
    # The share of series that begin with a suspended owner.
    suspended_part = 0.5

    def __init__(
        self,
        seed,
        workers=8,
        entries=4,
        series=SERIES,
        has_clock_steps=True,
    ):
        self.entries = entries
        self._has_clock_steps = has_clock_steps
        self.counted = Counter()
        self._ahead_ms = {}
        self._workers = workers
        self.job_each_s = 0.8 if workers < LARGE else 0.4
        super().__init__(seed, series, workers)
        for name in (*self.deployment.entries, *self.deployment.agents):
            self._set_skew(name)
        for worker in self.deployment.workers:
            self._prepare(worker)

    @property
    def counts(self):
        """What the day has shown, by name."""
        recorder = self.deployment.run_recorder
        workers = self.deployment.workers
        return {
            **super().counts,
            **self.counted,
            'starts': len(recorder.starts),
            'late_calls': sum(each.late_call_count for each in workers),
            'late_starts': sum(each.late_start_count for each in workers),
        }

    def play(self):
        """Run the schedule and a quiet period; return lines of violations."""
        listen_to_events(self._record_event)
        try:
            return super().play()
        finally:
            _emit._listeners.remove(self._record_event)

    def _play(self):
        self.deployment.run(3)
        self._pass(self.random.uniform(4, 7))
        for _each in range(self._series):
            if self.random.random() < self.suspended_part:
                self._begin_series()
            self._pass(self.random.uniform(13, 20), self.fault_each_s)
        self._heal()
        self._pass(QUIET_S, has_jobs=False)
        return [*self.watch.missed, *self._left()]

    def _record_event(self, event, fields):
        if event in {Event.SHARD_ACQUIRED, Event.SHARD_LOST}:
            self.counted[event.name.lower()] += 1

    def _kinds(self):
        if self.random.random() < 0.3:
            return super()._kinds()
        return [
            self._step_clocks,
            self._restart_with_late_orders,
            self._restart_with_late_orders,
            self._lose_answers,
            self._restart_agents_in_turn,
            self._restart_entries_in_turn,
            self._delay_entries,
            self._lose_store_for_long,
            self._refuse_owner,
            self._power_off,
        ]

    def _job(self, *steps):
        queue = Queue('queue', 'service', 0, 6, 2, 1000)
        return Job(f'{self.number:016x}', queue, 'x', steps)

    def _draw_step(self, number):
        after = (number - 1,) if number else ()
        if self.random.random() < 0.2:
            count = self.random.randint(2, 4)
            return Step(count, SIZE, 1000, after, is_gang=True)
        most = max(5, self._workers // 4)
        return Step(self.random.randint(1, most), SIZE, 1000, after)

    def _add_vm(self):
        super()._add_vm()
        self._prepare(self.deployment.workers[-1])

    def _prepare(self, worker):
        worker.drops_former_calls = True
        worker.waits = True
        worker.answers_when_fenced = self.chances.random() < 0.5

    def _set_skew(self, name, step_ms=0):
        ahead_ms = self._ahead_ms.setdefault(
            name, self.chances.uniform(0, DIFFERENCE_MS)
        )
        self.deployment.skew_ms_by_process[name] = ahead_ms + step_ms

    def _step_clocks(self):
        """Step the time of day of some VMs, and back after a while."""
        for name in self._draw_share(list(self.deployment.skew_ms_by_process)):
            self._step_clock(name)

    def _step_clock(self, name):
        if not self._has_clock_steps:
            return
        self.counted['clock_steps'] += 1
        self._set_skew(name, self.random.choice(STEPS_MS))
        self._later(2, 8, self._set_skew, name)

    def _draw_share(self, names):
        share = self.random.choice(SHARES)
        return self.random.sample(names, max(1, int(share * len(names))))

    def _restart_with_late_orders(self):
        """Kill agents whose last requests are carried out late."""
        for name in self._draw_share(self._live_agents() or ['agent-0']):
            worker = self.deployment.agents[name].worker
            worker.lose_next = self.random.randint(1, 6)
            worker.lose_polls = self.random.randint(0, 2)
            worker.late_s = self.random.uniform(*LATE_S)
            until = self._now() + WAIT_S
            self._kill_after_loss(name, worker.lose_next, until)

    def _kill_after_loss(self, name, before, until):
        """Kill an agent soon after its worker has left an order unanswered."""
        is_lost = self.deployment.agents[name].worker.lose_next < before
        if is_lost or self._now() > until:
            at = self.chances.uniform(0, 0.5)
            self.deployment.reactor.callLater(
                at, self._restart_on_skewed_vm, name
            )
        else:
            self.deployment.reactor.callLater(
                CHECK_S, self._kill_after_loss, name, before, until
            )

    def _restart_on_skewed_vm(self, name):
        if not self.deployment.agents[name].is_alive:
            return
        self.counted['agent_kills'] += 1
        self.deployment.kill_agent(name)
        if self.chances.random() < 0.6:
            self._step_clock(name)
        away_s = self.chances.uniform(0.1, 2.5)
        self._later(away_s, away_s, self._agent_back, name)

    def _lose_answers(self):
        """Lose answers of some workers at random for a while."""
        until = self._now() + self.random.uniform(2, 6)
        for name in self._draw_share(self._live_agents() or ['agent-0']):
            worker = self.deployment.agents[name].worker
            worker.late_s = self.random.uniform(0, LATEST_S)
            self._lose_some(worker, until)

    def _lose_some(self, worker, until):
        if self._now() > until:
            worker.lose_next = worker.lose_polls = 0
            return
        worker.lose_next = self.chances.choice([0, 0, 1])
        worker.lose_polls = self.chances.choice([0, 0, 0, 1])
        self.deployment.reactor.callLater(0.2, self._lose_some, worker, until)

    def _restart_agents_in_turn(self):
        gap_s = self.random.choice([0.05, 0.2, 1])
        names = self._draw_share(self._live_agents() or ['agent-0'])
        for number, name in enumerate(names):
            at = number * gap_s
            self._later(at, at + gap_s, self._stop_and_return, name)

    def _stop_and_return(self, name):
        agent = self.deployment.agents[name]
        if not agent.is_alive or name in self.leaving:
            return
        self.counted['agent_stops'] += 1
        self._stop_agent(agent)
        self._later(0.5, 3, self._agent_back, name)

    def _restart_entries_in_turn(self):
        self.counted['entry_rolls'] += 1
        names = list(self.deployment.entries)
        self.random.shuffle(names)
        gap_s = self.random.uniform(1, 2)
        for number, name in enumerate(names):
            at = number * gap_s
            self._later(at, at + 0.2, self._stop_for_roll, name)

    def _stop_for_roll(self, name):
        self.counted['entry_stops'] += 1
        self._plan_stop(name)

    def _delay_entries(self):
        """Delay the messages between some entries."""
        self.counted['entry_delays'] += 1
        pairs = list(itertools.permutations(self.deployment.entries, 2))
        for pair in self._draw_share(pairs):
            away_s = self.random.uniform(1, LATEST_S)
            self.links.hold(*pair, self._now() + away_s)

    def _lose_store_for_long(self):
        """Lose the store for longer than unknown jobs are looked up."""
        if self.counted['long_outages']:
            return
        self.counted['long_outages'] += 1
        rows = self.deployment.rows
        fault = self.random.choice(['is_down', 'is_silent'])
        setattr(rows, fault, True)
        seconds = self.random.uniform(*LONG_OUTAGE_S)
        self._later(seconds, seconds, setattr, rows, fault, False)
        if self.random.random() < 0.5:
            self._later(0, seconds, self._lose_owner)

    def _refuse_owner(self):
        """Refuse the owner at the store, with peers that carry out its calls.

        It may be cut off from agents as well, or suspended a little later.
        """
        self.counted['refusals'] += 1
        name = self._owner()
        self.deployment.rows.rejected_clients.add(name)
        rejected = self.deployment.rows.rejected_clients
        self._later(3, LATEST_S, rejected.discard, name)
        if self.random.random() < 0.5:
            seconds = self._draw_suspension_s()
            self._later(0, 2, self._suspend_entry, name, seconds)

    def _power_off(self):
        """Power off all VMs; they return one after the other."""
        if self.counted['power_losses']:
            return
        self.counted['power_losses'] += 1
        for name, entry in list(self.deployment.entries.items()):
            if entry.is_alive:
                self.deployment.kill_entry(name)
                self._later(0.6, 4, self._entry_back, name)
        for name, agent in list(self.deployment.agents.items()):
            if name not in self.gone and agent.is_alive:
                agent.worker.go_down(self.random.uniform(0.6, 4))
                self.deployment.kill_agent(name)
                self._later(0.6, 4, self._agent_back, name)

    def _heal(self):
        super()._heal()
        for worker in self.deployment.workers:
            worker.lose_polls = 0
