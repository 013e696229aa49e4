"""A backend server under the virtual clock."""

from collections import Counter
from urllib.parse import parse_qs, urlparse

from hyssopring.agent.backends import AnnouncedBackend
from hyssopring.errors import ErrorKind
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import CallResponse

__all__ = ('VirtualBackend',)


class VirtualBackend:
    """A backend server with a service time per request.

    Attributes:
        service_ms: Returns the service time in ms of the next request.
        runs_by_request: Number of runs by request id.
    """

    def __init__(
        self, loop, name, service_name, slots=8, service_ms=lambda: 20.0
    ):
        self.loop = loop
        self.name = name
        self.service_name = service_name
        self.slots = slots
        self.service_ms = service_ms
        self.is_dead = False
        self.is_leaving = False
        self.runs_by_request = Counter()
        self._unfinished = {}

    def announcement(self):
        """Return the announcement to the agent."""
        return AnnouncedBackend(
            self.name,
            self.service_name,
            self.name,
            self.slots,
            64,
            self.is_leaving,
        )

    def serve(self, request, timeout_ms, done):
        """Run a request; ``done`` gets the response, at a timeout a failure."""
        if self.is_dead:
            done(
                CallResponse(
                    request.request_id,
                    CallOutcome.NOT_RUN.value,
                    error=ErrorKind.NO_BACKEND.value,
                )
            )
            return
        self.runs_by_request[request.request_id] += 1
        requested_ms = parse_qs(urlparse(request.path).query).get('ms')
        duration_ms = (
            float(requested_ms[0]) if requested_ms else self.service_ms()
        )
        response = CallResponse(
            request.request_id,
            CallOutcome.ANSWERED.value,
            200,
            body=b'echo:' + request.body,
        )
        if duration_ms > timeout_ms:
            response = _failed(request)
        run = object()
        self._unfinished[run] = (request, done)
        self.loop.later(
            min(duration_ms, timeout_ms), self._finish, run, response
        )

    def kill(self):
        """Crash: all requests that it runs fail."""
        self.is_dead = True
        for run, (request, _) in list(self._unfinished.items()):
            self._finish(run, _failed(request))

    def _finish(self, run, response):
        _, done = self._unfinished.pop(run, (None, _ignore))
        done(response)


def _failed(request):
    return CallResponse(
        request.request_id,
        CallOutcome.FAILED.value,
        error=ErrorKind.BACKEND_FAILED.value,
    )


def _ignore(response):
    """Drop the response of a run that failed in a crash."""
