"""Finds the times when a process could not reach the store."""

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final, Sequence

from hyssopring.cli.log_lines import LogLine
from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.logs import Event

__all__ = ('StoreOutage', 'find_outages', 'is_outage_event', 'millis_of')

# Value of `doing` when an owner failed to read its shard.
_LOAD: Final = 'load'


@dataclass(frozen=True)
class StoreOutage:
    """A time in which one process could not reach the store.

    Attributes:
        since: The time of the first failed call.
        until: The time of the recovery; ``datetime.max`` if none was logged.
        source: The name of the process.
        detail: The error of the first failed call.
    """

    since: datetime
    until: datetime
    source: str
    detail: str

    @classmethod
    def between(cls, failure: LogLine, until: datetime | None) -> 'StoreOutage':
        """Build from the line of the failure and the time of the recovery."""
        detail = str(failure.record.get('detail', 'unknown'))
        return cls(failure.at, until or datetime.max, failure.source, detail)

    @property
    def is_over(self) -> bool:
        """Whether a recovery was logged."""
        return self.until != datetime.max

    @property
    def millis(self) -> float:
        """The length in milliseconds; 0 if no recovery was logged."""
        return millis_of(self.until - self.since) if self.is_over else 0


def is_outage_event(line: LogLine) -> bool:
    """Return whether a line marks the start or the end of an outage.

    An owner that fails to read its shard logs the same event with another
    value of `doing`; such a line marks no outage of the process.
    """
    if line.event == Event.STORE_UNREACHABLE:
        return line.record.get('doing') != _LOAD
    return line.event == Event.STORE_RECOVERED


def find_outages(lines: Sequence[LogLine]) -> list[StoreOutage]:
    """Return the outages of each process, in no order."""
    failure_by_source: dict[str, LogLine] = {}
    outages = []
    for line in filter(is_outage_event, lines):
        if line.event == Event.STORE_RECOVERED:
            failure = failure_by_source.pop(line.source, None)
            if failure is not None:
                outages.append(StoreOutage.between(failure, line.at))
        else:
            failure_by_source.setdefault(line.source, line)
    outages.extend(
        StoreOutage.between(failure, None)
        for failure in failure_by_source.values()
    )
    return outages


def millis_of(span: timedelta) -> float:
    """Return the length of a span in milliseconds."""
    return span.total_seconds() * MILLIS_PER_SECOND
