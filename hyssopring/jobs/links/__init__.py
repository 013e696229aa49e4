"""Connections that carry the messages about jobs, on Twisted.

Agents and entries connect to entries.
"""

from hyssopring.jobs.links.dialler import LINK_TICK_INTERVAL_S, LinkDialler
from hyssopring.jobs.links.listener import LinkListener

__all__ = ('LINK_TICK_INTERVAL_S', 'LinkDialler', 'LinkListener')
