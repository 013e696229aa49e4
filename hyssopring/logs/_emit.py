"""Writing of structured log lines through loguru.

A line is written for each routing decision, so its cost matters: the time of
day is formatted once a second here instead of once a line by the library, and
lines below the level are not formatted at all.
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

# The message already contains the time and the level, see ``_LocalClock``.
_LINE_FORMAT = '{message}'

Fields = Mapping[str, object]
Listener = Callable[[Event, Fields], None]

# All other events have the level INFO.
_LEVEL_BY_EVENT: Mapping[Event, str] = MappingProxyType(
    {
        Event.INVARIANT_VIOLATED: 'ERROR',
        Event.CANCELLATION_UNCONFIRMED: 'WARNING',
        Event.CANCELLED_TASK_FOUND: 'WARNING',
        Event.CONNECTION_SILENT: 'WARNING',
        Event.KEEPER_LOST: 'WARNING',
        Event.LEARNED_STATE_IGNORED: 'WARNING',
        Event.PEER_ERROR: 'WARNING',
        Event.SETTINGS_REFUSED: 'WARNING',
        Event.SETTING_UNUSED: 'WARNING',
        Event.STORE_UNREACHABLE: 'WARNING',
        Event.TASK_GIVEN_UP: 'WARNING',
        Event.TASK_LAPSED: 'WARNING',
        Event.TASK_SUSPECTED: 'WARNING',
        Event.WORKER_SLOW: 'WARNING',
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
_LEVEL_NUMBER_BY_NAME: Mapping[str, int] = MappingProxyType(
    {
        level: logger.level(level).no
        for level in ('DEBUG', 'INFO', 'WARNING', 'ERROR')
    }
)


def configure_logging(level: str = 'INFO') -> None:
    """Write log lines of ``level`` and above to standard error as text."""
    _output.min_level_number = logger.level(level).no
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format=_LINE_FORMAT,
        backtrace=False,
        diagnose=False,
    )


def configure_json_logging(level: str = 'INFO') -> LineWriter:
    """Write lines of ``level`` and above to standard output as JSON objects.

    Writing never blocks; see ``LineWriter``.
    """
    _output.min_level_number = logger.level(level).no
    _output.is_json = True
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


class _LocalClock:
    """Reads the local time as text, in milliseconds, and caches a second."""

    def __init__(self) -> None:
        self._second = -1
        self._formatted_second = ''

    def read(self) -> str:
        now_s = time.time()
        second = int(now_s)
        if second != self._second:
            self._second = second
            self._formatted_second = time.strftime(
                '%Y-%m-%dT%H:%M:%S',
                time.localtime(second),
            )
        millis = int((now_s - second) * MILLIS_PER_SECOND)
        return f'{self._formatted_second}.{millis:03}'


class _Output:
    """The configured format and lowest level of the lines written."""

    min_level_number = 0
    is_json = False


_listeners: list[Listener] = []
_clock = _LocalClock()
_output = _Output()


def listen_to_events(listener: Listener) -> None:
    """Call ``listener`` with every event of this process, at any level."""
    _listeners.append(listener)


def level_of(event: Event) -> str:
    """Return the name of the level at which an event is written."""
    return _LEVEL_BY_EVENT.get(event, 'INFO')


def log_event(event: Event, **fields: object) -> None:
    """Write one line with the event's number, its name and the fields.

    Listeners receive the event even if its level is not written.
    """
    level = level_of(event)
    if _LEVEL_NUMBER_BY_NAME[level] >= _output.min_level_number:
        format_line = _format_json if _output.is_json else _format_text
        logger.log(level, format_line(level, event, fields))
    for listener in _listeners:
        listener(event, fields)


def _format_text(level: str, event: Event, fields: Fields) -> str:
    pairs = ' '.join(
        [f'{name}={_quote(field)}' for name, field in fields.items()]
    )
    return f'{_clock.read()} {level:<7} E{event.value} {event.name} {pairs}'


def _format_json(level: str, event: Event, fields: Fields) -> str:
    line = {
        'at': _clock.read(),
        'level': level,
        'event': event.value,
        'name': event.name,
        **fields,
    }
    return json.dumps(line, default=str)


def _quote(field: object) -> str:
    text = str(field)
    if not text or ' ' in text or '\n' in text or '"' in text:
        escaped = text.replace('"', "'").replace('\n', ' ')
        return f'"{escaped}"'
    return text
