"""Calls an entry's operators' port, blocking."""

import json
import os
import sys
import time
from http.client import HTTPConnection, HTTPException
from typing import Any, Mapping

from hyssopring.addresses import parse_address

__all__ = ('OperatorClient',)

_TIMEOUT_S = 10
_OK = 200
_FAILED_EXIT = 1
_WAIT_S = 10
_POLL_S = 0.1


class OperatorClient:
    """One entry's operators' port."""

    def __init__(self, address: str, token: str) -> None:
        """Call ``address`` with the operators' token."""
        self._address = address
        self._token = token

    @classmethod
    def from_arguments(cls, entry: str, token: str) -> 'OperatorClient':
        """Fill in what was not given from the environment."""
        return cls(
            entry or os.environ.get('HYSSOPRING_ENTRY', '127.0.0.1:7002'),
            token or os.environ.get('HYSSOPRING_TOKEN', ''),
        )

    def put(self, key: str, document: str, version: int) -> Mapping[str, Any]:
        """Submit or change one configuration item."""
        path = f'configuration/{key}'
        return self._call('PUT', path, document, {'If-Match': str(version)})

    def delete(self, key: str, version: int) -> Mapping[str, Any]:
        """Withdraw one configuration item."""
        path = f'configuration/{key}'
        return self._call('DELETE', path, '', {'If-Match': str(version)})

    def post_job(self, submission: Mapping[str, Any]) -> Mapping[str, Any]:
        """Submit a batch job."""
        return self._call('POST', 'jobs', json.dumps(submission), {})

    def cancel_job(self, job: str) -> Mapping[str, Any]:
        """Cancel a batch job."""
        return self._call('DELETE', f'jobs/{job}', '', {})

    def get(self, path: str) -> Mapping[str, Any]:
        """Read a page."""
        return self._call('GET', path, '', {})

    def wait_in_force(self, version: int) -> None:
        """Wait until every process reports this version or a newer one."""
        deadline = time.monotonic() + _WAIT_S
        while time.monotonic() < deadline:
            status = self.get('status')
            versions = [agent['configuration'] for agent in status['agents']]
            versions.extend(status['entries'].values())
            if all(known >= version for known in versions):
                return
            time.sleep(_POLL_S)
        sys.stderr.write(f'version {version} is not in force everywhere\n')
        sys.exit(_FAILED_EXIT)

    def _call(
        self,
        method: str,
        path: str,
        body: str,
        headers: Mapping[str, str],
    ) -> Mapping[str, Any]:
        host, port = parse_address(self._address)
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
        except (OSError, HTTPException) as error:
            sys.stderr.write(f'{self._address}: {error}\n')
            sys.exit(_FAILED_EXIT)
        finally:
            connection.close()
        if response.status != _OK:
            sys.stderr.write(f'{response.status}: {text}')
            sys.exit(_FAILED_EXIT)
        answer: Mapping[str, Any] = json.loads(text)
        return answer
