"""Finds the lines about one job or task in the logs of many processes.

Files may be hundreds of megabytes long and damaged: only the lines that are
wanted are kept, and whatever is no whole line of ours is passed over. Such
lines are counted where they look as if they were about the subject.
"""

import json
import pathlib
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import datetime
from typing import IO, Any, Final, Mapping, Sequence

from hyssopring.jobs.shards import shard_of
from hyssopring.logs import Event

__all__ = ('FoundLines', 'LogLine', 'Subject', 'find_lines')

# The writer keeps at most 256 KiB of lines, so that no line of ours is longer;
# a longer one is read in pieces, so that foreign data cannot fill the memory.
_MAX_LINE_BYTES: Final = 256 * 1024
_START: Final = re.compile(r'\{(?="at")')
# A machine's or process's name in what a collector writes before the object.
_NAME: Final = re.compile(r'(?<![\w.-])[A-Za-z][\w.-]*')
_SHARD_EVENTS: Final = frozenset((Event.SHARD_ACQUIRED, Event.SHARD_LOST))
# Told of a process or an agent: they matter to every job of their time.
_CONTEXT_EVENTS: Final = frozenset(
    (
        Event.STORE_UNREACHABLE,
        Event.STORE_RECOVERED,
        Event.AGENT_DISCONNECTED,
        Event.CONNECTION_SILENT,
        Event.AGENT_LEFT,
    )
)
_Record = Mapping[str, Any]


@dataclass(frozen=True)
class LogLine:
    """One event as a process wrote it.

    Attributes:
        at: The process's local time.
        source: The name before the object, else the file's.
    """

    at: datetime
    source: str
    event: int
    record: _Record


@dataclass(frozen=True)
class Subject:
    """What is asked about: a job, or one task of it."""

    job: str
    task: str = ''

    @property
    def shard(self) -> int | None:
        """The shard that plans the job; none if its id is not of ours."""
        try:
            return shard_of(self.job)
        except ValueError:
            return None

    def concerns(self, line: LogLine) -> bool:
        """Tell whether a line is of the subject, its shard or its time."""
        shard = line.record.get('shard')
        if shard is not None and line.event in _SHARD_EVENTS | _CONTEXT_EVENTS:
            return shard == self.shard
        return line.event in _CONTEXT_EVENTS or self.owns(line)

    def owns(self, line: LogLine) -> bool:
        """Tell whether a line names the job itself, or the task."""
        if line.record.get('job') == self.job:
            return True
        return any(map(self._is_named, _tasks(line.record)))

    def _is_named(self, task: str) -> bool:
        if self.task:
            return task == self.task
        return task.partition('.')[0] == self.job

    def pattern(self) -> re.Pattern[bytes]:
        """Return what a line holds that may be wanted; quick to search."""
        events = '|'.join(
            str(event.value) for event in _SHARD_EVENTS | _CONTEXT_EVENTS
        )
        job = re.escape(self.job)
        return re.compile(rf'{job}|"event": ?(?:{events})\b'.encode())


@dataclass
class FoundLines:
    """The wanted lines in order of time.

    Attributes:
        unread: Lines that name the subject, or an event that matters to it,
            and are cut or not of ours.
    """

    lines: list[LogLine] = field(default_factory=list)
    unread: int = 0


def find_lines(paths: Sequence[str], subject: Subject) -> FoundLines:
    """Read files one after the other; an unreadable one raises OSError."""
    found = FoundLines()
    pattern = subject.pattern()
    for path in paths:
        name = pathlib.PurePath(path).name
        with open(path, 'rb') as stream:
            for raw in _raw_lines(stream):
                if pattern.search(raw):
                    _take(raw, name, subject, found)
    found.lines.sort(key=lambda line: line.at)
    return found


def _tasks(record: _Record) -> list[str]:
    """Return the tasks that a line names: its own, or several attempts'."""
    started = str(record.get('started', '')).split()
    names = [attempt.partition('/')[0] for attempt in started]
    return [str(record.get('task', '')), *names]


def _raw_lines(stream: IO[bytes]) -> Iterator[bytes]:
    return iter(lambda: stream.readline(_MAX_LINE_BYTES), b'')


def _take(raw: bytes, name: str, subject: Subject, found: FoundLines) -> None:
    lines = list(_parse(raw.decode(errors='replace'), name))
    if not lines:
        found.unread += 1
    found.lines.extend(line for line in lines if subject.concerns(line))


def _parse(text: str, name: str) -> Iterator[LogLine]:
    """Return the whole objects of a line.

    There may be two: a process that died within a line leaves its start, and
    the next one's first line follows on it.
    """
    source = name
    for index, start in enumerate(_START.finditer(text)):
        if index == 0:
            source = _source(text[: start.start()]) or name
        line = _line_of(text[start.start() :], source)
        if line is not None:
            yield line


def _line_of(text: str, source: str) -> LogLine | None:
    try:
        record = json.JSONDecoder().raw_decode(text)[0]
    except (ValueError, RecursionError):
        return None
    event, stamp = record.get('event'), record.get('at')
    if not isinstance(event, int) or not isinstance(stamp, str):
        return None
    try:
        at = datetime.fromisoformat(stamp)
    except ValueError:
        return None
    # A collector's zone would not compare with the local time of ours.
    return LogLine(at.replace(tzinfo=None), source, event, record)


def _source(prefix: str) -> str:
    return max(_NAME.findall(prefix), key=len, default='')
