"""Models of the documents that operators submit."""

from types import MappingProxyType
from typing import Annotated, Final, Literal, Mapping

from pydantic import BaseModel, ConfigDict, Field

__all__ = (
    'DrainModel',
    'JobSubmission',
    'MODEL_BY_KIND',
    'ParametersModel',
    'SizeModel',
    'TeamModel',
    'TemplateModel',
)

_MAX_CORES = 1024
_MAX_MEMORY_GB = 16384
_MAX_ACCELERATORS = 64
_MAX_URGENCY = 9
_MAX_TASKS = 10_000
_DAY_MS = 86_400_000
_NAME = '^[a-z0-9][a-z0-9-]{0,62}$'

_Urgency = Annotated[int, Field(ge=0, le=_MAX_URGENCY)]
_DurationMs = Annotated[float, Field(gt=0, le=_DAY_MS)]
_Name = Annotated[str, Field(pattern=_NAME)]


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid', strict=True, frozen=True)


class SizeModel(_StrictModel):
    """Resources of one task or one backend server."""

    cores: Annotated[float, Field(gt=0, le=_MAX_CORES)]
    memory_gb: Annotated[float, Field(gt=0, le=_MAX_MEMORY_GB)]
    accelerators: Annotated[int, Field(ge=0, le=_MAX_ACCELERATORS)] = 0


class TemplateModel(_StrictModel):
    """A shared template; teams fill in their own parameters."""

    kind: Literal['service', 'batch', 'keeper']
    size: SizeModel
    idempotent: bool = False
    urgency: _Urgency = 5
    deadline_ms: _DurationMs = 2000
    run_ms: _DurationMs = 60_000
    zones: tuple[str, ...] = ()
    max_attempts: Annotated[int, Field(ge=1, le=100)] = 5


class ParametersModel(_StrictModel):
    """A team's parameters for a template; None uses that of the template."""

    size: SizeModel | None = None
    urgency: _Urgency | None = None
    deadline_ms: _DurationMs | None = None
    run_ms: _DurationMs | None = None
    zones: tuple[str, ...] | None = None
    keepers: Annotated[int, Field(ge=0, le=_MAX_TASKS)] = 0


class TeamModel(_StrictModel):
    """A team's quotas."""

    cores: Annotated[float, Field(gt=0)] = _MAX_CORES
    requests_per_s: Annotated[float, Field(gt=0)] = 10_000


class DrainModel(_StrictModel):
    """A drained VM: no new tasks start and its batch tasks are moved."""

    why: Annotated[str, Field(max_length=200)] = ''
    keepers: bool = False


class JobSubmission(_StrictModel):
    """A batch job: a number of tasks of a team's template."""

    job_id: _Name
    team: _Name
    template: _Name
    tasks: Annotated[int, Field(ge=1, le=_MAX_TASKS)] = 1


_Models = Mapping[str, type[BaseModel]]
MODEL_BY_KIND: Final[_Models] = MappingProxyType(
    {
        'template': TemplateModel,
        'parameters': ParametersModel,
        'team': TeamModel,
        'drain': DrainModel,
    }
)
