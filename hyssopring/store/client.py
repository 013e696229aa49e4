"""The table service over HTTP (Twisted shell of the queue)."""

import json
import random
import uuid
from typing import Any, Callable

from result import Err, Ok, Result

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.errors import ErrorKind, Failure
from hyssopring.store.groups import Group
from hyssopring.store.queue import StoreQueue, StoreTimes
from hyssopring.store.rows import (
    Committed,
    Conflict,
    ReadCallback,
    Row,
)
from hyssopring.web_client import FetchedAnswer, fetch, pooled_agent

__all__ = ('HttpTransport', 'store_queue')

_OK = 200
_CONFLICT = 409
_MAX_CONNECTIONS = 8
_IDLE_S = 240


class HttpTransport:
    """Sends the queue's calls to the table service."""

    def __init__(self, reactor: Any, url: str) -> None:
        """Connect lazily to the table service at ``url``."""
        self._reactor = reactor
        self._url = url.rstrip('/')
        self._agent = pooled_agent(reactor, _MAX_CONNECTIONS, _IDLE_S)

    def send_commit(
        self,
        group: Group,
        timeout_ms: float,
        done: Callable[[Result[Committed | Conflict, Failure]], None],
    ) -> None:
        """Send one transaction; each row carries its own operation id."""
        document = {
            'checks': [[check.key, check.version] for check in group.checks],
            'puts': [
                [put.key, put.document, operation]
                for put, operation in group.puts
            ],
        }
        self._call(
            'POST',
            '/transactions',
            json.dumps(document).encode(),
            timeout_ms,
            lambda answer: done(answer.map(_outcome)),
        )

    def send_read(
        self,
        prefix: str,
        timeout_ms: float,
        done: ReadCallback,
    ) -> None:
        """Send one read."""
        self._call(
            'GET',
            f'/rows?prefix={prefix}',
            b'',
            timeout_ms,
            lambda answer: done(answer.map(_rows_of)),
        )

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Call ``action`` after a while."""
        self._reactor.callLater(delay_ms / MILLIS_PER_SECOND, action)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: float,
        finish: Callable[[Result[Any, Failure]], None],
    ) -> None:
        deferred = fetch(
            self._reactor,
            self._agent,
            method,
            self._url + path,
            body,
            timeout_ms,
            # All rows of a prefix may need longer on a narrow link.
            silence_ms=timeout_ms,
        )
        deferred.addCallbacks(_parsed, _failed)
        deferred.addCallback(finish)


def store_queue(
    reactor: Any,
    clock: Clock,
    url: str,
    timeout_ms: float,
) -> StoreQueue:
    """Return the store of a running entry."""
    return StoreQueue(
        clock,
        HttpTransport(reactor, url),
        random.Random(uuid.uuid4().int),
        StoreTimes(timeout_ms=timeout_ms),
    )


def _parsed(answer: FetchedAnswer) -> Result[Any, Failure]:
    if answer.status not in {_OK, _CONFLICT}:
        detail = f'the table answered with status {answer.status}'
        return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
    try:
        return Ok(json.loads(answer.body))
    except ValueError as error:
        return Err(Failure(ErrorKind.STORE_UNAVAILABLE, str(error)))


def _failed(reason: Any) -> Result[Any, Failure]:
    detail = str(getattr(reason, 'value', reason))
    return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))


def _rows_of(body: Any) -> list[Row]:
    return [Row(*fields) for fields in body['rows']]


def _outcome(body: Any) -> Committed | Conflict:
    versions = body.get('versions')
    if versions is not None:
        return Committed(versions)
    return Conflict(tuple(_rows_of(body)))
