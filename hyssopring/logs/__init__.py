"""Structured logs: numbered events written through loguru."""

from hyssopring.logs._emit import configure_logging, log_event
from hyssopring.logs.events import Event

__all__ = ('Event', 'configure_logging', 'log_event')
