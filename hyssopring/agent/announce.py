"""The loopback HTTP port where backend servers announce themselves."""

import json
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field
from twisted.web.resource import Resource

from hyssopring.agent.backends import AnnouncedBackend
from hyssopring.agent.core import AgentCore
from hyssopring.bounded_http import BoundedRequest
from hyssopring.configuration import parse_document

__all__ = ('AnnounceResource',)

_BAD_REQUEST = 400
_NOT_FOUND = 404
_TOO_LARGE = 413
_MAX_SLOTS = 100_000


class _Announcement(BaseModel):
    model_config = ConfigDict(extra='forbid', strict=True, frozen=True)

    id: Annotated[str, Field(min_length=1, max_length=64)]
    service: Annotated[str, Field(pattern='^[a-z0-9-]+/[a-z0-9-]+$')]
    address: Annotated[str, Field(pattern='^[0-9A-Za-z.:-]+:[0-9]{1,5}$')]
    slots: Annotated[int, Field(ge=1, le=_MAX_SLOTS)]
    connections: Annotated[int, Field(ge=1, le=_MAX_SLOTS)]
    leaving: bool = False

    def to_backend(self) -> AnnouncedBackend:
        return AnnouncedBackend(
            self.id,
            self.service,
            self.address,
            min(self.slots, self.connections),
            self.connections,
            self.leaving,
        )


class AnnounceResource(Resource):
    """Serves ``POST /announce``, ``GET /metrics`` and ``GET /healthz``.

    Attributes:
        is_ready: False once the agent shuts down.
    """

    isLeaf = True

    def __init__(self, core: AgentCore) -> None:
        """Pass announcements to the core."""
        super().__init__()
        self._core = core
        self.is_ready = True

    def render_GET(self, request: BoundedRequest) -> bytes:
        """Serve metrics and readiness."""
        if request.path == b'/metrics':
            return self._core.metrics.render().encode()
        if request.path == b'/healthz':
            return b'ready\n' if self.is_ready else b'stopping\n'
        request.setResponseCode(_NOT_FOUND)
        return b'not found\n'

    def render_POST(self, request: BoundedRequest) -> bytes:
        """Handle one announcement of a backend server."""
        if request.is_too_large:
            request.setResponseCode(_TOO_LARGE)
            return b'the body is too large\n'
        parsed = parse_document(request.content.read(), _Announcement)
        if parsed.is_err():
            request.setResponseCode(_BAD_REQUEST)
            return f'{parsed.unwrap_err().detail}\n'.encode()
        announcement = parsed.unwrap()
        was_leaving = self._core.backends.is_leaving(announcement.id)
        self._core.backends.announce(announcement.to_backend())
        if announcement.leaving and not was_leaving:
            self._core.heartbeat()
        return json.dumps({'accepted': True}).encode()
