"""How long rights last, in milliseconds; one table for entries and agents."""

from typing import Final

__all__ = (
    'OWNER_LEASE_MS',
    'CLOCK_DRIFT',
    'ENTRY_SILENT_MS',
    'GRANT_MS',
    'HOLD_MS',
    'HOLD_EXPIRY_MS',
    'LONGEST_HOLD_MS',
    'GRANT_EXPIRY_MS',
    'RENEW_MS',
    'REPORT_MS',
    'CAPACITY_TTL_MS',
    'ROSTER_WAIT_MS',
)

# A worker's clock may be 2% slow; this much is added to each wait for it.
CLOCK_DRIFT: Final = 0.02

# An entry shows this often that it lives; others act after three misses.
RENEW_MS: Final = 1000.0
ENTRY_SILENT_MS: Final = 3000.0

# How long an owner goes on without the store. Longer than the outages seen
# (up to 9 s): starts go on meanwhile. A successor that reaches all agents
# need not wait for it, as these refuse the older reign at once.
OWNER_LEASE_MS: Final = 10_000.0

# An agent that hears no owner keeps tasks alive this long after its report.
# A dead VM's tasks start elsewhere after it, so that it is as short as a
# restart of an owner (3 s until it is missed, and 2 s) allows.
GRANT_MS: Final = 8000.0

# A worker whose agent is gone keeps its tasks this long: an agent that is
# killed is back within 5 s.
HOLD_MS: Final = 6000.0

# A worker cuts every longer hold to this. One that was set by the clock of a
# former incarnation may last as long.
LONGEST_HOLD_MS: Final = 10_000.0

# A worker that no agent has reached for this long has nothing running.
HOLD_EXPIRY_MS: Final = HOLD_MS * (1 + CLOCK_DRIFT) + 200.0

# A worker announces its room each 1.5 s. One that was announced longer ago may
# have shrunk, and counts as none.
CAPACITY_TTL_MS: Final = 4000.0

# An agent reports this often, and at once when something changes.
REPORT_MS: Final = 500.0

# After this time without a grant an agent's tasks surely do not run.
GRANT_EXPIRY_MS: Final = GRANT_MS * (1 + CLOCK_DRIFT) + 200.0

# A new owner starts what may still run on an agent that it cannot reach
# only when neither the agent nor the former owner can have a right left.
ROSTER_WAIT_MS: Final = OWNER_LEASE_MS + GRANT_EXPIRY_MS
