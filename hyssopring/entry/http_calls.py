"""Turns a caller's HTTP request into a call, or says what is wrong with it.

The header ``Hyssopring-Deadline-Ms`` shortens the service's deadline, and
``Idempotency-Key`` names a request that may be submitted again.
"""

import re
from dataclasses import dataclass
from typing import Callable, Iterable

from result import Err, Ok, Result

from hyssopring.entry.calls import Call
from hyssopring.errors import ErrorKind, Failure
from hyssopring.protocol.messages import Header

__all__ = ('HttpRequest', 'call_from_http', 'end_to_end')

_SERVICE = re.compile('/([a-z0-9-]+/[a-z0-9-]+)(?:(/.*)|$)')
_TARGET = re.compile(rb'[\x21-\x7e]{1,8192}')
_ORIGIN = re.compile('https?://[^/?]*')
_METHOD = re.compile(rb'[A-Z]{1,20}')
_MILLIS = re.compile('[1-9][0-9]{0,8}')
_KEY = re.compile('[\x21-\x7e]{1,255}')
# Headers that belong to one hop, not to the message (RFC 9110, 7.6.1).
_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request as it was read; header bytes as latin-1 text."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first header of this lower-case name."""
        for header in self.headers:
            if header.name.lower() == name:
                return header.text.strip()
        return None


def call_from_http(
    request: HttpRequest,
    request_id: str,
    now: float,
    allowed_ms: Callable[[str], float],
) -> Result[Call, Failure]:
    """Return the call of ``/<team>/<template>/<path>?<query>``.

    Args:
        request: What the caller sent.
        request_id: Its fresh id.
        now: Clock milliseconds.
        allowed_ms: Gives the longest deadline of a service.
    """
    if not _METHOD.fullmatch(request.method):
        return _malformed('the method')
    if not _TARGET.fullmatch(request.target):
        return _malformed('the address')
    target = _ORIGIN.sub('', request.target.decode('latin-1'), count=1)
    path, mark, query = target.partition('?')
    match = _SERVICE.match(path)
    if match is None:
        return Err(Failure(ErrorKind.NOT_FOUND, 'use /<team>/<template>/...'))
    asked = request.header('hyssopring-deadline-ms')
    if asked is not None and not _MILLIS.fullmatch(asked):
        return _malformed('Hyssopring-Deadline-Ms')
    key = request.header('idempotency-key')
    if key is not None and not _KEY.fullmatch(key):
        return _malformed('Idempotency-Key')
    longest = allowed_ms(match[1])
    return Ok(
        Call(
            request_id=request_id,
            service_name=match[1],
            method=request.method.decode('latin-1'),
            path=(match[2] or '/') + mark + query,
            headers=end_to_end(request.headers),
            body=request.body,
            deadline=now + min(longest, float(asked or longest)),
            key=key or '',
        )
    )


def end_to_end(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers without those that belong to one hop."""
    headers = tuple(headers)
    nominated = {
        name.strip().lower()
        for header in headers
        if header.name.lower() == 'connection'
        for name in header.text.split(',')
    }
    return tuple(
        header
        for header in headers
        if header.name.lower() not in _HOP_HEADERS | nominated
    )


def _malformed(what: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.MALFORMED, what))
