"""A program as a process that is restarted after each end."""

import signal

from twisted.internet import reactor
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent

from standins.programs import start_program

PROBE_S = 0.1
PROBE_TIMEOUT_S = 1
OK = 200
PROBER = Agent(reactor, connectTimeout=PROBE_TIMEOUT_S)
# Exit codes of a program that was ended from outside; with any other code it
# ended by itself. A signal before its handler is set ends the process as well.
EXPECTED_EXIT_CODES = frozenset(
    (0, -signal.SIGKILL, -signal.SIGTERM, -signal.SIGHUP),
)


class _Ignored(Protocol):
    """Discards the body of a response."""


class Program:
    """A process that is restarted whenever it has ended.

    Attributes:
        arguments: Further arguments of its command.
        probe: A URL that responds with 200 once the process serves.
        is_up: Whether it has served since its last start.
        down_at: When its last end was detected.
        pauses: Start and end of each pause, in s.
        clock: Its time of day, None for that of the machine.
    """

    def __init__(self, name, environment, folder, probe, arguments=()):
        self.name = name
        self.environment = environment
        self.arguments = arguments
        self.clock = None
        self.log = folder / f'{name}.log'
        self.probe = probe
        self.process = None
        self.is_wanted = False
        self.start_at = 0
        self.away_until = 0
        self.resume_at = None
        self.paused_at = None
        self.pauses = []
        self.starts = 0
        self.started_at = 0
        self.down_at = 0
        self.was_alive = False
        self.is_up = False
        self.unexpected_exit_codes = set()

    @property
    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    @property
    def is_due(self):
        """Whether it should run now."""
        return self.is_wanted and reactor.seconds() >= self.start_at

    def tick(self):
        """Start or resume the process if that is due."""
        now_s = reactor.seconds()
        if self.resume_at is not None and now_s >= self.resume_at:
            self.resume_at = None
            self._signal(signal.SIGCONT)
            self._record_pause(now_s)
        if self.is_alive:
            self.was_alive = True
            return
        if self.was_alive:
            self.was_alive = self.is_up = False
            self.down_at = now_s
            self._record_pause(now_s)
        if not self.is_due:
            return
        self._record_exit()
        role = self.name.partition('-')[0]
        environment = dict(self.environment)
        if self.clock is not None:
            environment.update(self.clock.environment)
        with self.log.open('ab') as output:
            self.process = start_program(
                ['hyssopring.platform', role, *self.arguments],
                environment,
                output,
            )
        self.starts += 1
        self.started_at = now_s
        self._poll(self.process)

    def end(self, number, back=0):
        """Send a signal that ends the process; restart it after ``back`` s."""
        self.start_at = max(self.start_at, reactor.seconds() + back)
        self._signal(number)

    def set_back(self, offset_s, duration_s, back):
        """Kill the process; its next one has an earlier time of day."""
        self.clock.set_offset(-offset_s)
        reactor.callLater(duration_s, self.clock.set_offset, 0)
        self.end(signal.SIGKILL, back)

    def lose(self, duration_s):
        """Kill the process with its VM, for good if ``duration_s`` is None."""
        self.is_wanted = self.is_wanted and duration_s is not None
        until = reactor.seconds() + (duration_s or 0)
        self.away_until = max(self.away_until, until)
        self.end(signal.SIGKILL, duration_s or 0)

    def heal(self):
        """Resume at once, or when its VM is back."""
        self.start_at = self.away_until
        if self.resume_at is not None:
            self.resume_at = 0

    def pause(self, duration_s):
        self.resume_at = max(
            self.resume_at or 0, reactor.seconds() + duration_s
        )
        self._signal(signal.SIGSTOP)
        if self.is_alive and self.paused_at is None:
            self.paused_at = reactor.seconds()

    def reread(self):
        self._signal(signal.SIGHUP)

    def close(self):
        """Kill the process and do not restart it."""
        self.is_wanted = False
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def _poll(self, process):
        """Poll the probe until the process serves, also after timeouts."""
        if self.process is not process or not self.is_alive:
            return
        request = PROBER.request(b'GET', self.probe.encode())
        request.addTimeout(PROBE_TIMEOUT_S, reactor)
        request.addCallbacks(
            lambda response: self._on_response(process, response),
            lambda _failure: reactor.callLater(PROBE_S, self._poll, process),
        )

    def _on_response(self, process, response):
        response.deliverBody(_Ignored())
        if response.code != OK:
            reactor.callLater(PROBE_S, self._poll, process)
        elif self.process is process:
            self.is_up = True

    def _record_exit(self):
        code = self.process.returncode if self.process else 0
        if code not in EXPECTED_EXIT_CODES:
            self.unexpected_exit_codes.add(code)

    def _record_pause(self, now_s):
        if self.paused_at is not None:
            self.pauses.append((self.paused_at, now_s))
            self.paused_at = None

    def _signal(self, number):
        if self.is_alive:
            self.process.send_signal(number)
