"""HTTP endpoint for reports of the runner on the same machine."""

import json
import re
from dataclasses import replace
from typing import Annotated, Any, Callable, Container, Final, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic import alias_generators
from twisted.web.http import Request
from twisted.web.resource import Resource

from hyssopring.jobs.model import Size
from hyssopring.jobs.worker_port import Announcement
from hyssopring.logs import Event, log_event
from hyssopring.numbers import MAX_EXACT_INTEGER
from hyssopring.platform.incarnation import boot_name, worker_id
from hyssopring.platform.json_values import check_value_count

__all__ = ('ReportsResource',)

_PREFIX: Final = '/-/instances/'
_STATUS_OK: Final = 200
_STATUS_BAD_REQUEST: Final = 400
_STATUS_FORBIDDEN: Final = 403
_STATUS_NOT_FOUND: Final = 404
# The id is sent as a header of each call to the runner.
_ID: Final = re.compile('[A-Za-z0-9._~:@+=-]{1,128}')
_MAX_NAME_LENGTH: Final = 256
_MAX_LABELS: Final = 256
# A report with all labels has 270; another writer's may have more fields.
_MAX_VALUES: Final = 16_384

_Count = Annotated[int, Field(ge=0, le=MAX_EXACT_INTEGER)]
_Name = Annotated[str, Field(max_length=_MAX_NAME_LENGTH)]
_MODEL: Final = ConfigDict(
    alias_generator=alias_generators.to_camel,
    strict=True,
)


class _Capacity(BaseModel):
    model_config = _MODEL

    cpu: _Count
    mem_mb: _Count
    gpu: _Count = 0


class _Report(BaseModel):
    """One report; ``free_capacity`` is the total capacity, at any load.

    A report without the capacity is malformed: read as none, it would stop all
    starts on a worker whose capacity is known.
    """

    model_config = _MODEL

    service: _Name = Field(min_length=1)
    state: Literal['ready', 'draining']
    sequence: _Count
    clock_ms: _Count = 0
    free_capacity: _Capacity
    labels: tuple[_Name, ...] = Field(default=(), max_length=_MAX_LABELS)
    remaining_ms: _Count = 0
    born: Any = None

    def to_announcement(self, runner_id: str) -> Announcement:
        """Translate to the type of ``hyssopring.jobs``."""
        capacity = self.free_capacity
        return Announcement(
            boot_name(runner_id, self.born),
            self.service,
            Size(capacity.cpu, capacity.mem_mb, capacity.gpu),
            self.labels,
            self.state == 'draining',
            self.remaining_ms,
            self.sequence,
            self.clock_ms,
            runner_id,
        )


class ReportsResource(Resource):
    """Serves POST /-/instances/ID/heartbeat and /deregister."""

    isLeaf = True

    def __init__(
        self,
        on_report: Callable[[Announcement], None],
        on_leave: Callable[[str], None],
        own_hosts: Container[str],
    ) -> None:
        """Accept calls from ``own_hosts`` only and pass them on.

        A report of a new incarnation makes the agent abandon all running
        tasks, so only the runner on the same machine may send one.

        Args:
            on_report: Called with each report.
            on_leave: Called with the boot of a runner that deregisters.
            own_hosts: Addresses of this machine.
        """
        super().__init__()
        self._own_hosts = own_hosts
        self._on_report = on_report
        self._on_leave = on_leave
        self._last_announcement: Announcement | None = None
        # Another service that the last report named, empty if it named none.
        self._odd_service = ''

    def render_POST(self, request: Request) -> bytes:
        """Handle one call."""
        path = request.path.decode('latin-1')
        runner_id, _slash, verb = path.removeprefix(_PREFIX).partition('/')
        request.setHeader('content-type', 'application/json')
        request.setResponseCode(self._respond(runner_id, verb, request))
        return b'{}'

    def _respond(self, runner_id: str, verb: str, request: Request) -> int:
        if verb not in {'heartbeat', 'deregister'}:
            return _STATUS_NOT_FOUND
        host = getattr(request.getClientAddress(), 'host', '')
        if host not in self._own_hosts:
            log_event(
                Event.PEER_ERROR,
                peer=host,
                detail='report from a foreign host rejected',
            )
            return _STATUS_FORBIDDEN
        if not _ID.fullmatch(runner_id):
            detail = f'invalid runner id: {runner_id[:_MAX_NAME_LENGTH]!r}'
            log_event(Event.PEER_ERROR, peer='runner', detail=detail)
            return _STATUS_BAD_REQUEST
        body = request.content.read()
        if verb == 'heartbeat':
            return self._handle_heartbeat(runner_id, body)
        return self._handle_deregistration(runner_id, body)

    def _handle_heartbeat(self, runner_id: str, body: bytes) -> int:
        try:
            report = _read_report(body)
        except ValueError as error:
            log_event(
                Event.PEER_ERROR, peer=runner_id, detail=_first_problem(error)
            )
            return _STATUS_BAD_REQUEST
        announcement = report.to_announcement(runner_id)
        last = self._last_announcement
        if last is not None and last.boot == announcement.boot:
            if self._is_odd_service(announcement, last):
                detail = f'service {announcement.service!r} is reported once'
                log_event(Event.PEER_ERROR, peer=runner_id, detail=detail)
                return _STATUS_BAD_REQUEST
            if 'labels' not in report.model_fields_set:
                announcement = replace(announcement, labels=last.labels)
        self._last_announcement = announcement
        self._odd_service = ''
        self._on_report(announcement)
        return _STATUS_OK

    def _is_odd_service(
        self, announcement: Announcement, last: Announcement
    ) -> bool:
        """Whether an incarnation reports another service for the first time.

        An incarnation has one service. A single report of another one is an
        error; if two in a row name it, the reports before were.
        """
        service = announcement.service
        if service in {last.service, self._odd_service}:
            return False
        self._odd_service = service
        return True

    def _handle_deregistration(self, runner_id: str, body: bytes) -> int:
        """Handle a deregistration, whose body may be empty.

        A body that cannot be read may name any incarnation.
        """
        try:
            fields = _json_object(body) if body else {}
        except ValueError as error:
            log_event(Event.PEER_ERROR, peer=runner_id, detail=str(error))
            return _STATUS_BAD_REQUEST
        self._on_leave(self._leaving_boot(runner_id, fields.get('born')))
        return _STATUS_OK

    def _leaving_boot(self, runner_id: str, born: Any) -> str:
        """Return the incarnation that deregisters.

        A call without a start may be a delayed one of the previous incarnation.
        It counts for the present one only if its last report was ``draining``.
        """
        boot = boot_name(runner_id, born)
        last = self._last_announcement
        if boot != runner_id or last is None or not last.is_leaving:
            return boot
        return last.boot if worker_id(last.boot) == runner_id else boot


def _read_report(body: bytes) -> _Report:
    """Parse the body of a report.

    Raises:
        ValueError: The body is malformed.
    """
    check_value_count(body, _MAX_VALUES)
    return _Report.model_validate_json(body)


def _json_object(body: bytes) -> dict[str, Any]:
    """Return the fields of a body.

    Raises:
        ValueError: The body is not a JSON object.
    """
    check_value_count(body, _MAX_VALUES)
    try:
        fields = json.loads(body)
    except RecursionError as error:
        raise ValueError('the body is nested too deeply') from error
    if not isinstance(fields, dict):
        raise ValueError('the body is not a JSON object')
    return fields


def _first_problem(error: ValueError) -> str:
    if not isinstance(error, ValidationError):
        return str(error)
    problem: dict[str, Any] = dict(error.errors(include_input=False)[0])
    return json.dumps([problem['loc'], problem['msg']])
