"""One of the platform's programs as a process that is started again."""

import signal

from twisted.internet import reactor
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent

from standins.programs import start_program

PROBE_S = 0.1
PROBE_TIMEOUT_S = 1
OK = 200
PROBER = Agent(reactor, connectTimeout=PROBE_TIMEOUT_S)
# What a program that was ended from outside may say; it ended itself with any
# other code. A signal that comes before its handler is set ends it too.
ENDED_CODES = frozenset(
    (0, -signal.SIGKILL, -signal.SIGTERM, -signal.SIGHUP),
)


class _Ignored(Protocol):
    """Takes the body of an answer that is not read."""


class Program:
    """One process that is started again whenever it has ended.

    Attributes:
        probe: A URL that answers once the process serves.
        is_up: Whether it has served since it was started.
        down_at: When it was last seen to have ended.
    """

    def __init__(self, name, environment, folder, probe):
        self.name = name
        self.environment = environment
        self.log = folder / f'{name}.log'
        self.probe = probe
        self.process = None
        self.is_wanted = False
        self.start_at = 0
        self.away_until = 0
        self.resume_at = None
        self.starts = 0
        self.started_at = 0
        self.down_at = 0
        self.was_alive = False
        self.is_up = False
        self.odd_codes = set()

    @property
    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    @property
    def is_due(self):
        """Whether it should run now."""
        return self.is_wanted and reactor.seconds() >= self.start_at

    def tick(self):
        """Start or resume the process when that is due."""
        now = reactor.seconds()
        if self.resume_at is not None and now >= self.resume_at:
            self.resume_at = None
            self._signal(signal.SIGCONT)
        if self.is_alive:
            self.was_alive = True
            return
        if self.was_alive:
            self.was_alive = self.is_up = False
            self.down_at = now
        if not self.is_due:
            return
        self._note_end()
        role = self.name.partition('-')[0]
        with self.log.open('ab') as output:
            self.process = start_program(
                ['hyssopring.platform', role], self.environment, output
            )
        self.starts += 1
        self.started_at = now
        self._ask(self.process)

    def end(self, number, back=0):
        """Send a signal that ends it; it is started again later."""
        self.start_at = max(self.start_at, reactor.seconds() + back)
        self._signal(number)

    def lose(self, lasts):
        """It ends with its machine, which stays away: for good if None."""
        self.is_wanted = self.is_wanted and lasts is not None
        until = reactor.seconds() + (lasts or 0)
        self.away_until = max(self.away_until, until)
        self.end(signal.SIGKILL, lasts or 0)

    def heal(self):
        """Go on at once, or with its machine."""
        self.start_at = self.away_until
        if self.resume_at is not None:
            self.resume_at = 0

    def pause(self, lasts):
        self.resume_at = max(self.resume_at or 0, reactor.seconds() + lasts)
        self._signal(signal.SIGSTOP)

    def reread(self):
        self._signal(signal.SIGHUP)

    def close(self):
        """End it for good, at once."""
        self.is_wanted = False
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def _ask(self, process):
        """Find out when the process serves; a frozen one is asked again."""
        if self.process is not process or not self.is_alive:
            return
        asking = PROBER.request(b'GET', self.probe.encode())
        asking.addTimeout(PROBE_TIMEOUT_S, reactor)
        asking.addCallbacks(
            lambda answer: self._answered(process, answer),
            lambda _failure: reactor.callLater(PROBE_S, self._ask, process),
        )

    def _answered(self, process, answer):
        answer.deliverBody(_Ignored())
        if answer.code != OK:
            reactor.callLater(PROBE_S, self._ask, process)
        elif self.process is process:
            self.is_up = True

    def _note_end(self):
        code = self.process.returncode if self.process else 0
        if code not in ENDED_CODES:
            self.odd_codes.add(code)

    def _signal(self, number):
        if self.is_alive:
            self.process.send_signal(number)
