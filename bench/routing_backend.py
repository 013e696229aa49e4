"""A backend server of the routing experiments."""

from hyssopring.errors import ErrorKind
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import CallResponse
from bench.routing_sites import SERVICE_MS, SLOTS
from standins.virtual import VirtualBackend

# Service time = the work of a request x a random factor of its execution. A
# small share of executions also pauses.
EXECUTION_SIGMA = 0.5
PAUSE_SHARE = 0.005
PAUSE_MS = (100.0, 400.0)


class BenchBackend(VirtualBackend):
    """A backend whose executions can be slow or stall."""

    def __init__(self, loop, name, service_name, rng):
        super().__init__(loop, name, service_name, SLOTS)
        self.rng = rng
        self.factor = 1.0
        self.is_stalled = False

    def serve(self, request, timeout_ms, done):
        if self.is_dead or self.is_stalled:
            failed = CallResponse(
                request.request_id,
                CallOutcome.FAILED.value,
                error=ErrorKind.BACKEND_FAILED.value,
            )
            self.loop.later(timeout_ms, done, failed)
            return
        execution_ms = float(request.path) * self.factor * self._execution()
        response = CallResponse(
            request.request_id, CallOutcome.ANSWERED.value, 200
        )
        if execution_ms > timeout_ms:
            response = CallResponse(
                request.request_id,
                CallOutcome.FAILED.value,
                error=ErrorKind.BACKEND_FAILED.value,
            )
        self.loop.later(min(execution_ms, timeout_ms), done, response)

    def _execution(self):
        sigma = EXECUTION_SIGMA
        factor = self.rng.lognormvariate(-sigma * sigma / 2, sigma)
        if self.rng.random() < PAUSE_SHARE:
            factor += self.rng.uniform(*PAUSE_MS) / SERVICE_MS
        return factor
