"""Tells the platform's balancer whether an entry takes new connections."""

from twisted.web.http import Request
from twisted.web.resource import Resource

__all__ = ('ReadyResource',)

_READY = 200
_NOT_READY = 503


class ReadyResource(Resource):
    """GET /-/readyz; the balancer asks once a second."""

    isLeaf = True

    def __init__(self) -> None:
        """Be not ready yet."""
        super().__init__()
        self.is_ready = False

    def render_GET(self, request: Request) -> bytes:
        """Answer by status alone."""
        request.setResponseCode(_READY if self.is_ready else _NOT_READY)
        return b''
