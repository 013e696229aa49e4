"""JSON requests to the platform and to workers, with timeouts."""

import json
from dataclasses import dataclass
from typing import Any, Final

from twisted.internet.defer import Deferred

from hyssopring.json_reader import read_json
from hyssopring.web_client import FetchedResponse, fetch, pooled_agent

__all__ = ('JsonClient', 'JsonResponse', 'MalformedResponseError')

_JSON: Final = ('content-type', 'application/json')


class MalformedResponseError(Exception):
    """The body of a response is not a JSON object."""


@dataclass(frozen=True, slots=True)
class JsonResponse:
    """A status and the fields of the body; no fields for an empty body."""

    status: int
    fields: dict[str, Any]


class JsonClient:
    """Client of one server."""

    def __init__(
        self,
        reactor: Any,
        address: str,
        max_connections: int,
        idle_s: int,
    ) -> None:
        """Connect lazily to HOST:PORT."""
        self._reactor = reactor
        self._url = f'http://{address}'
        self._agent = pooled_agent(reactor, max_connections, idle_s)

    def call(
        self,
        method: str,
        path: str,
        fields: dict[str, Any] | None,
        timeout_ms: float,
        headers: tuple[tuple[str, str], ...] = (),
        silence_ms: float | None = None,
    ) -> Deferred:
        """Return a deferred ``JsonResponse``.

        It fails without a complete response. ``fetch`` explains the timeouts.
        """
        body = b'' if fields is None else json.dumps(fields).encode()
        call = fetch(
            self._reactor,
            self._agent,
            method,
            self._url + path,
            body,
            timeout_ms,
            (_JSON, *headers),
            silence_ms,
        )
        return call.addCallback(_parse)

    def close_idle(self) -> None:
        """Close idle connections, so that the next calls open new ones."""
        self._agent.close_idle()


def _parse(response: FetchedResponse) -> JsonResponse:
    if not response.body:
        return JsonResponse(response.status, {})
    try:
        fields = read_json(response.body)
    except ValueError as error:
        raise MalformedResponseError(str(error)) from error
    if not isinstance(fields, dict):
        raise MalformedResponseError('response body is not a JSON object')
    return JsonResponse(response.status, fields)
