"""A deployment without sockets, under a virtual clock, for tests and bench.

It connects the real cores of entries and agents, and the stand-ins of the
platform, by links that can be closed, silent or slow. It is deterministic: it
has one event queue and seeded random numbers.
"""

from standins.virtual.agent import AgentNode
from standins.virtual.backend import VirtualBackend
from standins.virtual.callers import VirtualCallers
from standins.virtual.deployment import BALANCER, NETWORK_MS, VirtualDeployment
from standins.virtual.entry import EntryNode
from standins.virtual.links import Link
from standins.virtual.loop import Loop, RateClock
from standins.virtual.process import Process
from standins.virtual.store import STORE_MS, STORE_TIMEOUT_MS, VirtualStore
from standins.virtual.worker import VirtualWorker

__all__ = (
    'AgentNode',
    'BALANCER',
    'EntryNode',
    'Link',
    'Loop',
    'NETWORK_MS',
    'Process',
    'RateClock',
    'STORE_MS',
    'STORE_TIMEOUT_MS',
    'VirtualBackend',
    'VirtualCallers',
    'VirtualDeployment',
    'VirtualStore',
    'VirtualWorker',
)
