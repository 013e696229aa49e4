"""Finds connections that have gone silent, well before they are dropped.

Guard: a connection that something in between has lost track of stays open and
takes requests without an answer, until the heartbeats' silence is noticed
seconds later, past most deadlines. So while a call waits at an agent that is
quiet, the agent is pinged; without a pong it gets no new calls, and its
idempotent calls are sent elsewhere too.

An entry that was itself paused has heard nobody, which says nothing about the
agents: silence counts from its waking.
"""

from hyssopring.clock import Clock
from hyssopring.entry.calls import Links
from hyssopring.entry.pending import PendingCalls
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord, Fleet
from hyssopring.metrics import Metrics
from hyssopring.protocol.messages import Ping

__all__ = ('Liveness',)

# An agent with a call is pinged after so much quiet, and suspect when the
# pong is not back in so much time: the 1 ms of the network, and pauses of
# both processes for garbage collection or a busy machine.
_QUIET_MS = 150.0
_PONG_MS = 250.0
# Between two looks of a running entry there are 20 ms.
_PAUSED_MS = 500.0


class Liveness:
    """Pings quiet agents that have calls, and suspects those without pong."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        calls: PendingCalls,
        links: Links,
        metrics: Metrics,
    ) -> None:
        """Take the collaborators."""
        self._clock = clock
        self._fleet = fleet
        self._calls = calls
        self._links = links
        self._metrics = metrics
        self._awake_since = clock.now()
        self._looked_at = clock.now()
        self._sequence = 0
        # When the ping that waits for its pong was sent, by generation.
        self._pinged_at: dict[int, float] = {}

    def quiet_ms(self, record: AgentRecord) -> float:
        """Return for how long nothing came that could have been heard."""
        now = self._clock.now()
        if now - self._looked_at > _PAUSED_MS:
            self._awake_since = now
            self._pinged_at.clear()
        self._looked_at = now
        return now - max(record.heard_at, self._awake_since)

    def heard(self, record: AgentRecord) -> None:
        """Any message is a sign of life."""
        record.heard_at = self._clock.now()
        record.is_suspect = False

    def tick(self) -> None:
        """Ping and suspect; call each 20 ms."""
        pinged_at = self._pinged_at
        self._pinged_at = {}
        for record in self._busy_agents():
            if self.quiet_ms(record) >= _QUIET_MS:
                self._check(record, pinged_at.get(record.generation))

    def _check(self, record: AgentRecord, asked_at: float | None) -> None:
        if asked_at is None or record.heard_at > asked_at:
            asked_at = self._ping(record)
        self._pinged_at[record.generation] = asked_at
        is_late = self._clock.now() - asked_at > _PONG_MS
        if is_late and not record.is_suspect:
            self._suspect(record)

    def _busy_agents(self) -> list[AgentRecord]:
        agent_ids = {
            attempt.agent_id
            for pending in self._calls
            for attempt in pending.attempts
        }
        records = (self._fleet.agent(agent_id) for agent_id in agent_ids)
        found = [record for record in records if record is not None]
        return sorted(found, key=lambda record: record.agent_id)

    def _ping(self, record: AgentRecord) -> float:
        self._sequence += 1
        self._links.send(record.agent_id, Ping(self._sequence))
        return self._clock.now()

    def _suspect(self, record: AgentRecord) -> None:
        record.is_suspect = True
        log_event(
            Event.CONNECTION_SUSPECT,
            agent=record.agent_id,
            quiet_ms=f'{self.quiet_ms(record):.0f}',
        )
        self._metrics.count('connections_suspect_total')
