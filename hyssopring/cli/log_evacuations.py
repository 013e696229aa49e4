"""Finds the evacuations of zones in the logs of many processes."""

from datetime import datetime
from typing import Final, Sequence

from hyssopring.cli.log_lines import LogLine
from hyssopring.logs import Event

__all__ = ('find_evacuations', 'is_evacuation_event')

_EVENTS: Final = frozenset((Event.EVACUATION_BEGUN, Event.EVACUATION_ENDED))


def is_evacuation_event(line: LogLine) -> bool:
    """Return whether a line marks the begin or end of an evacuation."""
    return line.event in _EVENTS


def find_evacuations(
    lines: Sequence[LogLine], since: datetime, until: datetime
) -> list[LogLine]:
    """Return the changes in a span, and what was evacuated at its start.

    Each process logs a change; the first line of it is returned.

    Args:
        lines: Log lines, in order of time.
    """
    changes = _first_lines(lines)
    earlier_by_zone = {
        line.record.get('zone'): line for line in changes if line.at < since
    }
    in_force = [
        line
        for line in earlier_by_zone.values()
        if line.event == Event.EVACUATION_BEGUN
    ]
    return [*in_force, *(line for line in changes if since <= line.at <= until)]


def _first_lines(lines: Sequence[LogLine]) -> list[LogLine]:
    """Return the first line of each change."""
    first_by_change: dict[tuple[object, ...], LogLine] = {}
    for line in filter(is_evacuation_event, lines):
        record = line.record
        change = (line.event, record.get('zone'), record.get('version'))
        first_by_change.setdefault(change, line)
    return list(first_by_change.values())
