"""A blocking HTTP client of the operator API of an entry."""

import json
from http.client import HTTPConnection, HTTPException
from typing import Any, Mapping

from result import Err, Ok, Result

from hyssopring.addresses import parse_address
from hyssopring.cli.exits import CommandFailure, ExitCode

__all__ = ('CallResult', 'OperatorClient')

_TIMEOUT_S = 10
_OK = 200
# Characters that no name contains and that would change the request line.
_FORBIDDEN_IN_PATH = frozenset(' \t\r\n?#%')

CallResult = Result[Mapping[str, Any], CommandFailure]


class OperatorClient:
    """The operator API of one entry.

    Methods return the JSON document of the response, or the failure.
    """

    def __init__(self, address: str, token: str) -> None:
        """Create a client.

        Args:
            address: The entry's operator address (host:port).
            token: The operators' token.
        """
        self.address = address
        self._token = token

    def at(self, address: str) -> 'OperatorClient':
        """Return a client of another entry with the same token."""
        return OperatorClient(address, self._token)

    def put(self, key: str, document: str, version: int) -> CallResult:
        """Submit or change one configuration item.

        Args:
            key: The key of the item.
            document: The item as JSON.
            version: The item's current version; 0 if it is new.
        """
        path = f'configuration/{key}'
        return self._call('PUT', path, document, {'If-Match': str(version)})

    def delete(self, key: str, version: int) -> CallResult:
        """Withdraw one configuration item that is at ``version``."""
        path = f'configuration/{key}'
        return self._call('DELETE', path, '', {'If-Match': str(version)})

    def post_job(self, submission: Mapping[str, Any]) -> CallResult:
        """Submit a batch job."""
        return self._call('POST', 'jobs', json.dumps(submission), {})

    def cancel(self, path: str) -> CallResult:
        """Cancel ``jobs/<id>`` or ``tasks/<id>``."""
        return self._call('DELETE', path, '', {})

    def get(self, path: str) -> CallResult:
        """Read the document at a path."""
        return self._call('GET', path, '', {})

    def _call(
        self,
        method: str,
        path: str,
        body: str,
        headers: Mapping[str, str],
    ) -> CallResult:
        if _FORBIDDEN_IN_PATH & set(path):
            return _usage_failure(f'{path}: not a name')
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
        return _parse_response(response.status, text)


def _parse_response(status: int, text: str) -> CallResult:
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


def _usage_failure(line: str) -> CallResult:
    return Err(CommandFailure(ExitCode.USAGE, line))
