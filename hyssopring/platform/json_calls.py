"""JSON calls to the platform and to workers, with a time limit each."""

import json
from dataclasses import dataclass
from typing import Any, Final

from twisted.internet.defer import Deferred

from hyssopring.web_client import FetchedResponse, fetch, pooled_agent

__all__ = ('JsonAnswer', 'JsonClient', 'UnreadableAnswer')

_JSON: Final = ('content-type', 'application/json')


class UnreadableAnswer(Exception):
    """An answer that holds no JSON object where one is due."""


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """A status and the fields of the body, none for an empty body."""

    status: int
    fields: dict[str, Any]


class JsonClient:
    """Calls one server."""

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
        """Return a deferred ``JsonAnswer``; fails if none came whole.

        For the time limits see ``fetch``.
        """
        body = b'' if fields is None else json.dumps(fields).encode()
        calling = fetch(
            self._reactor,
            self._agent,
            method,
            self._url + path,
            body,
            timeout_ms,
            (_JSON, *headers),
            silence_ms,
        )
        return calling.addCallback(_read)

    def close_idle(self) -> None:
        """Make the next calls on new connections."""
        self._agent.close_idle()


def _read(answer: FetchedResponse) -> JsonAnswer:
    if not answer.body:
        return JsonAnswer(answer.status, {})
    try:
        fields = json.loads(answer.body)
    except ValueError as error:
        raise UnreadableAnswer(str(error)) from error
    if not isinstance(fields, dict):
        raise UnreadableAnswer('no object')
    return JsonAnswer(answer.status, fields)
