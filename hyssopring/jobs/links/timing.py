"""Timeouts and encoding of the connections between processes."""

from typing import Callable, Final

from hyssopring.jobs.messages import JobsMessage, pack, unpack
from hyssopring.jobs.times import REPORT_INTERVAL_MS
from hyssopring.protocol.frames import Codec

__all__ = (
    'DELAY_TIMEOUT_MS',
    'LINK_CODEC',
    'MAX_INTERVAL_MS',
    'NEVER',
    'SILENCE_TIMEOUT_MS',
    'MessageHandler',
)

LINK_CODEC: Final = Codec(pack, unpack)

# Messages may arrive this long after their time, and responses after their
# requests: as long as three more reports take at the usual interval.
DELAY_TIMEOUT_MS: Final = 3 * REPORT_INTERVAL_MS
# Without a longer announced interval.
SILENCE_TIMEOUT_MS: Final = REPORT_INTERVAL_MS + DELAY_TIMEOUT_MS
# Longer announced intervals are not believed.
MAX_INTERVAL_MS: Final = 10_000.0
# Earlier than every time of the clock.
NEVER: Final = float('-inf')

# Called with the peer's ID and its message.
MessageHandler = Callable[[str, JobsMessage], None]
