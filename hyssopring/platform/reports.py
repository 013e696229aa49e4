"""Takes the runner's reports about itself on its own machine."""

import json
from typing import Any, Callable, Final

from pydantic import BaseModel, ConfigDict, ValidationError
from pydantic import alias_generators
from twisted.web.http import Request
from twisted.web.resource import Resource

from hyssopring.jobs.model import Size
from hyssopring.jobs.worker_port import Announcement
from hyssopring.logs import Event, log_event

__all__ = ('ReportsResource',)

_PREFIX: Final = '/-/instances/'
_OK: Final = 200
_BAD: Final = 400
_MISSING: Final = 404


class _Room(BaseModel):
    model_config = ConfigDict(alias_generator=alias_generators.to_camel)

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Report(BaseModel):
    """One report. ``free_capacity`` is all that the runner has, at any load."""

    model_config = ConfigDict(alias_generator=alias_generators.to_camel)

    service: str
    state: str
    sequence: int
    clock_ms: int = 0
    free_capacity: _Room = _Room()
    labels: tuple[str, ...] = ()
    remaining_ms: int = 0

    def announcement(self, boot: str) -> Announcement:
        """Translate."""
        room = self.free_capacity
        return Announcement(
            boot,
            self.service,
            Size(room.cpu, room.mem_mb, room.gpu),
            self.labels,
            self.state == 'draining',
            self.remaining_ms,
            self.sequence,
            self.clock_ms,
        )


class ReportsResource(Resource):
    """POST /-/instances/ID/heartbeat and /deregister."""

    isLeaf = True

    def __init__(
        self,
        on_report: Callable[[Announcement], None],
        on_leave: Callable[[str], None],
    ) -> None:
        """Pass reports and farewells on."""
        super().__init__()
        self._on_report = on_report
        self._on_leave = on_leave

    def render_POST(self, request: Request) -> bytes:
        """Take one call."""
        path = request.path.decode('latin-1')
        boot, _slash, verb = path.removeprefix(_PREFIX).partition('/')
        request.setHeader('content-type', 'application/json')
        if verb == 'heartbeat':
            request.setResponseCode(self._take(boot, request.content.read()))
        elif verb == 'deregister':
            self._on_leave(boot)
        else:
            request.setResponseCode(_MISSING)
        return b'{}'

    def _take(self, boot: str, body: bytes) -> int:
        try:
            report = _Report.model_validate_json(body)
        except ValidationError as error:
            log_event(Event.PEER_ERROR, peer=boot, detail=_first(error))
            return _BAD
        self._on_report(report.announcement(boot))
        return _OK


def _first(error: ValidationError) -> str:
    problem: dict[str, Any] = dict(error.errors()[0])
    return json.dumps([problem['loc'], problem['msg']])
