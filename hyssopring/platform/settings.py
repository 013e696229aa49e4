"""Settings file that the platform provides for each process."""

import os
import pathlib
from typing import Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic import alias_generators
from result import Err, Ok, Result

from hyssopring.errors import ErrorKind, Failure
from hyssopring.numbers import MAX_EXACT_INTEGER
from hyssopring.problems import describe_problems

__all__ = (
    'METRICS_PORT',
    'NodeSettings',
    'load_node_settings',
    'node_file',
)

_LOOPBACK: Final = '127.0.0.1'
_FILE_VARIABLE: Final = 'HYSSOPRING_NODE_FILE'
# The platform's files have a few kilobytes; the limit keeps the time of parsing
# a wrong file short.
_MAX_BYTES: Final = 1024 * 1024
_LAST_PORT: Final = 65_535

# The platform's file has no port for metrics. The deploy file has this one, the
# usual port of metrics exporters; tests set another.
METRICS_PORT: Final = 9464


class _Model(BaseModel):
    """Base of the models: camel-case keys; unknown keys are ignored."""

    model_config = ConfigDict(
        alias_generator=alias_generators.to_camel, frozen=True
    )


class BindAddresses(_Model):
    """Addresses to listen on, by the kind of client."""

    frontend: str = ''
    ready: str = ''
    control_plane: str = ''


class StoreSettings(_Model):
    """HOST:PORT of the store."""

    address: str


class Bounds(_Model):
    """Time limits set by the platform."""

    hold_max_ms: int = 10_000
    grace_s: float = 6


class Limits(_Model):
    """Limits of the machine.

    ``cpu_quota`` is a share of one core, ``cores`` that core's relative speed.
    """

    cpu_quota: float = 1
    cores: float = 1
    memory_mb: float = Field(default=256, ge=0, le=MAX_EXACT_INTEGER)
    max_fds: int = Field(default=1024, ge=0, le=MAX_EXACT_INTEGER)


class NodeSettings(_Model):
    """Settings of one process."""

    node_name: str
    ip: str
    zone: str
    zones: dict[str, str] = Field(default_factory=dict)
    bind_addresses: BindAddresses
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...] = ()
    platform: StoreSettings
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    metrics_port: int = Field(default=METRICS_PORT, ge=0, le=_LAST_PORT)
    command_mode: str = 'invocation'
    app: str = ''
    service: str = ''
    recommendation: str = ''

    @property
    def inner_address(self) -> str:
        """Address on which this process listens for other processes."""
        return f'{self.ip}:{self.internal_ports[0]}'

    @property
    def own_hosts(self) -> frozenset[str]:
        """Addresses from which programs on this machine connect."""
        runner_host = self.app.rpartition(':')[0]
        return frozenset((self.ip, runner_host, _LOOPBACK))

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Inner addresses of the processes on the seed machines.

        Seeds are addresses with another port; the inner ports are the same on
        all machines.
        """
        port = self.internal_ports[0]
        hosts = [seed.rpartition(':')[0] for seed in self.seeds]
        return tuple(f'{host}:{port}' for host in hosts)


def node_file() -> str:
    """Return the path of the settings file, empty if it is not set."""
    return os.environ.get(_FILE_VARIABLE, '')


def load_node_settings(path: str) -> Result[NodeSettings, Failure]:
    """Read and validate the file; the detail of a failure is one line."""
    if not path:
        return _invalid(f'{_FILE_VARIABLE} is not set')
    try:
        document = pathlib.Path(path).read_bytes()
    except OSError as error:
        return _invalid(f'{path}: cannot be read: {error.strerror}')
    if len(document) > _MAX_BYTES:
        return _invalid(f'{path}: {len(document)} bytes, at most {_MAX_BYTES}')
    try:
        settings = NodeSettings.model_validate_json(document)
    except ValidationError as error:
        problems = describe_problems(error, NodeSettings)
        return _invalid(f'{path}: {problems}')
    if settings.command_mode != 'invocation':
        return _invalid(
            f'{path}: commandMode: only invocation is supported, '
            f'found {settings.command_mode}',
        )
    return Ok(settings)


def _invalid(detail: str) -> Result[NodeSettings, Failure]:
    return Err(Failure(ErrorKind.INVALID, ' '.join(detail.split())))
