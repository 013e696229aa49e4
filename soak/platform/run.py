"""A run of a seed: faults, recovery, a rollout and the final shutdown."""

import signal
import traceback

from twisted.internet import reactor
from twisted.internet.defer import gatherResults, inlineCallbacks

from soak.platform.callers import Caller, Callers, sleep
from soak.platform.keeper_monitor import KeeperMonitor
from soak.platform.large import FIRST_JOB_ID as FIRST_LARGE_JOB_ID
from soak.platform.owner_pauses import FIRST_JOB_ID as FIRST_PAUSES_JOB_ID
from soak.platform.ownerships import Ownerships
from soak.platform.stability import StabilityMonitor
from soak.platform.plan import PlannedJob
from soak.platform.rollouts import FIRST_JOB_ID
from soak.platform.world import World

TICK_INTERVAL_S = 0.02
MONITOR_INTERVAL_S = 0.1
CHECK_INTERVAL_S = 0.2
# Startup time of the programs on a busy machine; faults begin after it.
STARTUP_TIMEOUT_S = 20
# Without faults all keepers run within this time. A new owner that can't reach
# an agent waits 18.4 s (ROSTER_WAIT_MS) after 3 s; the rest is a margin.
KEEPERS_TIMEOUT_S = 45
# A job of three steps takes up to 18 s more, and waits for capacity.
JOBS_TIMEOUT_S = 70
# After a rollout: starts of up to 10 s, then 7 s without disturbances until a
# task is missed.
ROLLOUT_TIMEOUT_S = 20
# A stopped entry serves open connections for 3 s and drains for 1.5 s.
STOP_TIMEOUT_S = 10
# Guaranteed time until a configuration change is in force.
IN_FORCE_S = 3
# At the end the operator adds these queues, and makes a small change later.
FINAL_QUEUES = 1400
CHANGE_INTERVAL_S = 1.5
# One job per entry, submitted after the faults.
FINAL_JOB_ID = 0xFA0000


class Run:
    """Plays a plan.

    Violations of the promises in ``go_on`` do not end the run.

    Attributes:
        broken: Violations, one line each.
        happened: Times in s and texts of the events so far.
        quiet_s: Time after the faults until all jobs were completed.
        in_force_s: Longest time until an entry had the last configuration.
        keepers_s: Time after the faults until all keepers ran.
    """

    def __init__(self, plan, folder, go_on=()):
        self.plan = plan
        self.folder = folder
        self.world = World(plan, folder)
        self.callers = Callers(self.world, go_on)
        self.stability = StabilityMonitor(self.world)
        self.monitor = KeeperMonitor(self.world, self.callers, self.stability)
        self.broken = []
        self.happened = []
        self.quiet_s = 0
        self.in_force_s = 0
        self.keepers_s = 0
        self.healed_at = 0
        self.is_over = False
        self.is_healed = False
        self.world.on_hit = self._apply_event

    def play(self):
        """Run the reactor until the run is over; return the violations."""
        reactor.callWhenRunning(self._play)
        reactor.addSystemEventTrigger('before', 'shutdown', self.world.close)
        reactor.run()
        if not self.is_over:
            self.broken.append('the run was stopped from outside')
        return self.broken

    def summary(self):
        """Return one line of figures."""
        starts = sum(program.starts for program in self.world.programs.values())
        callers = self.callers
        return (
            f'seed {self.plan.seed}: {len(self.happened)} events, '
            f'{starts} program starts, {len(callers.accepted)} jobs accepted, '
            f'{len(callers.refused)} refused, '
            f'{len(self.world.run_recorder.starts)} task starts, '
            f'{self.world.run_recorder.copy_count} of them copies, '
            f'keepers after {self.keepers_s:.1f} s, '
            f'quiet after {self.quiet_s:.1f} s, '
            f'{self.world.queues} queues in force after '
            f'{self.in_force_s:.1f} s, in {self.monitor.calm_s:.1f} s '
            f'of calm lasting tasks missed '
            f'{self._longest("elsewhere")}, away {self._longest("away")}, '
            f'{Ownerships(self.world.programs, self.folder).summary()}, '
            f'{len(self.broken)} broken'
        )

    def _longest(self, place):
        missed_s = max(0, self.monitor.longest_s[place])
        return (
            f'{missed_s:.1f} s (calm wait {self.monitor.waits_s[place]:.1f} s)'
        )

    def trace(self):
        """Return events and task runs, with times as in the programs' logs."""
        run_recorder = self.world.run_recorder
        rows = [(at, f'event {text}') for at, text in self.happened]
        rows.append((self.healed_at, 'event healed'))
        rows += [(row[0], f'start {row[1:]}') for row in run_recorder.starts]
        rows += [(row[0], f'end {row[1:]}') for row in run_recorder.ends]
        return [f'{at:.3f} {text}' for at, text in sorted(rows)]

    @inlineCallbacks
    def _play(self):
        try:
            yield self._phases()
        except Exception:
            self.broken.append(traceback.format_exc())
        finally:
            # A missed task doesn't end the run: others may be missed as well.
            self.broken += self.monitor.missed + self.callers.counted
            self.is_over = self.callers.is_over = True
            self.world.close()
            reactor.stop()

    @inlineCallbacks
    def _phases(self):
        self._tick()
        self._check_monitors()
        self.world.start()
        yield self._until(self._is_up, STARTUP_TIMEOUT_S)
        self.callers.start()
        for event in self.plan.events:
            reactor.callLater(event.at, self._apply_event, event)
        yield self._until(lambda: False, self.plan.seconds)
        yield self._pause_owners()
        self._heal()
        yield self._until(
            lambda: not self.callers.keepers_down(), KEEPERS_TIMEOUT_S
        )
        self.keepers_s = reactor.seconds() - self.healed_at
        if not self.broken:
            self.broken += self.callers.keepers_down()
        left_s = JOBS_TIMEOUT_S - self.keepers_s
        yield self._until(lambda: not self.callers.open_jobs(), left_s)
        self.quiet_s = reactor.seconds() - self.healed_at
        if not self.broken:
            self.broken += self.callers.open_jobs()
        if not self.broken and self.plan.rollout.events:
            yield self._roll_out()
        if not self.broken:
            yield self._check_shutdown()

    @inlineCallbacks
    def _pause_owners(self):
        """Play the pauses of owners, with jobs meanwhile."""
        pauses, large = self.plan.owner_pauses, self.plan.large
        for event in (*pauses.events, *large.events):
            reactor.callLater(event.at, self._apply_event, event)
        self._submit_jobs(FIRST_PAUSES_JOB_ID, pauses.job_times)
        for number, (at, counts) in enumerate(large.jobs):
            job_id = f'{FIRST_LARGE_JOB_ID + number:016x}'
            job = PlannedJob(at, job_id, counts, 500)
            reactor.callLater(at, self.callers.submit, job)
        yield self._until(lambda: False, max(pauses.ends_at, large.ends_at))

    def _submit_jobs(self, first_id, times):
        for number, at in enumerate(times):
            job = PlannedJob(at, f'{first_id + number:016x}', (2, 1), 500)
            reactor.callLater(at, self.callers.submit, job)

    @inlineCallbacks
    def _roll_out(self):
        """Play the rollout, with jobs meanwhile, and wait for its end."""
        rollout = self.plan.rollout
        for event in rollout.events:
            reactor.callLater(event.at, self._apply_planned, event)
        self._submit_jobs(FIRST_JOB_ID, rollout.job_times)
        yield self._until(lambda: False, rollout.ends_at + ROLLOUT_TIMEOUT_S)
        yield self._until(lambda: not self.callers.open_jobs(), JOBS_TIMEOUT_S)
        if not self.broken:
            self.broken += self.callers.open_jobs()

    @inlineCallbacks
    def _is_up(self):
        statuses = []
        for caller in self.callers.callers:
            response = yield caller.call(b'GET', '/q/')
            statuses.append(response[0])
        return set(statuses) == {200}

    @inlineCallbacks
    def _until(self, is_done, seconds):
        """Wait for a condition up to a time in s, or until a violation."""
        ends_at = reactor.seconds() + seconds
        while not self.broken and reactor.seconds() < ends_at:
            yield sleep(CHECK_INTERVAL_S)
            self.broken += self.callers.check()
            is_over = yield is_done()
            if is_over:
                return

    def _tick(self):
        if not self.is_over:
            self.world.tick()
            reactor.callLater(TICK_INTERVAL_S, self._tick)

    def _check_monitors(self):
        if not self.is_over:
            self.stability.check()
            self.monitor.check()
            reactor.callLater(MONITOR_INTERVAL_S, self._check_monitors)

    def _apply_event(self, event):
        if not self.is_healed:
            self._apply_planned(event)

    def _apply_planned(self, event):
        if not self.is_over:
            owner = self.world.owner()
            text = f'{event} (owner {owner})'
            self.happened.append((reactor.seconds(), text))
            self.stability.on_event(event)
            self.world.apply_event(event)

    def _heal(self):
        self.is_healed, self.healed_at = True, reactor.seconds()
        self.world.heal()
        for number, caller in enumerate(self.callers.callers):
            job = PlannedJob(0, f'{FINAL_JOB_ID + number:016x}', (2, 1), 500)
            self.callers.submit(job, caller)

    @inlineCallbacks
    def _check_shutdown(self):
        yield self._in_force()
        self.world.configure(FINAL_QUEUES)
        yield sleep(CHANGE_INTERVAL_S)
        self.world.configure(0)
        yield self._in_force()
        yield self._stop_all()

    @inlineCallbacks
    def _in_force(self):
        """Check that all entries apply the last configuration in time."""
        newest = f'/q{self.world.version}/'
        waits = [
            self._wait_in_force(name, port, newest)
            for name, port in self.world.fronts.items()
        ]
        took = yield gatherResults(waits)
        self.in_force_s = max(took)

    @inlineCallbacks
    def _wait_in_force(self, name, port, newest):
        """Poll one entry for its newest queue; return the s that it took."""
        caller = Caller(self.world.host, [port], 0)
        committed_at = reactor.seconds()
        while True:
            status, _fields = yield caller.call(b'GET', newest)
            took_s = reactor.seconds() - committed_at
            if status == 200:
                return took_s
            if took_s > IN_FORCE_S:
                self.broken.append(f'{newest} is told as {status} by {name}')
                return took_s
            yield sleep(TICK_INTERVAL_S)

    @inlineCallbacks
    def _stop_all(self):
        wanted = [
            program
            for program in self.world.programs.values()
            if program.is_wanted
        ]
        for program in wanted:
            program.is_wanted = False
            program.end(signal.SIGTERM)
        ends_at = reactor.seconds() + STOP_TIMEOUT_S
        while any(program.is_alive for program in wanted):
            yield sleep(CHECK_INTERVAL_S)
            if reactor.seconds() > ends_at:
                break
        for program in self.world.programs.values():
            if program.is_alive:
                self.broken.append(f'{program.name} does not stop')
            self.broken += [
                f'{program.name} ended itself with {code}'
                for code in program.unexpected_exit_codes
            ]
