"""The agents connected to an entry, and their backend servers.

Backend servers are not configured anywhere: agents connect and announce them.
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
    """State of a backend server as known to this entry.

    Attributes:
        report: The agent's latest report, received at ``reported_at``.
        since: When it was first reported to this entry, for slow start.
        in_flight: Number of attempts that callers of this entry wait for;
            routing counts unanswered calls itself.
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
    """A connected agent.

    Attributes:
        generation: Number of its connection; messages of connections with a
            lower number are ignored.
        last_received_at: When its last heartbeat was received.
        heartbeat_interval_ms: Maximum time between its heartbeats.
        sequence: Number of its last heartbeat.
        is_suspect: It has not responded to a ping in time.
        worker_boot: Incarnation of its worker; empty while the worker does
            not respond.
    """

    agent_id: str
    incarnation: str
    generation: int
    zone: str
    rack: str
    capacity: Resources
    free: Resources
    configuration_version: int
    last_received_at: float
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
        """Start without agents."""
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
        """Return a connected agent, or None."""
        return self._agent_by_id.get(agent_id)

    def __len__(self) -> int:
        """Return the number of connected agents."""
        return len(self._agent_by_id)

    def lowest_version(self) -> int | None:
        """Return the lowest configuration version among agents, if any."""
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

    def connect(self, hello: Hello, now_ms: float) -> AgentRecord:
        """Add an agent's connection; it replaces an older one."""
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
            last_received_at=now_ms,
        )
        self._agent_by_id[hello.agent_id] = record
        return record

    def disconnect(self, agent_id: str) -> AgentRecord | None:
        """Remove an agent and its backend servers."""
        record = self._agent_by_id.pop(agent_id, None)
        if record is not None:
            record.backend_by_id.clear()
            self._reindex()
        return record

    def heartbeat(
        self,
        record: AgentRecord,
        message: Heartbeat,
        now_ms: float,
    ) -> None:
        """Update an agent's state from its heartbeat.

        A heartbeat lists all backend servers; others are removed.
        """
        record.last_received_at = now_ms
        record.sequence = message.sequence
        record.free = message.free
        record.usage = message.usage
        record.configuration_version = message.configuration_version
        record.is_stopping = message.stopping
        record.worker_boot = message.worker_boot
        known_views = record.backend_by_id
        record.backend_by_id = {
            report.backend_id: self._updated_view(
                record, known_views, report, now_ms
            )
            for report in message.backends
        }
        if known_views.keys() != record.backend_by_id.keys():
            self._reindex()

    def _updated_view(
        self,
        record: AgentRecord,
        known_views: dict[str, BackendView],
        report: BackendReport,
        now_ms: float,
    ) -> BackendView:
        view = known_views.get(report.backend_id)
        if view is None or view.report.service_name != report.service_name:
            return BackendView(record, report, reported_at=now_ms, since=now_ms)
        view.report = report
        view.reported_at = now_ms
        return view

    def _reindex(self) -> None:
        self._backends_by_service.clear()
        for record in self._agent_by_id.values():
            for view in record.backend_by_id.values():
                self._backends_by_service.setdefault(
                    view.report.service_name,
                    [],
                ).append(view)
