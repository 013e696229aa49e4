"""Finds when the store was away from a process, in its log lines."""

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final, Sequence

from hyssopring.cli.log_lines import LogLine
from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.logs import Event

__all__ = ('Absence', 'find_absences', 'is_loss', 'millis_of')

_LOAD: Final = 'load'


@dataclass(frozen=True)
class Absence:
    """A time in which the store gave one process no answer."""

    since: datetime
    until: datetime
    source: str
    detail: str

    @classmethod
    def between(cls, lost: LogLine, until: datetime | None) -> 'Absence':
        """Return the time from a loss to a recovery, if there was one."""
        detail = str(lost.record.get('detail', 'unknown'))
        return cls(lost.at, until or datetime.max, lost.source, detail)

    @property
    def is_over(self) -> bool:
        """Whether the store answered again within the lines."""
        return self.until != datetime.max

    @property
    def millis(self) -> float:
        """How long it took; a loss without an end has no length."""
        return millis_of(self.until - self.since) if self.is_over else 0


def is_loss(line: LogLine) -> bool:
    """Tell whether a line begins or ends an absence of the store.

    An owner that cannot read its shard says so beside, with what it does.
    """
    if line.event == Event.STORE_UNREACHABLE:
        return line.record.get('doing') != _LOAD
    return line.event == Event.STORE_RECOVERED


def find_absences(lines: Sequence[LogLine]) -> list[Absence]:
    """Return when the store was away, for each process."""
    lost_by_source: dict[str, LogLine] = {}
    absences = []
    for line in filter(is_loss, lines):
        if line.event == Event.STORE_RECOVERED:
            lost = lost_by_source.pop(line.source, None)
            if lost is not None:
                absences.append(Absence.between(lost, line.at))
        else:
            lost_by_source.setdefault(line.source, line)
    absences.extend(
        Absence.between(lost, None) for lost in lost_by_source.values()
    )
    return absences


def millis_of(span: timedelta) -> float:
    """Return a span as clock milliseconds."""
    return span.total_seconds() * MILLIS_PER_SECOND
