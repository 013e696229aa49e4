"""Writes structured log lines through loguru."""

import sys
from typing import Callable, Mapping

from loguru import logger

from hyssopring.logs.events import Event

_LINE_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSS} {level:<7} {message}'

Fields = Mapping[str, object]
Listener = Callable[[Event, Fields], None]

_ERROR_EVENTS = frozenset((Event.INVARIANT_VIOLATED,))
_WARNING_EVENTS = frozenset(
    (
        Event.CONNECTION_SILENT,
        Event.KEEPER_LOST,
        Event.PEER_ERROR,
        Event.STORE_UNREACHABLE,
        Event.TASK_LAPSED,
        Event.VM_OVERCOMMITTED,
        Event.WORKER_SILENT,
        Event.TASK_UNKNOWN,
        Event.BACKEND_SIZE_UNKNOWN,
    )
)


def configure_logging(level: str = 'INFO') -> None:
    """Send log lines of ``level`` and above to standard error."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format=_LINE_FORMAT,
        backtrace=False,
        diagnose=False,
    )


_listeners: list[Listener] = []


def listen_to_events(listener: Listener) -> None:
    """Give every event of this process to ``listener``, at any level."""
    _listeners.append(listener)


def log_event(event: Event, **fields: object) -> None:
    """Write one line: event number, event name, then ``key=value`` pairs."""
    pairs = ' '.join(
        f'{name}={_quoted(field)}' for name, field in fields.items()
    )
    logger.log(_level(event), 'E{} {} {}', event.value, event.name, pairs)
    for listener in _listeners:
        listener(event, fields)


def _quoted(field: object) -> str:
    text = str(field)
    if not text or ' ' in text or '\n' in text or '"' in text:
        escaped = text.replace('"', "'").replace('\n', ' ')
        return f'"{escaped}"'
    return text


def _level(event: Event) -> str:
    if event in _ERROR_EVENTS:
        return 'ERROR'
    if event in _WARNING_EVENTS:
        return 'WARNING'
    return 'INFO'
