"""Accepts operators' changes and follows the table's change log.

Rows: ``configuration/head`` holds the newest version;
``configuration/item/<key>`` the newest document of each item;
``configuration/log/<version>`` one change each. A change commits all three
with checks on the head and on the item, so of two racing operators one wins
and the other is told the current version.
"""

import json
from dataclasses import dataclass
from typing import Callable, Sequence

from pydantic import ValidationError
from result import Err, Ok, Result

from hyssopring.configuration.models import MODEL_BY_KIND
from hyssopring.configuration.state import ConfigurationState
from hyssopring.errors import ErrorKind, Failure
from hyssopring.logs import Event, log_event
from hyssopring.protocol.messages import ConfigurationItem, ConfigurationUpdate
from hyssopring.store.rows import (
    Check,
    Committed,
    Conflict,
    Put,
    Row,
    Store,
    Transaction,
)

__all__ = ('AcceptedChange', 'ConfigurationChange', 'ConfigurationKeeper')

_HEAD = 'configuration/head'
_ITEMS = 'configuration/item/'
_MAX_RACES = 5

ChangeCallback = Callable[[Result['AcceptedChange', Failure]], None]


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """An operator's change; an empty document withdraws the item.

    ``expected_version`` is the item's version that the operator saw, 0 for
    a new item.
    """

    key: str
    expected_version: int
    document: str


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """The version that has this change in force."""

    version: int


class ConfigurationKeeper:
    """Keeps one process's configuration state in step with the table."""

    def __init__(
        self,
        state: ConfigurationState,
        store: Store,
        on_update: Callable[[ConfigurationUpdate], None],
    ) -> None:
        """Follow the table; tell ``on_update`` of each step forward."""
        self._state = state
        self._store = store
        self._on_update = on_update
        self._is_reading = False
        self._head_row_version = 0

    def poll(self) -> None:
        """Read the head; fetch the items when it has moved."""
        if self._is_reading:
            return
        self._is_reading = True
        self._store.read(_HEAD, self._head_read)

    def adopt(self, update: ConfigurationUpdate) -> bool:
        """Step forward by an update from the table or from a peer."""
        before = self._state.version
        if not self._state.apply(update):
            return False
        log_event(
            Event.CONFIGURATION_APPLIED,
            version=update.version,
            before=before,
            items=len(update.items),
        )
        self._on_update(self._state.update_since(before))
        return True

    def change(self, change: ConfigurationChange, done: ChangeCallback) -> None:
        """Validate and commit one change."""
        failure = _document_failure(change)
        if failure is not None:
            done(Err(failure))
            return
        _Attempt(self, self._store, change, done).start()

    def _head_read(self, answer: Result[Sequence[Row], Failure]) -> None:
        self._is_reading = False
        if answer.is_err():
            return
        for row in answer.unwrap():
            if row.document['version'] > self._state.version:
                self._is_reading = True
                self._store.read(_ITEMS, self._items_read)

    def _items_read(self, answer: Result[Sequence[Row], Failure]) -> None:
        self._is_reading = False
        if answer.is_err():
            return
        items = tuple(
            ConfigurationItem(
                row.key.removeprefix(_ITEMS),
                row.document['version'],
                row.document['document'],
            )
            for row in answer.unwrap()
        )
        newest = max((item.version for item in items), default=0)
        self.adopt(ConfigurationUpdate(0, newest, items))


class _Attempt:
    """One operator's change on its way through the table."""

    def __init__(
        self,
        owner: ConfigurationKeeper,
        store: Store,
        change: ConfigurationChange,
        done: ChangeCallback,
    ) -> None:
        self._owner = owner
        self._store = store
        self._change = change
        self._done = done
        self._races = 0

    def start(self) -> None:
        self._store.read('configuration/', self._read)

    def _read(self, answer: Result[Sequence[Row], Failure]) -> None:
        if answer.is_err():
            self._done(Err(answer.unwrap_err()))
            return
        rows_by_key = {row.key: row for row in answer.unwrap()}
        head = rows_by_key.get(_HEAD)
        item = rows_by_key.get(_ITEMS + self._change.key)
        found = (
            item.document['version']
            if item and item.document['document']
            else 0
        )
        if found != self._change.expected_version:
            self._refuse(found)
            return
        self._commit(head, item)

    def _commit(self, head: Row | None, item: Row | None) -> None:
        version = (head.document['version'] if head else 0) + 1
        key = _ITEMS + self._change.key
        transaction = Transaction(
            checks=(
                Check(_HEAD, head.version if head else 0),
                Check(key, item.version if item else 0),
            ),
            puts=(
                Put(_HEAD, {'version': version}),
                Put(
                    key,
                    {'version': version, 'document': self._change.document},
                ),
            ),
        )
        self._store.commit(
            transaction,
            lambda answer: self._committed(version, answer),
        )

    def _committed(
        self,
        version: int,
        answer: Result[Committed | Conflict, Failure],
    ) -> None:
        if answer.is_err():
            failure = answer.unwrap_err()
            self._done(Err(Failure(ErrorKind.OUTCOME_UNKNOWN, failure.detail)))
            return
        if isinstance(answer.unwrap(), Conflict):
            self._races += 1
            if self._races > _MAX_RACES:
                self._refuse(-1)
                return
            self.start()
            return
        log_event(
            Event.CONFIGURATION_ACCEPTED,
            key=self._change.key,
            version=version,
        )
        self._owner.poll()
        self._done(Ok(AcceptedChange(version)))

    def _refuse(self, found: int) -> None:
        log_event(
            Event.CONFIGURATION_CONFLICT,
            key=self._change.key,
            expected=self._change.expected_version,
            found=found,
        )
        detail = (
            f'{self._change.key} is at version {found}, '
            f'not {self._change.expected_version}'
        )
        self._done(Err(Failure(ErrorKind.CONFLICT, detail)))


def _document_failure(change: ConfigurationChange) -> Failure | None:
    kind, _, rest = change.key.partition('/')
    model = MODEL_BY_KIND.get(kind)
    depth = 2 if kind == 'parameters' else 1
    if model is None or len(rest.split('/')) != depth:
        return Failure(ErrorKind.INVALID, f'no such kind of item: {change.key}')
    if not change.document:
        return None
    try:
        model.model_validate_json(change.document)
    except ValidationError as error:
        return Failure(ErrorKind.INVALID, describe_validation(error))
    return None


def describe_validation(error: ValidationError) -> str:
    """Return one line that names each wrong key and what is allowed."""
    return '; '.join(
        '{0}: {1}, found {2}'.format(
            '.'.join(str(part) for part in problem['loc']) or 'document',
            problem['msg'],
            json.dumps(problem['input'], default=str),
        )
        for problem in error.errors()
    )
