"""Converts a caller's HTTP request into a call, or a failure if malformed.

The header ``Hyssopring-Deadline-Ms`` shortens the service's deadline, and
``Idempotency-Key`` identifies a request that may be submitted again.
"""

import re
from dataclasses import dataclass
from typing import Callable, Iterable

from result import Err, Ok, Result

from hyssopring.entry.calls import Call
from hyssopring.errors import ErrorKind, Failure
from hyssopring.protocol.messages import Header

__all__ = ('HttpRequest', 'call_from_http', 'end_to_end')

_SERVICE_PATH = re.compile('/([a-z0-9-]+/[a-z0-9-]+)(?:(/.*)|$)')
_TARGET = re.compile(rb'[\x21-\x7e]{1,8192}')
_ORIGIN = re.compile('https?://[^/?]*')
_METHOD = re.compile(rb'[A-Z]{1,20}')
_DEADLINE = re.compile('[1-9][0-9]{0,8}')
_KEY = re.compile('[\x21-\x7e]{1,255}')
# Headers that concern a single connection (RFC 9110, 7.6.1).
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
    """An HTTP request as received; header bytes are decoded as latin-1."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first header with this lower-case name, or None."""
        for header in self.headers:
            if header.name.lower() == name:
                return header.text.strip()
        return None


def call_from_http(
    request: HttpRequest,
    request_id: str,
    now_ms: float,
    max_deadline_ms: Callable[[str], float],
) -> Result[Call, Failure]:
    """Return the call of ``/<team>/<template>/<path>?<query>``.

    Args:
        request: The request as received.
        request_id: The new id of the request.
        now_ms: The time of receipt in clock milliseconds.
        max_deadline_ms: Returns the longest deadline of a service, in ms.

    Returns:
        The call, or a failure that names the malformed part.
    """
    if not _METHOD.fullmatch(request.method):
        return _malformed('the method')
    if not _TARGET.fullmatch(request.target):
        return _malformed('the address')
    target = _ORIGIN.sub('', request.target.decode('latin-1'), count=1)
    path, separator, query = target.partition('?')
    service_match = _SERVICE_PATH.match(path)
    if service_match is None:
        return Err(Failure(ErrorKind.NOT_FOUND, 'use /<team>/<template>/...'))
    deadline_header = request.header('hyssopring-deadline-ms')
    if deadline_header is not None and not _DEADLINE.fullmatch(deadline_header):
        return _malformed('Hyssopring-Deadline-Ms')
    key = request.header('idempotency-key')
    if key is not None and not _KEY.fullmatch(key):
        return _malformed('Idempotency-Key')
    longest_ms = max_deadline_ms(service_match[1])
    return Ok(
        Call(
            request_id=request_id,
            service_name=service_match[1],
            method=request.method.decode('latin-1'),
            path=(service_match[2] or '/') + separator + query,
            headers=end_to_end(request.headers),
            body=request.body,
            deadline=now_ms
            + min(longest_ms, float(deadline_header or longest_ms)),
            key=key or '',
        )
    )


def end_to_end(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers without those that concern a single connection."""
    headers = tuple(headers)
    listed_names = {
        name.strip().lower()
        for header in headers
        if header.name.lower() == 'connection'
        for name in header.text.split(',')
    }
    return tuple(
        header
        for header in headers
        if header.name.lower() not in _HOP_HEADERS | listed_names
    )


def _malformed(part: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.MALFORMED, part))
