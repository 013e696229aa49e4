"""Who is there: connected agents, their backend servers, and entries."""

from hyssopring.membership.fleet import AgentRecord, BackendView, Fleet

__all__ = ('AgentRecord', 'BackendView', 'Fleet')
