"""Reads the operator's rows that evacuate availability zones."""

import json
from typing import Any, Callable, Container, Final

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.rows import Page, Row, RowStore
from hyssopring.logs import Event, log_event

__all__ = ('EvacuationReader', 'is_evacuation')

_TABLE: Final = 'op'
_KEY_PREFIX: Final = 'evacuate/'
# Backoff after a failed read, doubled up to the maximum.
_MIN_RETRY_S: Final = 0.2
_MAX_RETRY_S: Final = 0.8


def is_evacuation(row: Row) -> bool:
    """Return whether a row evacuates a zone, or did until it was removed."""
    return row.row_key.key.startswith(_KEY_PREFIX)


class EvacuationReader:
    """Reads all evacuation rows at one version of the store.

    A row evacuates its zone by its key alone, so that the zone is evacuated
    also if the value cannot be read. The rows are always read all together:
    a single change may be missed if the store has dropped its history, or
    follow a newer one.
    """

    def __init__(
        self,
        reactor: Any,
        store: RowStore,
        known_zones: Container[str],
        on_zones: Callable[[int, frozenset[str]], None],
    ) -> None:
        """Read nothing yet.

        Args:
            known_zones: The zones of the deployment; others are logged.
            on_zones: Called with a version of the store and the evacuated
                zones at that version.
        """
        self._reactor = reactor
        self._store = store
        self._known_zones = known_zones
        self._on_zones = on_zones
        self._is_reading = False
        self._is_outdated = False
        self._retry_s = _MIN_RETRY_S
        self._logged_keys: set[str] = set()

    def refresh(self) -> None:
        """Read the rows, after the read in progress if there is one."""
        self._is_outdated = True
        if not self._is_reading:
            self._read()

    def _read(self) -> None:
        self._is_reading = True
        self._is_outdated = False
        self._read_page(_KEY_PREFIX, ())

    def _read_page(self, first: str, earlier: tuple[Page, ...]) -> None:
        reading: Deferred = self._store.read(_TABLE, '', first)
        reading.addCallback(self._on_page, earlier)
        reading.addErrback(self._on_failed)

    def _on_page(self, page: Page, earlier: tuple[Page, ...]) -> None:
        pages = (*earlier, page)
        last_key = page.rows[-1].row_key.key if page.rows else ''
        if page.has_more and last_key.startswith(_KEY_PREFIX):
            self._read_page(f'{last_key}\0', pages)
            return
        zones = {
            zone
            for read_page in pages
            for row in read_page.rows
            if is_evacuation(row) and (zone := self._zone_of(row))
        }
        self._retry_s = _MIN_RETRY_S
        # A change between two pages is announced after the first page.
        self._on_zones(pages[0].version, frozenset(zones))
        self._finish()

    def _zone_of(self, row: Row) -> str:
        """Return the zone that a row evacuates, empty if it names none."""
        zone = row.row_key.key.removeprefix(_KEY_PREFIX)
        if zone not in self._known_zones:
            self._log_once(row, 'evacuates no zone of this deployment')
        elif not _is_object(row.text):
            self._log_once(row, 'value is no object; its zone is evacuated')
        return zone

    def _log_once(self, row: Row, detail: str) -> None:
        key = row.row_key.key
        if key not in self._logged_keys:
            self._logged_keys.add(key)
            log_event(Event.PEER_ERROR, peer=f'{_TABLE}/{key}', detail=detail)

    def _on_failed(self, failure: TwistedFailure) -> None:
        self._is_outdated = True
        log_event(
            Event.PEER_ERROR,
            peer=f'{_TABLE}/{_KEY_PREFIX}',
            detail=repr(failure.value),
        )
        self._reactor.callLater(self._retry_s, self._finish)
        self._retry_s = min(2 * self._retry_s, _MAX_RETRY_S)

    def _finish(self) -> None:
        self._is_reading = False
        if self._is_outdated:
            self._read()


def _is_object(text: str) -> bool:
    try:
        return isinstance(json.loads(text), dict)
    except (ValueError, RecursionError):
        return False
