"""What an entry knows of the agents connected to it and their backends.

There is no list of back ends anywhere: agents connect and announce.
"""

from dataclasses import dataclass, field
from typing import Iterator

from hyssopring.protocol.messages import (
    BackendReport,
    Heartbeat,
    Hello,
    Resources,
    TaskUsage,
)

__all__ = ('AgentRecord', 'BackendView', 'Fleet')


@dataclass(slots=True)
class BackendView:
    """One backend server as this entry sees it.

    Attributes:
        report: The agent's latest report, as old as ``reported_at``.
        in_flight: Calls that this entry has sent and not seen answered.
        since: When this entry first heard of it, for slow start.
    """

    agent: 'AgentRecord'
    report: BackendReport
    reported_at: float
    since: float
    in_flight: int = 0

    @property
    def is_routable(self) -> bool:
        """Whether new work may be sent to it."""
        agent = self.agent
        return not (
            self.report.leaving or agent.is_stopping or agent.is_suspect
        )


@dataclass(slots=True)
class AgentRecord:
    """One connected agent.

    Attributes:
        generation: Counts connections; messages of older ones are foreign.
        sequence: Of the last heartbeat heard.
        is_suspect: It has not answered a ping in time.
        heartbeat_interval_ms: How long it may leave between heartbeats.
        worker_boot: Empty while the agent's worker does not answer.
    """

    agent_id: str
    incarnation: str
    generation: int
    zone: str
    rack: str
    capacity: Resources
    free: Resources
    configuration_version: int
    heard_at: float
    heartbeat_interval_ms: float = 1000
    is_stopping: bool = False
    sequence: int = 0
    is_suspect: bool = False
    usage: tuple[TaskUsage, ...] = ()
    worker_boot: str = ''
    backend_by_id: dict[str, BackendView] = field(default_factory=dict)


class Fleet:
    """The connected agents by id, and their backend servers by service."""

    def __init__(self) -> None:
        """Start empty: agents dial in."""
        self._agent_by_id: dict[str, AgentRecord] = {}
        self._backends_by_service: dict[str, list[BackendView]] = {}
        self._generation = 0

    @property
    def agents(self) -> tuple[AgentRecord, ...]:
        """All connected agents, in the order of their ids."""
        return tuple(
            self._agent_by_id[agent_id]
            for agent_id in sorted(self._agent_by_id)
        )

    def agent(self, agent_id: str) -> AgentRecord | None:
        """Return a connected agent."""
        return self._agent_by_id.get(agent_id)

    def __len__(self) -> int:
        """Return how many agents are connected."""
        return len(self._agent_by_id)

    def lowest_version(self) -> int | None:
        """Return the lowest configuration version of an agent, if any."""
        return min(
            (
                record.configuration_version
                for record in self._agent_by_id.values()
            ),
            default=None,
        )

    def backends(self, service_name: str) -> list[BackendView]:
        """Return the known backend servers of a service."""
        return self._backends_by_service.get(service_name, [])

    def services(self) -> Iterator[str]:
        """Return the services that have a backend server."""
        return iter(sorted(self._backends_by_service))

    def connect(self, hello: Hello, now: float) -> AgentRecord:
        """Take in a new connection; it replaces an older one."""
        self._generation += 1
        self.disconnect(hello.agent_id)
        record = AgentRecord(
            agent_id=hello.agent_id,
            incarnation=hello.incarnation,
            generation=self._generation,
            zone=hello.zone,
            rack=hello.rack,
            capacity=hello.capacity,
            free=hello.capacity,
            configuration_version=hello.configuration_version,
            heard_at=now,
        )
        self._agent_by_id[hello.agent_id] = record
        return record

    def disconnect(self, agent_id: str) -> AgentRecord | None:
        """Forget an agent and its backends."""
        record = self._agent_by_id.pop(agent_id, None)
        if record is not None:
            record.backend_by_id.clear()
            self._reindex()
        return record

    def heartbeat(
        self,
        record: AgentRecord,
        beat: Heartbeat,
        now: float,
    ) -> None:
        """Take an agent's report of its own state; it is complete."""
        record.heard_at = now
        record.sequence = beat.sequence
        record.free = beat.free
        record.usage = beat.usage
        record.configuration_version = beat.configuration_version
        record.is_stopping = beat.stopping
        record.worker_boot = beat.worker_boot
        known = record.backend_by_id
        record.backend_by_id = {
            report.backend_id: self._view(record, known, report, now)
            for report in beat.backends
        }
        if known.keys() != record.backend_by_id.keys():
            self._reindex()

    def _view(
        self,
        record: AgentRecord,
        known: dict[str, BackendView],
        report: BackendReport,
        now: float,
    ) -> BackendView:
        view = known.get(report.backend_id)
        if view is None or view.report.service_name != report.service_name:
            return BackendView(record, report, reported_at=now, since=now)
        view.report = report
        view.reported_at = now
        return view

    def _reindex(self) -> None:
        self._backends_by_service.clear()
        for record in self._agent_by_id.values():
            for view in record.backend_by_id.values():
                self._backends_by_service.setdefault(
                    view.report.service_name,
                    [],
                ).append(view)
