"""Emulated peers that use the real inner protocol, many in one process.

``agents ADDRESS COUNT BACKENDS [paced]``: agents that dial an entry, send a
heartbeat every second (``paced``: at the interval that the entry requests) and
answer each call immediately.
``entries PORTS TASKS CALLS_PER_S STARTS_PER_S``: entries that grant
leases, start tasks and send calls to the agent that dials them.
"""

import random
import sys

from twisted.internet import reactor
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall

from bench.slopes_processes import SECRET
from hyssopring.agent.core import HEARTBEAT_INTERVAL_MS, AgentIdentity
from hyssopring.clock import MonotonicClock
from hyssopring.protocol import messages as m
from hyssopring.protocol.connection import InnerConnection, prove

CLOCK = MonotonicClock()
LEASE_MS = 3_600_000.0
SHORT_TASK_MS = 300.0


class Peer(Factory):
    """Connection factory; subclasses handle the messages."""

    noisy = False

    def buildProtocol(self, addr):
        return InnerConnection(
            CLOCK,
            self.on_opened,
            self.on_message,
            lambda connection, detail: connection.close(),
            lambda connection: None,
        )

    def on_opened(self, connection):
        """Do nothing: an agent waits for the challenge of the entry."""


class EmulatedAgent(Peer):
    """An agent with fixed backends that completes each task after 0.5 s."""

    def __init__(self, number, backends, is_paced=False):
        self.sequence = 0
        self.is_paced = is_paced
        self.identity = AgentIdentity(
            f'agent-{number:04}',
            'run',
            ('paddock', 'tack-room', 'office')[number % 3],
            f'rack-{number // 3:03}',
            m.Resources(16, 60),
        )
        self.reports = tuple(
            m.BackendReport(
                'trust/booking' if index == 0 else f'trust/service-{index}',
                f'backend-{number}-{index}',
                8,
                64,
                False,
                0,
                0,
                20.0,
            )
            for index in range(backends)
        )
        self.version = 0

    def on_message(self, connection, message):
        if isinstance(message, m.Challenge):
            proof = prove(SECRET, message.nonce, self.identity.agent_id)
            connection.send(self.identity.hello(proof, 0))
        elif isinstance(message, m.Welcome):
            reactor.callLater(
                random.random(), self.start_heartbeats, connection
            )
        elif isinstance(message, m.HeartbeatAck) and self.is_paced:
            reactor.callLater(
                message.next_ms / 1000, self.send_heartbeat, connection
            )
        elif isinstance(message, m.CallRequest):
            connection.send(
                m.CallResponse(
                    message.request_id, 'answered', 200, (), b'x' * 200
                )
            )
        elif isinstance(message, m.StartTask):
            self.send_report(connection, message, 'running')
            reactor.callLater(
                0.5, self.send_report, connection, message, 'completed'
            )
        elif isinstance(message, m.ConfigurationUpdate):
            self.version = max(self.version, message.version)

    def start_heartbeats(self, connection):
        if self.is_paced:
            self.send_heartbeat(connection)
        else:
            LoopingCall(self.send_heartbeat, connection).start(
                HEARTBEAT_INTERVAL_MS / 1000
            )

    def send_report(self, connection, command, phase):
        status = m.TaskStatus(
            command.task_id,
            command.shard,
            command.epoch,
            command.attempt,
            phase,
        )
        connection.send(m.TaskReport((status,)))

    def send_heartbeat(self, connection):
        self.sequence += 1
        connection.send(
            m.Heartbeat(
                self.sequence,
                self.version,
                self.reports,
                m.Resources(16, 60),
                False,
                worker_boot='boot',
            )
        )


class EmulatedEntry(Peer):
    """An entry that sends calls and starts tasks at fixed rates."""

    def __init__(self, number, tasks, calls_per_s, starts_per_s):
        self.starts_per_s = starts_per_s
        self.starts = 0
        self.number = number
        self.tasks = tasks
        self.calls_per_s = calls_per_s
        self.calls = 0
        self.has_started = False
        self.boot = ''
        self.grants = tuple(
            m.LeaseGrant(shard, 1, LEASE_MS, LEASE_MS) for shard in range(2)
        )

    def on_opened(self, connection):
        connection.send(m.Challenge(m.PROTOCOL_VERSION, self.name, 'nonce'))

    @property
    def name(self):
        return f'entry-{self.number}'

    def on_message(self, connection, message):
        if isinstance(message, m.Hello):
            connection.send(m.Welcome(self.name, 0))
            if self.calls_per_s:
                LoopingCall(self.send_call, connection).start(
                    1 / self.calls_per_s
                )
            if self.starts_per_s:
                reactor.callLater(
                    2,
                    LoopingCall(self.start_short_task, connection).start,
                    1 / self.starts_per_s,
                )
        elif isinstance(message, m.Heartbeat):
            self.boot = message.worker_boot
            connection.send(m.HeartbeatAck(message.sequence, 0, self.grants))
        elif isinstance(message, m.TaskReport) and not message.complete:
            connection.send(m.TaskReportAck(message.tasks))
        elif isinstance(message, m.TaskReport):
            if not self.has_started:
                self.has_started = True
                self.start_tasks(connection)

    def start_tasks(self, connection):
        for number in range(self.tasks):
            connection.send(
                m.StartTask(
                    f'job:{number}',
                    0,
                    1,
                    1,
                    'batch',
                    'trust/feed',
                    m.Resources(0.25, 0.25),
                    '',
                    LEASE_MS,
                    5,
                    self.boot,
                )
            )

    def start_short_task(self, connection):
        self.starts += 1
        connection.send(
            m.StartTask(
                f'short:{self.starts}',
                0,
                1,
                1,
                'batch',
                'trust/feed',
                m.Resources(0.25, 0.25),
                '',
                SHORT_TASK_MS,
                5,
                self.boot,
            )
        )

    def send_call(self, connection):
        self.calls += 1
        connection.send(
            m.CallRequest(
                f'{self.number}-{self.calls}',
                'trust/booking',
                'POST',
                '/lessons?ms=1',
                (),
                b'rider',
                2000.0,
                8,
                False,
            )
        )


def dial(address, count, backends, mode=''):
    host, port = address.split(':')
    for number in range(int(count)):
        agent = EmulatedAgent(number, int(backends), bool(mode))
        reactor.callLater(
            number * 0.003, reactor.connectTCP, host, int(port), agent
        )


def listen(ports, tasks, calls_per_s, starts_per_s):
    for number, port in enumerate(ports.split(',')):
        entry = EmulatedEntry(
            number, int(tasks), float(calls_per_s), float(starts_per_s)
        )
        reactor.listenTCP(int(port), entry, interface='127.0.0.1')


if __name__ == '__main__':
    kind, *arguments = sys.argv[1:]
    {'agents': dial, 'entries': listen}[kind](*arguments)
    reactor.run()
