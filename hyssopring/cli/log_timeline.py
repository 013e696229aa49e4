"""Builds the timeline of a job or task from log lines."""

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final, Iterable, Iterator, Sequence

from hyssopring.cli.log_causes import likely_cause
from hyssopring.cli.log_evacuations import (
    find_evacuations,
    is_evacuation_event,
)
from hyssopring.cli.log_lines import FoundLines, LogLine, Subject
from hyssopring.cli.log_outages import (
    StoreOutage,
    find_outages,
    is_outage_event,
)
from hyssopring.cli.log_sentences import describe_line, format_seconds
from hyssopring.logs import Event

__all__ = ('build_timeline',)

# A process logs an outage of the store when the first call fails, which may
# be the call for which a job was refused; clocks of processes differ as well.
_MARGIN: Final = timedelta(seconds=1)
_SHARD_EVENTS: Final = frozenset((Event.SHARD_ACQUIRED, Event.SHARD_LOST))
_AGENT_EVENTS: Final = frozenset(
    (
        Event.AGENT_DISCONNECTED,
        Event.CONNECTION_SILENT,
        Event.AGENT_LEFT,
        Event.WORKER_SLOW,
        Event.WORKER_RECOVERED,
    )
)


@dataclass(frozen=True)
class _Window:
    """The time of the lines that name the subject, and their agents."""

    since: datetime
    until: datetime
    agents: frozenset[str]

    def includes(self, line: LogLine) -> bool:
        """Return whether a line of a shard or agent is part of the timeline."""
        if not self.since <= line.at <= self.until:
            return False
        agent = line.record.get('agent')
        return line.event not in _AGENT_EVENTS or agent in self.agents


def build_timeline(subject: Subject, found: FoundLines) -> list[str]:
    """Return the timeline as text.

    Args:
        subject: The job or task.
        found: The relevant lines.

    Returns:
        One sentence for each event, in order of time, then the likely cause.
    """
    own_lines = [line for line in found.lines if subject.is_named_in(line)]
    if not own_lines:
        return [_describe_no_lines(found)]
    window = _window_of(own_lines)
    in_window = [
        line
        for line in found.lines
        if not is_outage_event(line)
        and not is_evacuation_event(line)
        and (subject.is_named_in(line) or window.includes(line))
    ]
    shown = [
        *_last_owner_line(found.lines, window.since),
        *find_evacuations(found.lines, window.since, window.until),
        *in_window,
    ]
    outages = [
        outage
        for outage in find_outages(found.lines)
        if outage.since <= window.until + _MARGIN
        and outage.until >= window.since - _MARGIN
    ]
    entries = [*_line_entries(shown), *map(_outage_entry, outages)]
    entries.sort(key=lambda entry: entry[0])
    cause = likely_cause(shown, outages)
    return [*(text for _, text in entries), *_malformed_note(found), cause]


def _last_owner_line(
    lines: Sequence[LogLine],
    since: datetime,
) -> Sequence[LogLine]:
    """Return the last change of owner before a time, if there was one."""
    earlier = [
        line
        for line in lines
        if line.event in _SHARD_EVENTS and line.at < since
    ]
    return earlier[-1:]


def _window_of(own_lines: Sequence[LogLine]) -> _Window:
    events = {line.event for line in own_lines}
    is_refused = events == {Event.REQUEST_REFUSED}
    is_over = is_refused or Event.JOB_FINISHED in events
    agents = frozenset(str(line.record.get('agent', '')) for line in own_lines)
    until = own_lines[-1].at if is_over else datetime.max - _MARGIN
    return _Window(own_lines[0].at, until, agents)


def _line_entries(lines: Iterable[LogLine]) -> Iterator[tuple[datetime, str]]:
    for line in lines:
        yield line.at, _render(line.at, line.source, describe_line(line))


def _outage_entry(outage: StoreOutage) -> tuple[datetime, str]:
    if outage.is_over:
        span = format_seconds(outage.millis)
        text = f'the store was away for {span}: {outage.detail}'
    else:
        text = f'the store went away and did not return: {outage.detail}'
    return outage.since, _render(outage.since, outage.source, text)


def _render(at: datetime, source: str, text: str) -> str:
    return f'{at.isoformat(timespec="milliseconds")} {source}: {text}'


def _malformed_note(found: FoundLines) -> Iterator[str]:
    if found.malformed_count:
        yield (
            f'{found.malformed_count} lines that may matter are cut or foreign '
            + 'and left out'
        )


def _describe_no_lines(found: FoundLines) -> str:
    text = 'no line names it: it did not reach these processes'
    if found.malformed_count:
        return f'{text}, or only in {found.malformed_count} lines that are cut'
    return text
