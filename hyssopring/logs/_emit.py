"""Writes structured log lines through loguru.

A line is written for each routing decision, so its cost counts: the time of
day is formatted once a second here instead of once a line by the library, and
a line below the level is not put together at all.
"""

import json
import sys
import time
from types import MappingProxyType
from typing import Callable, Mapping

from loguru import logger

from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.logs.events import Event
from hyssopring.logs.line_writer import LineWriter

# The message carries its own time and level, see ``_Stamp``.
_LINE_FORMAT = '{message}'

Fields = Mapping[str, object]
Listener = Callable[[Event, Fields], None]

# Events that are not at the INFO level.
_LEVEL_BY_EVENT: Mapping[Event, str] = MappingProxyType(
    {
        Event.INVARIANT_VIOLATED: 'ERROR',
        Event.CONNECTION_SILENT: 'WARNING',
        Event.KEEPER_LOST: 'WARNING',
        Event.PEER_ERROR: 'WARNING',
        Event.SETTINGS_REFUSED: 'WARNING',
        Event.STORE_UNREACHABLE: 'WARNING',
        Event.TASK_GIVEN_UP: 'WARNING',
        Event.TASK_LAPSED: 'WARNING',
        Event.TASK_SUSPECTED: 'WARNING',
        Event.ADVICE_UNAVAILABLE: 'WARNING',
        Event.BACKEND_SIZE_UNKNOWN: 'WARNING',
        Event.TASK_UNKNOWN: 'WARNING',
        Event.TASK_WAITING: 'WARNING',
        Event.VM_OVERCOMMITTED: 'WARNING',
        Event.WORKER_CRASHED: 'WARNING',
        Event.WORKER_RESTARTED: 'WARNING',
        Event.WORKER_SILENT: 'WARNING',
        Event.REQUEST_ANSWERED: 'DEBUG',
    }
)
_NUMBER_BY_LEVEL: Mapping[str, int] = MappingProxyType(
    {
        level: logger.level(level).no
        for level in ('DEBUG', 'INFO', 'WARNING', 'ERROR')
    }
)


def configure_logging(level: str = 'INFO') -> None:
    """Send log lines of ``level`` and above to standard error."""
    _threshold.number = logger.level(level).no
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format=_LINE_FORMAT,
        backtrace=False,
        diagnose=False,
    )


def configure_json_logging(level: str = 'INFO') -> LineWriter:
    """Write one JSON object a line to standard output, never blocking."""
    _threshold.number = logger.level(level).no
    _threshold.is_json = True
    writer = LineWriter(sys.stdout.fileno())
    logger.remove()
    logger.add(
        writer.write,
        level=level,
        format=_LINE_FORMAT,
        backtrace=False,
        diagnose=False,
        catch=False,
    )
    return writer


class _Stamp:
    """The local time of day, to the millisecond."""

    def __init__(self) -> None:
        self._second = -1
        self._text = ''

    def read(self) -> str:
        now = time.time()
        second = int(now)
        if second != self._second:
            self._second = second
            self._text = time.strftime(
                '%Y-%m-%dT%H:%M:%S',
                time.localtime(second),
            )
        millis = int((now - second) * MILLIS_PER_SECOND)
        return f'{self._text}.{millis:03}'


class _Threshold:
    """The lowest level number that is written."""

    number = 0
    is_json = False


_listeners: list[Listener] = []
_stamp = _Stamp()
_threshold = _Threshold()


def listen_to_events(listener: Listener) -> None:
    """Give every event of this process to ``listener``, at any level."""
    _listeners.append(listener)


def level_of(event: Event) -> str:
    """Return the level at which an event is written."""
    return _LEVEL_BY_EVENT.get(event, 'INFO')


def log_event(event: Event, **fields: object) -> None:
    """Write one line: event number, event name, then ``key=value`` pairs."""
    level = level_of(event)
    if _NUMBER_BY_LEVEL[level] >= _threshold.number:
        render = _json_line if _threshold.is_json else _text_line
        logger.log(level, render(level, event, fields))
    for listener in _listeners:
        listener(event, fields)


def _text_line(level: str, event: Event, fields: Fields) -> str:
    pairs = ' '.join(
        [f'{name}={_quoted(field)}' for name, field in fields.items()]
    )
    return f'{_stamp.read()} {level:<7} E{event.value} {event.name} {pairs}'


def _json_line(level: str, event: Event, fields: Fields) -> str:
    line = {
        'at': _stamp.read(),
        'level': level,
        'event': event.value,
        'name': event.name,
        **fields,
    }
    return json.dumps(line, default=str)


def _quoted(field: object) -> str:
    text = str(field)
    if not text or ' ' in text or '\n' in text or '"' in text:
        escaped = text.replace('"', "'").replace('\n', ' ')
        return f'"{escaped}"'
    return text
