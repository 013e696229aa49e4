"""Finds the times in which a shard had no owner."""

from hyssopring.cli.log_lines import LogLine
from hyssopring.jobs.shards import shard_of
from hyssopring.logs import Event

__all__ = ('OwnerGaps', 'overlap_s')

_Span = tuple[float, float]


class OwnerGaps:
    """The times between two owners, by shard.

    An owner that crashes logs nothing: its time ends with its last line that
    was read.
    """

    def __init__(self) -> None:
        """Start without owners."""
        self._owner_by_shard: dict[int, str] = {}
        self._last_line_by_source: dict[str, float] = {}
        self._gaps_by_shard: dict[int, list[_Span]] = {}
        self._lost_by_shard: dict[int, float] = {}

    def add(self, line: LogLine, at_s: float) -> None:
        """Add a line; lines come in order of time."""
        shard = line.record.get('shard')
        if line.event == Event.PROCESS_STARTED:
            self._add_start(line.source)
        elif isinstance(shard, int) and line.event == Event.SHARD_LOST:
            self._lose(shard, at_s)
        elif isinstance(shard, int) and line.event == Event.SHARD_ACQUIRED:
            self._add_owner(shard, line.source, at_s)
        self._last_line_by_source[line.source] = at_s

    def of_job(self, job: str) -> list[_Span]:
        """Return the gaps of a job's shard."""
        try:
            shard = shard_of(job)
        except ValueError:
            return []
        return self._gaps_by_shard.get(shard, [])

    def _add_start(self, source: str) -> None:
        """An owner that starts anew has lost its shards."""
        for shard, owner in list(self._owner_by_shard.items()):
            if owner == source:
                self._lose(shard, self._last_line_by_source.get(source, 0))

    def _lose(self, shard: int, at_s: float) -> None:
        if self._owner_by_shard.pop(shard, None) is not None:
            self._lost_by_shard[shard] = at_s

    def _add_owner(self, shard: int, source: str, at_s: float) -> None:
        former = self._owner_by_shard.get(shard)
        if former is not None:
            self._lose(shard, self._last_line_by_source.get(former, at_s))
        since_s = self._lost_by_shard.pop(shard, at_s)
        self._gaps_by_shard.setdefault(shard, []).append((since_s, at_s))
        self._owner_by_shard[shard] = source


def overlap_s(gaps: list[_Span], since_s: float, until_s: float) -> float:
    """Return how many seconds of a span lie in the gaps."""
    return sum(
        max(0, min(until_s, end_s) - max(since_s, start_s))
        for start_s, end_s in gaps
    )
