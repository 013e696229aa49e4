"""Tells the story of a job or task from its log lines."""

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final, Iterable, Iterator, Sequence

from hyssopring.cli.log_absences import Absence, find_absences, is_loss
from hyssopring.cli.log_causes import likely_cause
from hyssopring.cli.log_lines import FoundLines, LogLine, Subject
from hyssopring.cli.log_sentences import sentence, shown_seconds
from hyssopring.logs import Event

__all__ = ('tell_story',)

# A process tells of a lost store when the first call fails, which may be the
# very call that got a job refused; processes' clocks differ as well. Assumed.
_MARGIN: Final = timedelta(seconds=1)
_SHARD_EVENTS: Final = frozenset((Event.SHARD_ACQUIRED, Event.SHARD_LOST))
_AGENT_EVENTS: Final = frozenset(
    (Event.AGENT_DISCONNECTED, Event.CONNECTION_SILENT, Event.AGENT_LEFT)
)


@dataclass(frozen=True)
class _Window:
    """The time of the subject's own lines, and the agents they name."""

    since: datetime
    until: datetime
    agents: frozenset[str]

    def has(self, line: LogLine) -> bool:
        """Tell whether a line of a shard or agent belongs to the story."""
        if not self.since <= line.at <= self.until:
            return False
        agent = line.record.get('agent')
        return line.event not in _AGENT_EVENTS or agent in self.agents


def tell_story(subject: Subject, found: FoundLines) -> list[str]:
    """Return a sentence a line, then the likely cause."""
    own = [line for line in found.lines if subject.owns(line)]
    if not own:
        return [_none_found(found)]
    window = _window(own)
    near = [
        line
        for line in found.lines
        if not is_loss(line) and (subject.owns(line) or window.has(line))
    ]
    near = [*_owner_before(found.lines, window.since), *near]
    away = [
        absence
        for absence in find_absences(found.lines)
        if absence.since <= window.until + _MARGIN
        and absence.until >= window.since - _MARGIN
    ]
    story = [*_told(near), *map(_told_absence, away)]
    story.sort(key=lambda told: told[0])
    cause = likely_cause(near, away)
    return [*(text for _, text in story), *_unread(found), cause]


def _owner_before(
    lines: Sequence[LogLine],
    since: datetime,
) -> Sequence[LogLine]:
    """Return the last word on the shard before the story begins, if any."""
    earlier = [
        line
        for line in lines
        if line.event in _SHARD_EVENTS and line.at < since
    ]
    return earlier[-1:]


def _window(own: Sequence[LogLine]) -> _Window:
    events = {line.event for line in own}
    is_refused = events == {Event.REQUEST_REFUSED}
    is_over = is_refused or Event.JOB_FINISHED in events
    agents = frozenset(str(line.record.get('agent', '')) for line in own)
    until = own[-1].at if is_over else datetime.max - _MARGIN
    return _Window(own[0].at, until, agents)


def _told(lines: Iterable[LogLine]) -> Iterator[tuple[datetime, str]]:
    for line in lines:
        yield line.at, _shown(line.at, line.source, sentence(line))


def _told_absence(absence: Absence) -> tuple[datetime, str]:
    if absence.is_over:
        span = shown_seconds(absence.millis)
        text = f'the store was away for {span}: {absence.detail}'
    else:
        text = f'the store went away and did not return: {absence.detail}'
    return absence.since, _shown(absence.since, absence.source, text)


def _shown(at: datetime, source: str, text: str) -> str:
    return f'{at.isoformat(timespec="milliseconds")} {source}: {text}'


def _unread(found: FoundLines) -> Iterator[str]:
    if found.unread:
        yield (
            f'{found.unread} lines that may matter are cut or foreign '
            + 'and left out'
        )


def _none_found(found: FoundLines) -> str:
    text = 'no line names it: it did not reach these processes'
    if found.unread:
        return f'{text}, or only in {found.unread} lines that are cut'
    return text
