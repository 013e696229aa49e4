"""Detects silent connections, well before their heartbeat timeout.

A connection that a device in between has lost track of stays open and accepts
requests without a response. The heartbeat timeout notices this only seconds
later, past most deadlines. Therefore a silent agent with a pending call is
pinged. Without a pong it is suspect: it gets no new calls, and its idempotent
calls are also sent elsewhere.

A paused entry receives nothing, which tells nothing about the agents: silence
counts from the time at which the entry resumed.
"""

from hyssopring.clock import Clock
from hyssopring.entry.calls import Links
from hyssopring.entry.pending_calls import PendingCalls
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord, Fleet
from hyssopring.metrics import Metrics
from hyssopring.protocol.messages import Ping

__all__ = ('Liveness',)

# An agent with a call is pinged after this much silence, and becomes suspect
# without a pong in this time. The timeout allows for 1 ms of network delay,
# and for pauses of both processes by garbage collection or a busy machine.
_PING_AFTER_MS = 150.0
_PONG_TIMEOUT_MS = 250.0
# A running entry checks every 20 ms; after a longer gap it was paused.
_MAX_CHECK_GAP_MS = 500.0


class Liveness:
    """Pings silent agents with calls; suspects those that send no pong."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        calls: PendingCalls,
        links: Links,
        metrics: Metrics,
    ) -> None:
        """Start with no pings in flight."""
        self._clock = clock
        self._fleet = fleet
        self._calls = calls
        self._links = links
        self._metrics = metrics
        self._resumed_at = clock.now()
        self._checked_at = clock.now()
        self._sequence = 0
        # When the unanswered ping was sent, by connection generation.
        self._pinged_at: dict[int, float] = {}

    def silent_ms(self, record: AgentRecord) -> float:
        """Return how long an agent was silent while this entry ran."""
        now_ms = self._clock.now()
        if now_ms - self._checked_at > _MAX_CHECK_GAP_MS:
            self._resumed_at = now_ms
            self._pinged_at.clear()
        self._checked_at = now_ms
        return now_ms - max(record.last_received_at, self._resumed_at)

    def on_message(self, record: AgentRecord) -> None:
        """Record that an agent is alive, as any message shows."""
        record.last_received_at = self._clock.now()
        record.is_suspect = False

    def tick(self) -> None:
        """Ping silent agents and suspect late ones; call every 20 ms."""
        pinged_at = self._pinged_at
        self._pinged_at = {}
        for record in self._busy_agents():
            if self.silent_ms(record) >= _PING_AFTER_MS:
                self._check_pong(record, pinged_at.get(record.generation))

    def _check_pong(
        self, record: AgentRecord, pinged_at_ms: float | None
    ) -> None:
        if pinged_at_ms is None or record.last_received_at > pinged_at_ms:
            pinged_at_ms = self._ping(record)
        self._pinged_at[record.generation] = pinged_at_ms
        is_late = self._clock.now() - pinged_at_ms > _PONG_TIMEOUT_MS
        if is_late and not record.is_suspect:
            self._suspect(record)

    def _busy_agents(self) -> list[AgentRecord]:
        agent_ids = {
            attempt.agent_id
            for pending in self._calls
            for attempt in pending.attempts
        }
        records = (self._fleet.agent(agent_id) for agent_id in agent_ids)
        connected_agents = [record for record in records if record is not None]
        return sorted(connected_agents, key=lambda record: record.agent_id)

    def _ping(self, record: AgentRecord) -> float:
        self._sequence += 1
        self._links.send(record.agent_id, Ping(self._sequence))
        return self._clock.now()

    def _suspect(self, record: AgentRecord) -> None:
        record.is_suspect = True
        log_event(
            Event.CONNECTION_SUSPECT,
            agent=record.agent_id,
            quiet_ms=f'{self.silent_ms(record):.0f}',
        )
        self._metrics.count('connections_suspect_total')
