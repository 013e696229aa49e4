"""HTTP transport of the store queue, on Twisted."""

import json
import random
import uuid
from typing import Any, Callable

from result import Err, Ok, Result

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.errors import ErrorKind, Failure
from hyssopring.json_reader import read_json
from hyssopring.store.groups import Group
from hyssopring.store.queue import StoreLimits, StoreQueue
from hyssopring.store.rows import (
    Committed,
    Conflict,
    ReadCallback,
    Row,
)
from hyssopring.web_client import FetchedResponse, fetch, pooled_agent

__all__ = ('HttpTransport', 'store_queue')

_HTTP_OK = 200
_HTTP_CONFLICT = 409
_MAX_CONNECTIONS = 8
_IDLE_TIMEOUT_S = 240
# What reading a response of another form raises.
_MALFORMED = (ValueError, TypeError, LookupError, AttributeError)


class HttpTransport:
    """Transport that sends the queue's calls to the table service over HTTP."""

    def __init__(self, reactor: Any, url: str) -> None:
        """Initialize the transport; connections open on the first call."""
        self._reactor = reactor
        self._url = url.rstrip('/')
        self._agent = pooled_agent(reactor, _MAX_CONNECTIONS, _IDLE_TIMEOUT_S)

    def send_commit(
        self,
        group: Group,
        timeout_ms: float,
        done: Callable[[Result[Committed | Conflict, Failure]], None],
    ) -> None:
        """Send a group as one transaction; each row has its operation id."""
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
            _parse_outcome,
            done,
        )

    def send_read(
        self,
        prefix: str,
        timeout_ms: float,
        done: ReadCallback,
    ) -> None:
        """Send a read of all rows under a prefix."""
        self._call(
            'GET',
            f'/rows?prefix={prefix}',
            b'',
            timeout_ms,
            _parse_rows,
            done,
        )

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Call ``action`` after ``delay_ms``."""
        self._reactor.callLater(delay_ms / MILLIS_PER_SECOND, action)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: float,
        parse: Callable[[Any], Any],
        on_result: Callable[[Result[Any, Failure]], None],
    ) -> None:
        deferred = fetch(
            self._reactor,
            self._agent,
            method,
            self._url + path,
            body,
            timeout_ms,
            # In total, many rows over a slow link may take longer than this.
            silence_ms=timeout_ms,
        )
        deferred.addCallbacks(
            _parse_response, _transport_failure, callbackArgs=(parse,)
        )
        deferred.addCallback(on_result)


def store_queue(
    reactor: Any,
    clock: Clock,
    url: str,
    timeout_ms: float,
) -> StoreQueue:
    """Return a store queue that sends over HTTP to ``url``."""
    return StoreQueue(
        clock,
        HttpTransport(reactor, url),
        random.Random(uuid.uuid4().int),
        StoreLimits(timeout_ms=timeout_ms),
    )


def _parse_response(
    response: FetchedResponse, parse: Callable[[Any], Any]
) -> Result[Any, Failure]:
    if response.status not in {_HTTP_OK, _HTTP_CONFLICT}:
        detail = f'the table answered with status {response.status}'
        return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
    try:
        return Ok(parse(read_json(response.body)))
    except _MALFORMED as error:
        return Err(Failure(ErrorKind.STORE_UNAVAILABLE, repr(error)))


def _transport_failure(reason: Any) -> Result[Any, Failure]:
    detail = str(getattr(reason, 'value', reason))
    return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))


def _parse_rows(body: Any) -> list[Row]:
    return [Row(*fields) for fields in body['rows']]


def _parse_outcome(body: Any) -> Committed | Conflict:
    versions = body.get('versions')
    if versions is not None:
        return Committed(versions)
    return Conflict(tuple(_parse_rows(body)))
