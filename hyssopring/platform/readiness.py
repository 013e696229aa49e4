"""Readiness endpoint of an entry for the platform's load balancer."""

from twisted.web.http import Request
from twisted.web.resource import Resource

__all__ = ('ReadyResource',)

_READY = 200
_NOT_READY = 503


class ReadyResource(Resource):
    """Serves GET /-/readyz, which the balancer polls once a second."""

    isLeaf = True

    def __init__(self) -> None:
        """Start as not ready."""
        super().__init__()
        self.is_ready = False

    def render_GET(self, request: Request) -> bytes:
        """Respond with a status and an empty body."""
        request.setResponseCode(_READY if self.is_ready else _NOT_READY)
        return b''
