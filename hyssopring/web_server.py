"""HTTP sites as the daemons serve them."""

from typing import Any

from twisted.web.http import Request
from twisted.web.server import Site

__all__ = ('QuietSite',)


class QuietSite(Site):
    """A site without the library's own access log.

    Routing decisions have their own log lines; formatting a second line for
    each request that nobody reads cost a twentieth of the entry's time.
    """

    noisy = False
    displayTracebacks = False

    @classmethod
    def from_resource(cls, resource: Any) -> 'QuietSite':
        """Serve a resource."""
        return cls(resource)

    def log(self, request: Request) -> None:
        """Write no access log."""
