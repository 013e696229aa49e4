"""Liveness and owned shards of the other entries, from their rows."""

from dataclasses import dataclass
from typing import Final, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.documents import EntryRow, FormerOwnerProcess, OwnerRow
from hyssopring.jobs.row_parser import RowParser
from hyssopring.jobs.rows import Row
from hyssopring.jobs.times import ENTRY_HEARTBEAT_MS, ENTRY_TIMEOUT_MS

__all__ = ('PeerEntries',)

# After a longer gap between two reads of the store the other entries are not
# taken for silent: the store may have been unavailable to them, too.
_MAX_GAP_MS: Final = 1.8 * ENTRY_HEARTBEAT_MS
# Rows that were not renewed for this long are removed.
_FORGET_MS: Final = 60_000.0


@dataclass(slots=True)
class _PeerEntry:
    """The row of another entry.

    Attributes:
        unchanged_since: When the row was first read at this version, in ms of
            this process's clock; reset after a gap between reads.
        has_renewed: The row has changed while it was watched. After a restart
            of all entries, rows of entries that never return look fresh.
    """

    row: EntryRow
    version: int
    unchanged_since: float
    has_renewed: bool = False


class PeerEntries:
    """The other entries and whether they are live."""

    def __init__(self, clock: Clock, own_id: str) -> None:
        """Start with no entries; the row of ``own_id`` is ignored."""
        self._clock = clock
        self._own_id = own_id
        self._read_at: float | None = None
        self._peer_by_id: dict[str, _PeerEntry] = {}
        self._parser = RowParser()

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses of the live entries, by entry id."""
        return {
            entry_id: peer.row.address
            for entry_id, peer in self._peer_by_id.items()
            if self.is_live(entry_id)
        }

    def owner_of(self, shard: int) -> str:
        """Return the id of the live entry whose row lists a shard, or ''."""
        for entry_id, peer in self._peer_by_id.items():
            if shard in peer.row.shards and self.is_live(entry_id):
                return entry_id
        return ''

    def is_owner_live(self, owner_row: OwnerRow, version: int) -> bool | None:
        """Whether the process in an owner row is live; None if unknown.

        Args:
            owner_row: The owner row.
            version: Version of the owner row. An entry row that names
                another process may be older than the owner row, written
                before the owner's process started; it then proves nothing.
        """
        peer = self._peer_by_id.get(owner_row.entry_id)
        if peer is None:
            return None
        if peer.row.incarnation != owner_row.incarnation:
            return False if peer.version > version else None
        if peer.version > version or self.is_live(owner_row.entry_id):
            return self.is_live(owner_row.entry_id)
        # The owner row is newer than the last renewal read here, and shows
        # that the process was live then: give it time to renew.
        return None

    def is_replaced(self, former_owner: FormerOwnerProcess) -> bool:
        """Whether a former owner's process was replaced by another one.

        Both ran under one entry id on the same VM, so the former one is
        dead. An entry's row is written with a check of the version that the
        writer knows, so a late write of a dead process cannot replace one of
        its successor. A former owner with this entry's own id is an earlier
        process, or this one after it released the shard.
        """
        if former_owner.entry_id == self._own_id:
            return True
        peer = self._peer_by_id.get(former_owner.entry_id)
        if peer is None or peer.row.incarnation == former_owner.incarnation:
            return False
        return peer.version > former_owner.version

    def is_live(self, entry_id: str) -> bool:
        """Whether a known entry's row has changed recently."""
        peer = self._peer_by_id[entry_id]
        return self._clock.now() - peer.unchanged_since < ENTRY_TIMEOUT_MS

    def live_cores_by_entry(self) -> dict[str, float]:
        """Return the cores of live entries, by id.

        Only entries that have renewed their row while it was watched.
        """
        return {
            entry_id: peer.row.cores
            for entry_id, peer in self._peer_by_id.items()
            if peer.has_renewed and self.is_live(entry_id)
        }

    def update(self, rows: Iterable[Row]) -> list[Row]:
        """Update from all entries' rows.

        Returns:
            The rows of entries that have not renewed for a minute.
        """
        now_ms = self._clock.now()
        is_gap = self._read_at is None or now_ms - self._read_at > _MAX_GAP_MS
        self._read_at = now_ms
        row_by_id = {row.row_key.key: row for row in rows}
        row_by_id.pop(self._own_id, None)
        for removed_id in self._peer_by_id.keys() - row_by_id.keys():
            self._peer_by_id.pop(removed_id)
        return [
            row
            for entry_id, row in row_by_id.items()
            if self._update_peer(entry_id, row, now_ms, is_gap)
        ]

    def _update_peer(
        self,
        entry_id: str,
        row: Row,
        now_ms: float,
        is_gap: bool,
    ) -> bool:
        """Update from one row; return whether it is unchanged for a minute."""
        peer = self._peer_by_id.get(entry_id)
        if peer is None or peer.version != row.version:
            entry_row = self._parser.parse(EntryRow.from_text, row)
            if entry_row is None:
                # Keep the former row: a live entry writes its row again
                # within ``ENTRY_HEARTBEAT_MS``.
                return False
            self._peer_by_id[entry_id] = _PeerEntry(
                entry_row,
                row.version,
                now_ms,
                has_renewed=peer is not None,
            )
            return False
        if is_gap:
            peer.unchanged_since = now_ms
        return now_ms - peer.unchanged_since > _FORGET_MS
