"""Calls an entry's operators' port, blocking."""

import json
from http.client import HTTPConnection, HTTPException
from typing import Any, Mapping

from result import Err, Ok, Result

from hyssopring.addresses import parse_address
from hyssopring.cli.exits import CommandFailure, ExitCode

__all__ = ('Answer', 'OperatorClient')

_TIMEOUT_S = 10
_OK = 200
# Characters that would break the request line rather than name an item.
_FORBIDDEN = frozenset(' \t\r\n?#%')

Answer = Result[Mapping[str, Any], CommandFailure]


class OperatorClient:
    """One entry's operators' port."""

    def __init__(self, address: str, token: str) -> None:
        """Call ``address`` (host:port) with the operators' token."""
        self.address = address
        self._token = token

    def at(self, address: str) -> 'OperatorClient':
        """Return a client of another entry with the same token."""
        return OperatorClient(address, self._token)

    def put(self, key: str, document: str, version: int) -> Answer:
        """Submit or change one configuration item."""
        path = f'configuration/{key}'
        return self._call('PUT', path, document, {'If-Match': str(version)})

    def delete(self, key: str, version: int) -> Answer:
        """Withdraw one configuration item."""
        path = f'configuration/{key}'
        return self._call('DELETE', path, '', {'If-Match': str(version)})

    def post_job(self, submission: Mapping[str, Any]) -> Answer:
        """Submit a batch job."""
        return self._call('POST', 'jobs', json.dumps(submission), {})

    def cancel(self, path: str) -> Answer:
        """Cancel ``jobs/<id>`` or ``tasks/<id>``."""
        return self._call('DELETE', path, '', {})

    def get(self, path: str) -> Answer:
        """Read a page."""
        return self._call('GET', path, '', {})

    def _call(
        self,
        method: str,
        path: str,
        body: str,
        headers: Mapping[str, str],
    ) -> Answer:
        if _FORBIDDEN & set(path):
            return _usage(f'{path}: not a name')
        host, port = parse_address(self.address)
        connection = HTTPConnection(host, port, timeout=_TIMEOUT_S)
        try:  # noqa: WPS229 -- each step may lose the connection
            connection.request(
                method,
                f'/v1/{path}',
                body.encode(),
                {'Authorization': f'Bearer {self._token}', **headers},
            )
            response = connection.getresponse()
            text = response.read().decode()
        except (OSError, HTTPException, ValueError) as error:
            line = f'{self.address}: {str(error) or type(error).__name__}'
            return Err(CommandFailure(ExitCode.UNREACHABLE, line))
        finally:
            connection.close()
        return _answer(response.status, text)


def _answer(status: int, text: str) -> Answer:
    try:
        document = json.loads(text)
    except ValueError:
        line = f'{status}: the answer is not JSON'
        return Err(CommandFailure(ExitCode.REFUSED, line))
    if status == _OK:
        return Ok(document)
    kind = document.get('error', status)
    line = f'{kind}: {document.get("detail", "")}'
    after_ms = document.get('retry_after_ms')
    if after_ms:
        line = f'{line}; come back in {after_ms} ms'
    if document.get('ran') == 'unknown':
        line = f'{line}; whether it took effect is unknown'
        return Err(CommandFailure(ExitCode.UNREACHABLE, line))
    return Err(CommandFailure(ExitCode.REFUSED, line))


def _usage(line: str) -> Answer:
    return Err(CommandFailure(ExitCode.USAGE, line))
