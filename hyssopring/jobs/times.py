"""Timeouts of leases, grants and holds, shared by entries and agents.

The owner of a shard grants its agents the right to keep the shard's tasks
running, and the agents hold the tasks on their workers. Each of these rights
ends by itself if it is not renewed.
"""

from typing import Final

__all__ = (
    'CAPACITY_TTL_MS',
    'CLOCK_DRIFT',
    'ENTRY_HEARTBEAT_MS',
    'ENTRY_TIMEOUT_MS',
    'GRANT_EXPIRY_MS',
    'GRANT_MS',
    'HOLD_EXPIRY_MS',
    'HOLD_MS',
    'MAX_HOLD_MS',
    'OWNER_LEASE_MS',
    'REPORT_INTERVAL_MS',
    'ROSTER_WAIT_MS',
    'spaced_interval_ms',
)

# A worker's clock may be 2% slow. Each wait for a worker is this much longer.
CLOCK_DRIFT: Final = 0.02

# The interval of an entry's heartbeats; other entries take over its shards
# after three missed ones.
ENTRY_HEARTBEAT_MS: Final = 1000.0
ENTRY_TIMEOUT_MS: Final = 3000.0

# How long an owner continues without the store, so that starts go on meanwhile.
# It exceeds the longest observed outage (9 s). A successor that reaches all
# agents need not wait for it, because they refuse the older epoch at once.
OWNER_LEASE_MS: Final = 10_000.0

# How long an agent keeps tasks running without an owner, from its last report.
# The tasks of a lost VM start elsewhere after it. It is therefore as short as a
# restart of an owner allows, which takes 3 s until it is detected, and 2 s.
GRANT_MS: Final = 8000.0

# How long a worker keeps its tasks without its agent. A killed agent is back
# within 5 s.
HOLD_MS: Final = 6000.0

# The longest hold that a worker accepts. A hold that was set by the clock of a
# former incarnation may last as long.
MAX_HOLD_MS: Final = 10_000.0

# A worker that no agent has reached for this long runs no task.
HOLD_EXPIRY_MS: Final = HOLD_MS * (1 + CLOCK_DRIFT) + 200.0

# The age at which an announced capacity counts as none, because the worker may
# have shrunk since then. Workers announce their capacity every 1.5 s.
CAPACITY_TTL_MS: Final = 4000.0

# The interval of an agent's reports; it also reports changes at once.
REPORT_INTERVAL_MS: Final = 500.0

# An agent that has had no grant for this long runs no task.
GRANT_EXPIRY_MS: Final = GRANT_MS * (1 + CLOCK_DRIFT) + 200.0

# How long a new owner waits before it starts tasks that may still run beside an
# agent which it cannot reach: until both the former owner's lease and the
# agent's grant have expired.
ROSTER_WAIT_MS: Final = OWNER_LEASE_MS + GRANT_EXPIRY_MS

# The mean interval between the messages of a process by which it only shows a
# group of others that it runs.
_SPACING_MS: Final = 100.0


def spaced_interval_ms(count: int, longest_ms: float) -> float:
    """Return the interval of regular messages to each of many processes.

    Args:
        count: The number of processes that get such messages.
        longest_ms: The longest interval to return.
    """
    return max(REPORT_INTERVAL_MS, min(longest_ms, count * _SPACING_MS))
