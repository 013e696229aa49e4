"""HTTP site of the daemons."""

from typing import Any

from twisted.web.http import Request
from twisted.web.server import Site

__all__ = ('QuietSite',)


class QuietSite(Site):
    """A site without the access log of the library.

    Routing decisions are logged already; formatting an unused second line for
    each request took a twentieth of the entry's processor time.
    """

    noisy = False
    displayTracebacks = False

    @classmethod
    def from_resource(cls, resource: Any) -> 'QuietSite':
        """Return a site that serves a resource."""
        return cls(resource)

    def log(self, request: Request) -> None:
        """Write no access log."""
