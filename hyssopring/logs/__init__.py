"""Structured logs: numbered events written through loguru."""

from hyssopring.logs._emit import (
    Fields,
    configure_json_logging,
    configure_logging,
    level_of,
    listen_to_events,
    log_event,
)
from hyssopring.logs.events import Event

__all__ = (
    'Event',
    'Fields',
    'configure_json_logging',
    'configure_logging',
    'level_of',
    'listen_to_events',
    'log_event',
)
