"""One seed: faults, then quiet, then the end of all programs."""

import signal
import traceback

from twisted.internet import reactor
from twisted.internet.defer import gatherResults, inlineCallbacks

from soak.platform.callers import Caller, Callers, nap
from soak.platform.calm import Calm
from soak.platform.lasting import LastingWatch
from soak.platform.plan import PlannedJob
from soak.platform.world import World

TICK_S = 0.02
WATCH_S = 0.1
CHECK_S = 0.2
# Programs take this long to be up on a busy machine; faults come after it.
UP_S = 20
# With no faults all keepers run within this time. A new owner that can't reach
# an agent waits 18.4 s (ROSTER_WAIT_MS) after 3 s; the rest is in reserve.
KEEPERS_S = 45
# A job of three steps takes up to 18 s more, and waits for room.
QUIET_S = 70
# A stopped entry serves open connections for 3 s and drains for 1.5 s.
STOP_S = 10
# What is promised of a configuration.
IN_FORCE_S = 3
# At the end the operator adds so many queues, and makes a small change later.
LAST_QUEUES = 1400
BETWEEN_CHANGES_S = 1.5
# One job for each entry, handed in when the faults are over.
LATE_JOB = 0xFA0000


class Run:
    """Plays a plan; ``broken`` lists what should not have been seen."""

    def __init__(self, plan, folder):
        self.plan = plan
        self.folder = folder
        self.world = World(plan, folder)
        self.callers = Callers(self.world)
        self.calm = Calm(self.world)
        self.watch = LastingWatch(self.world, self.callers, self.calm)
        self.broken = []
        self.happened = []
        self.quiet_s = 0
        self.in_force_s = 0
        self.keepers_s = 0
        self.healed_at = 0
        self.is_over = False
        self.is_healed = False

    def play(self):
        """Run the reactor until all is seen; return what was broken."""
        reactor.callWhenRunning(self._play)
        reactor.addSystemEventTrigger('before', 'shutdown', self.world.close)
        reactor.run()
        if not self.is_over:
            self.broken.append('the run was stopped from outside')
        return self.broken

    def summary(self):
        """One line of figures."""
        starts = sum(each.starts for each in self.world.programs.values())
        callers = self.callers
        return (
            f'seed {self.plan.seed}: {len(self.happened)} events, '
            f'{starts} program starts, {len(callers.accepted)} jobs accepted, '
            f'{len(callers.refused)} refused, '
            f'{len(self.world.book.starts)} task starts, '
            f'keepers after {self.keepers_s:.1f} s, '
            f'quiet after {self.quiet_s:.1f} s, '
            f'{self.world.queues} queues in force after '
            f'{self.in_force_s:.1f} s, in {self.watch.calm_s:.1f} s '
            f'of calm lasting tasks missed '
            f'{self._longest("elsewhere")}, away {self._longest("away")}, '
            f'{len(self.broken)} broken'
        )

    def _longest(self, place):
        missed_s = max(0, self.watch.longest_s[place])
        return f'{missed_s:.1f} s (calm wait {self.watch.waits_s[place]:.1f} s)'

    def trace(self):
        """What happened and what ran, by the clock of the programs' logs."""
        book = self.world.book
        rows = [(at, f'event {text}') for at, text in self.happened]
        rows.append((self.healed_at, 'event healed'))
        rows += [(row[0], f'start {row[1:]}') for row in book.starts]
        rows += [(row[0], f'end {row[1:]}') for row in book.ends]
        return [f'{at:.3f} {text}' for at, text in sorted(rows)]

    @inlineCallbacks
    def _play(self):
        try:
            yield self._phases()
        except Exception:
            self.broken.append(traceback.format_exc())
        finally:
            # Whoever misses a task goes on: others may be missed as well.
            self.broken += self.watch.missed
            self.is_over = self.callers.is_over = True
            self.world.close()
            reactor.stop()

    @inlineCallbacks
    def _phases(self):
        self._tick()
        self._watch()
        self.world.start()
        yield self._until(self._is_up, UP_S)
        self.callers.start()
        for event in self.plan.events:
            reactor.callLater(event.at, self._happen, event)
        yield self._until(lambda: False, self.plan.seconds)
        self._heal()
        yield self._until(lambda: not self.callers.keepers_down(), KEEPERS_S)
        self.keepers_s = reactor.seconds() - self.healed_at
        if not self.broken:
            self.broken += self.callers.keepers_down()
        left_s = QUIET_S - self.keepers_s
        yield self._until(lambda: not self.callers.open_jobs(), left_s)
        self.quiet_s = reactor.seconds() - self.healed_at
        if not self.broken:
            self.broken += self.callers.open_jobs()
            yield self._last_looks()

    @inlineCallbacks
    def _is_up(self):
        told = []
        for caller in self.callers.callers:
            answer = yield caller.call(b'GET', '/q/')
            told.append(answer[0])
        return set(told) == {200}

    @inlineCallbacks
    def _until(self, is_enough, seconds):
        """Wait for a moment, checking; end early when something is broken."""
        ends_at = reactor.seconds() + seconds
        while not self.broken and reactor.seconds() < ends_at:
            yield nap(CHECK_S)
            self.broken += self.callers.check()
            enough = yield is_enough()
            if enough:
                return

    def _tick(self):
        if not self.is_over:
            self.world.tick()
            reactor.callLater(TICK_S, self._tick)

    def _watch(self):
        if not self.is_over:
            self.calm.look()
            self.watch.look()
            reactor.callLater(WATCH_S, self._watch)

    def _happen(self, event):
        if not (self.is_over or self.is_healed):
            owner = self.world.owner()
            text = f'{event} (owner {owner})'
            self.happened.append((reactor.seconds(), text))
            self.calm.happened(event)
            self.world.happen(event)

    def _heal(self):
        self.is_healed, self.healed_at = True, reactor.seconds()
        self.world.heal()
        for number, caller in enumerate(self.callers.callers):
            job = PlannedJob(0, f'{LATE_JOB + number:016x}', (2, 1), 500)
            self.callers.hand_in(job, caller)

    @inlineCallbacks
    def _last_looks(self):
        yield self._in_force()
        self.world.configure(LAST_QUEUES)
        yield nap(BETWEEN_CHANGES_S)
        self.world.configure(0)
        yield self._in_force()
        yield self._stop_all()

    @inlineCallbacks
    def _in_force(self):
        """All entries have the newest configuration within its time."""
        newest = f'/q{self.world.version}/'
        looks = [
            self._told_in_time(name, port, newest)
            for name, port in self.world.fronts.items()
        ]
        took = yield gatherResults(looks)
        self.in_force_s = max(took)

    @inlineCallbacks
    def _told_in_time(self, name, port, newest):
        """Ask one entry, which no other may stand in for; return how long."""
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
            yield nap(TICK_S)

    @inlineCallbacks
    def _stop_all(self):
        wanted = [
            each for each in self.world.programs.values() if each.is_wanted
        ]
        for program in wanted:
            program.is_wanted = False
            program.end(signal.SIGTERM)
        ends_at = reactor.seconds() + STOP_S
        while any(each.is_alive for each in wanted):
            yield nap(CHECK_S)
            if reactor.seconds() > ends_at:
                break
        for program in self.world.programs.values():
            if program.is_alive:
                self.broken.append(f'{program.name} does not stop')
            self.broken += [
                f'{program.name} ended itself with {code}'
                for code in program.odd_codes
            ]
