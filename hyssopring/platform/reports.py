"""Takes the runner's reports about itself on its own machine."""

import json
import re
from typing import Annotated, Any, Callable, Container, Final, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic import alias_generators
from twisted.web.http import Request
from twisted.web.resource import Resource

from hyssopring.jobs.model import Size
from hyssopring.jobs.worker_port import Announcement
from hyssopring.logs import Event, log_event
from hyssopring.platform.incarnation import boot_name, worker_id

__all__ = ('ReportsResource',)

_PREFIX: Final = '/-/instances/'
_OK: Final = 200
_BAD: Final = 400
_FORBIDDEN: Final = 403
_MISSING: Final = 404
# It goes out again as a header of each call to the runner.
_ID: Final = re.compile('[A-Za-z0-9._~:@+=-]{1,128}')
_MAX_NAME: Final = 256
_MAX_LABELS: Final = 256
# What a double holds exactly, and so each JSON reader.
_MAX_COUNT: Final = 2**53

_Count = Annotated[int, Field(ge=0, le=_MAX_COUNT)]
_Name = Annotated[str, Field(max_length=_MAX_NAME)]
_MODEL: Final = ConfigDict(
    alias_generator=alias_generators.to_camel,
    strict=True,
)


class _Room(BaseModel):
    model_config = _MODEL

    cpu: _Count = 0
    mem_mb: _Count = 0
    gpu: _Count = 0


class _Report(BaseModel):
    """One report. ``free_capacity`` is all that the runner has, at any load."""

    model_config = _MODEL

    service: _Name = Field(min_length=1)
    state: Literal['ready', 'draining']
    sequence: _Count
    clock_ms: _Count = 0
    free_capacity: _Room = _Room()
    labels: tuple[_Name, ...] = Field(default=(), max_length=_MAX_LABELS)
    remaining_ms: _Count = 0
    born: Any = None

    def announcement(self, runner_id: str) -> Announcement:
        """Translate."""
        room = self.free_capacity
        return Announcement(
            boot_name(runner_id, self.born),
            self.service,
            Size(room.cpu, room.mem_mb, room.gpu),
            self.labels,
            self.state == 'draining',
            self.remaining_ms,
            self.sequence,
            self.clock_ms,
            runner_id,
        )


class ReportsResource(Resource):
    """POST /-/instances/ID/heartbeat and /deregister."""

    isLeaf = True

    def __init__(
        self,
        on_report: Callable[[Announcement], None],
        on_leave: Callable[[str], None],
        own_hosts: Container[str],
    ) -> None:
        """Pass reports and farewells on that come from ``own_hosts``.

        Whoever can report a new incarnation makes the agent give up all that
        runs: only the runner on the same machine may.
        """
        super().__init__()
        self._own_hosts = own_hosts
        self._on_report = on_report
        self._on_leave = on_leave
        self._last: Announcement | None = None

    def render_POST(self, request: Request) -> bytes:
        """Take one call."""
        path = request.path.decode('latin-1')
        runner_id, _slash, verb = path.removeprefix(_PREFIX).partition('/')
        request.setHeader('content-type', 'application/json')
        request.setResponseCode(self._answer(runner_id, verb, request))
        return b'{}'

    def _answer(self, runner_id: str, verb: str, request: Request) -> int:
        if verb not in {'heartbeat', 'deregister'}:
            return _MISSING
        host = getattr(request.getClientAddress(), 'host', '')
        if host not in self._own_hosts:
            log_event(Event.PEER_ERROR, peer=host, detail='a foreign report')
            return _FORBIDDEN
        if not _ID.fullmatch(runner_id):
            detail = f'no id of a runner: {runner_id[:_MAX_NAME]!r}'
            log_event(Event.PEER_ERROR, peer='runner', detail=detail)
            return _BAD
        body = request.content.read()
        if verb == 'heartbeat':
            return self._take(runner_id, body)
        self._on_leave(self._leaving_boot(runner_id, body))
        return _OK

    def _take(self, runner_id: str, body: bytes) -> int:
        try:
            report = _Report.model_validate_json(body)
        except ValidationError as error:
            log_event(Event.PEER_ERROR, peer=runner_id, detail=_first(error))
            return _BAD
        self._last = report.announcement(runner_id)
        self._on_report(self._last)
        return _OK

    def _leaving_boot(self, runner_id: str, body: bytes) -> str:
        """Name the incarnation that says farewell.

        A farewell without a start may be a late one of the incarnation before:
        it counts for the present one only if that has said that it leaves.
        """
        boot = boot_name(runner_id, _born_in(body))
        last = self._last
        if boot != runner_id or last is None or not last.is_leaving:
            return boot
        return last.boot if worker_id(last.boot) == runner_id else boot


def _born_in(body: bytes) -> Any:
    """Return what a farewell says of the runner's start, None for nothing."""
    try:
        fields = json.loads(body)
    except ValueError:
        return None
    return fields.get('born') if isinstance(fields, dict) else None


def _first(error: ValidationError) -> str:
    problem: dict[str, Any] = dict(error.errors()[0])
    return json.dumps([problem['loc'], problem['msg']])
