"""Finds the log lines about one job or task in the files of many processes.

Files may be hundreds of megabytes long and damaged, so only relevant lines
are kept in memory. Lines that are truncated or were not written by this
project are skipped, and counted if they match the subject's search pattern.
"""

import json
import pathlib
import re
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import datetime
from typing import IO, Any, Container, Final, Mapping, Sequence

from hyssopring.jobs.shards import shard_of
from hyssopring.logs import Event

__all__ = ('FoundLines', 'LogLine', 'Subject', 'find_lines', 'read_events')

# The log writer buffers at most 256 KiB, so it writes no longer line. Longer
# lines are read in pieces: data of other programs must not fill the memory.
_MAX_LINE_BYTES: Final = 256 * 1024
_RECORD_START: Final = re.compile(r'\{(?="at")')
# The name of a machine or process in the prefix that a log collector adds.
_PROCESS_NAME: Final = re.compile(r'(?<![\w.-])[A-Za-z][\w.-]*')
_SHARD_EVENTS: Final = frozenset(
    (
        Event.SHARD_ACQUIRED,
        Event.SHARD_LOST,
        Event.LEARNED_STATE_LOADED,
        Event.LEARNED_STATE_IGNORED,
    )
)
# Events of a process or an agent: relevant to every job that ran meanwhile.
_CONTEXT_EVENTS: Final = frozenset(
    (
        Event.STORE_UNREACHABLE,
        Event.STORE_RECOVERED,
        Event.AGENT_DISCONNECTED,
        Event.CONNECTION_SILENT,
        Event.AGENT_LEFT,
        Event.EVACUATION_BEGUN,
        Event.EVACUATION_ENDED,
        Event.SHARES_LIMITED,
        Event.WORKER_SLOW,
        Event.WORKER_RECOVERED,
    )
)
_KNOWN_EVENTS: Final = frozenset(Event)
_Record = Mapping[str, Any]


@dataclass(frozen=True)
class LogLine:
    """One event from a log file.

    Attributes:
        at: The local time of the process that wrote the line, without zone.
        source: The process name from the line's prefix, else the file name.
        event: The number of the event.
        record: The decoded JSON object.
    """

    at: datetime
    source: str
    event: int
    record: _Record


@dataclass(frozen=True)
class Subject:
    """The job, or one task of it, to explain.

    Attributes:
        job: The id of the job.
        task: The name of the task; empty for all tasks of the job.
    """

    job: str
    task: str = ''

    @property
    def shard(self) -> int | None:
        """The shard that plans the job; ``None`` if the job id is invalid."""
        try:
            return shard_of(self.job)
        except ValueError:
            return None

    def is_relevant(self, line: LogLine) -> bool:
        """Return whether a line names the subject or may explain it.

        Lines about the subject's shard, and about processes and agents, may
        explain it.
        """
        shard = line.record.get('shard')
        if shard is not None and line.event in _SHARD_EVENTS | _CONTEXT_EVENTS:
            return shard == self.shard
        return line.event in _CONTEXT_EVENTS or self.is_named_in(line)

    def is_named_in(self, line: LogLine) -> bool:
        """Return whether a line names the job itself, or the task."""
        if line.record.get('job') == self.job:
            return True
        return any(map(self._includes_task, _task_names(line.record)))

    def _includes_task(self, task: str) -> bool:
        if self.task:
            return task == self.task
        return task.partition('.')[0] == self.job

    def search_pattern(self) -> re.Pattern[bytes]:
        """Return a pattern that every relevant line matches, before parsing."""
        events = '|'.join(
            str(event.value) for event in _SHARD_EVENTS | _CONTEXT_EVENTS
        )
        job = re.escape(self.job)
        return re.compile(rf'{job}|"event": ?(?:{events})\b'.encode())


@dataclass
class FoundLines:
    """The relevant lines of all files.

    Attributes:
        lines: The lines, in order of time.
        malformed_count: Number of lines that match the search pattern and
            are truncated or not log lines of this project.
        skipped_by_path: Numbers of lines that were left out, by path and
            reason; only ``read_events`` counts them.
        paths_without_lines: Files in which it found no log line at all.
    """

    lines: list[LogLine] = field(default_factory=list)
    malformed_count: int = 0
    skipped_by_path: dict[str, Counter[str]] = field(default_factory=dict)
    paths_without_lines: list[str] = field(default_factory=list)


def find_lines(paths: Sequence[str], subject: Subject) -> FoundLines:
    """Find the lines about a subject in log files.

    Args:
        paths: The files, read one after the other.
        subject: The job or task to look for.

    Raises:
        OSError: A file cannot be read.
    """
    found = FoundLines()
    pattern = subject.search_pattern()
    for path in paths:
        file_name = pathlib.PurePath(path).name
        with open(path, 'rb') as stream:
            for raw in _raw_lines(stream):
                if pattern.search(raw):
                    _collect(raw, file_name, subject, found)
    found.lines.sort(key=lambda line: line.at)
    return found


def read_events(paths: Sequence[str], events: Container[int]) -> FoundLines:
    """Read the lines of some events, and count what cannot be read.

    Args:
        paths: The files, read one after the other.
        events: The numbers of the events.

    Raises:
        OSError: A file cannot be read.
    """
    found = FoundLines()
    for path in paths:
        found.skipped_by_path[path] = Counter()
        file_name = pathlib.PurePath(path).name
        has_lines = False
        with open(path, 'rb') as stream:
            for raw in _raw_lines(stream):
                lines = list(_parse(raw.decode(errors='replace'), file_name))
                has_lines = has_lines or bool(lines)
                found.lines.extend(
                    each for each in lines if each.event in events
                )
                reason = _reason_to_skip(raw, lines)
                if reason:
                    found.skipped_by_path[path][reason] += 1
        if not has_lines:
            found.paths_without_lines.append(path)
    found.lines.sort(key=lambda line: line.at)
    return found


def _reason_to_skip(raw: bytes, lines: list[LogLine]) -> str:
    """Return why a line is left out; empty if it is not."""
    if not lines:
        is_cut = _RECORD_START.search(raw.decode(errors='replace'))
        return 'cut' if is_cut else 'no log line of this program'
    if any(line.event not in _KNOWN_EVENTS for line in lines):
        return 'an event of another release'
    return ''


def _task_names(record: _Record) -> list[str]:
    """Return the tasks in the fields ``task`` and ``started``."""
    started = str(record.get('started', '')).split()
    names = [attempt.partition('/')[0] for attempt in started]
    return [str(record.get('task', '')), *names]


def _raw_lines(stream: IO[bytes]) -> Iterator[bytes]:
    return iter(lambda: stream.readline(_MAX_LINE_BYTES), b'')


def _collect(
    raw: bytes, file_name: str, subject: Subject, found: FoundLines
) -> None:
    lines = list(_parse(raw.decode(errors='replace'), file_name))
    if not lines:
        found.malformed_count += 1
    found.lines.extend(line for line in lines if subject.is_relevant(line))


def _parse(text: str, file_name: str) -> Iterator[LogLine]:
    """Yield the complete JSON objects of a line.

    A process that crashes while it writes leaves a truncated object without
    a line break; the first line of the next process then follows on it.
    """
    source = file_name
    for index, start in enumerate(_RECORD_START.finditer(text)):
        if index == 0:
            source = _process_name(text[: start.start()]) or file_name
        line = _decode_line(text[start.start() :], source)
        if line is not None:
            yield line


def _decode_line(text: str, source: str) -> LogLine | None:
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
    # Processes write local time without a zone; times with and without one
    # cannot be compared.
    return LogLine(at.replace(tzinfo=None), source, event, record)


def _process_name(prefix: str) -> str:
    return max(_PROCESS_NAME.findall(prefix), key=len, default='')
