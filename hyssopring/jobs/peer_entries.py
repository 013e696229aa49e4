"""What an entry knows of the others, from their rows."""

from dataclasses import dataclass
from typing import Final, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.documents import EntryRow, FormerOwnerProcess, OwnerRow
from hyssopring.jobs.row_parser import RowParser
from hyssopring.jobs.rows import Row
from hyssopring.jobs.times import ENTRY_SILENT_MS, RENEW_MS

__all__ = ('PeerEntries',)

# After a longer gap between two readings of the store nothing can be said of
# the others' silence: they may have been kept from renewing, too.
_MAX_GAP_MS: Final = 1.8 * RENEW_MS
# Rows of entries that were silent for this long are removed.
_FORGET_MS: Final = 60_000.0


@dataclass(slots=True)
class _Seen:
    """Another entry's row, and since when it has not changed.

    ``has_renewed`` says that it changed while it was watched: after a restart
    of all, rows of entries that never come back look young.
    """

    row: EntryRow
    version: int
    since: float
    has_renewed: bool = False


class PeerEntries:
    """The other entries, and which of them live."""

    def __init__(self, clock: Clock, own_id: str) -> None:
        """Leave out the row of ``own_id``."""
        self._clock = clock
        self._own_id = own_id
        self._read_at: float | None = None
        self._seen_by_entry: dict[str, _Seen] = {}
        self._odd = RowParser()

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses of all entries that live, by id."""
        return {
            entry_id: seen.row.address
            for entry_id, seen in self._seen_by_entry.items()
            if self.is_live(entry_id)
        }

    def owner_of(self, shard: int) -> str:
        """Return the id of the entry that said last that it owns a shard."""
        for entry_id, seen in self._seen_by_entry.items():
            if shard in seen.row.shards and self.is_live(entry_id):
                return entry_id
        return ''

    def is_owner_live(self, former: OwnerRow, version: int) -> bool | None:
        """Whether the process in an owner row lives, None if not known.

        Args:
            former: The owner row.
            version: Its version. The row of an entry that names another
                process may be older than the owner row: read before that
                process had written its own, it says nothing of it.
        """
        seen = self._seen_by_entry.get(former.entry_id)
        if seen is None:
            return None
        if seen.row.incarnation != former.incarnation:
            return False if seen.version > version else None
        if seen.version > version or self.is_live(former.entry_id):
            return self.is_live(former.entry_id)
        # It has taken the shard since its last renewal that was read here: a
        # newer sign of life, after which it is given time to renew.
        return None

    def is_dead(self, reign: FormerOwnerProcess) -> bool:
        """Whether another process has followed a former owner's.

        Both have the same VM, so that the former one is dead. An entry's row
        is written on the version that its writer knows: no late write of a
        dead process can come after one of its successor. A reign of this
        entry itself was a former process's, or was given up by this one.
        """
        if reign.entry_id == self._own_id:
            return True
        seen = self._seen_by_entry.get(reign.entry_id)
        if seen is None or seen.row.incarnation == reign.incarnation:
            return False
        return seen.version > reign.version

    def is_live(self, entry_id: str) -> bool:
        """Whether a known entry's row has changed of late."""
        seen = self._seen_by_entry[entry_id]
        return self._clock.now() - seen.since < ENTRY_SILENT_MS

    def live_cores(self) -> dict[str, float]:
        """The processor time of the entries that were seen to renew."""
        return {
            entry_id: seen.row.cores
            for entry_id, seen in self._seen_by_entry.items()
            if seen.has_renewed and self.is_live(entry_id)
        }

    def read(self, rows: Iterable[Row]) -> list[Row]:
        """Take all entries' rows; return those of entries long gone."""
        now = self._clock.now()
        is_gap = self._read_at is None or now - self._read_at > _MAX_GAP_MS
        self._read_at = now
        by_entry = {row.row_key.key: row for row in rows}
        by_entry.pop(self._own_id, None)
        for gone in self._seen_by_entry.keys() - by_entry.keys():
            self._seen_by_entry.pop(gone)
        return [
            row
            for entry_id, row in by_entry.items()
            if self._is_long_gone(entry_id, row, now, is_gap)
        ]

    def _is_long_gone(
        self,
        entry_id: str,
        row: Row,
        now: float,
        is_gap: bool,
    ) -> bool:
        """Take one row; True if it has not changed for a minute."""
        seen = self._seen_by_entry.get(entry_id)
        if seen is None or seen.version != row.version:
            told = self._odd.parse(EntryRow.from_text, row)
            if told is None:
                # No sign of life: an entry that lives writes its row again
                # within ``RENEW_MS``; until then its former row holds.
                return False
            self._seen_by_entry[entry_id] = _Seen(
                told,
                row.version,
                now,
                has_renewed=seen is not None,
            )
            return False
        if is_gap:
            seen.since = now
        return now - seen.since > _FORGET_MS
