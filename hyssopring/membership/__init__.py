"""Membership: connected agents, their backend servers, and entries."""

from hyssopring.membership.directory import EntryDirectory
from hyssopring.membership.fleet import AgentRecord, BackendView, Fleet
from hyssopring.membership.heartbeat_timing import (
    heartbeat_interval_ms,
    silence_timeout_ms,
)
from hyssopring.membership.incarnations import IncarnationGuard
from hyssopring.membership.roster import EntryRoster

__all__ = (
    'AgentRecord',
    'BackendView',
    'EntryDirectory',
    'EntryRoster',
    'Fleet',
    'IncarnationGuard',
    'heartbeat_interval_ms',
    'silence_timeout_ms',
)
