"""The settings file that the platform gives to each process."""

import os
import pathlib
from typing import Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic import alias_generators
from result import Err, Ok, Result

from hyssopring.errors import ErrorKind, Failure
from hyssopring.problems import describe_problems

__all__ = (
    'METRICS_PORT',
    'NodeSettings',
    'load_node_settings',
    'node_file',
)

_LOOPBACK: Final = '127.0.0.1'
_FILE_VARIABLE: Final = 'HYSSOPRING_NODE_FILE'
# A file of the platform has a few kilobytes; parsing stops long before it
# takes a noticeable time.
_MAX_BYTES: Final = 1024 * 1024
_LAST_PORT: Final = 65_535

# The platform's file names no port for metrics; the deploy file does, with this
# same figure, the usual port of metrics exporters. Our own tests give another.
METRICS_PORT: Final = 9464


class _Model(BaseModel):
    """Fields are spelled as in the file; unknown ones are ignored."""

    model_config = ConfigDict(
        alias_generator=alias_generators.to_camel, frozen=True
    )


class Listening(_Model):
    """Addresses to listen on, by what calls there."""

    frontend: str = ''
    ready: str = ''
    control_plane: str = ''


class StoreSettings(_Model):
    """Where the store is."""

    address: str


class Bounds(_Model):
    """Times that the platform sets, in the unit of their names."""

    hold_max_ms: int = 10_000
    grace_s: float = 6


class Limits(_Model):
    """What a process may use; the quota is of a core, cores times as fast."""

    cpu_quota: float = 1
    cores: float = 1


class NodeSettings(_Model):
    """What one process is told."""

    node_name: str
    ip: str
    zone: str
    bind_addresses: Listening
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
        """Where this process listens for others of the system."""
        return f'{self.ip}:{self.internal_ports[0]}'

    @property
    def own_hosts(self) -> frozenset[str]:
        """The addresses under which programs of this machine call."""
        runner_host = self.app.rpartition(':')[0]
        return frozenset((self.ip, runner_host, _LOOPBACK))

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Where the processes on the seeds' machines listen.

        The seeds name another port of these machines; inner ports are the
        same on all machines.
        """
        port = self.internal_ports[0]
        hosts = [seed.rpartition(':')[0] for seed in self.seeds]
        return tuple(f'{host}:{port}' for host in hosts)


def node_file() -> str:
    """Return the path of the settings file, empty if none is given."""
    return os.environ.get(_FILE_VARIABLE, '')


def load_node_settings(path: str) -> Result[NodeSettings, Failure]:
    """Read and check the file; a failure is one clear line."""
    if not path:
        return _invalid(f'{_FILE_VARIABLE} is not set')
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        return _invalid(f'{path}: cannot be read: {error.strerror}')
    if len(text) > _MAX_BYTES:
        return _invalid(f'{path}: {len(text)} bytes, at most {_MAX_BYTES}')
    try:
        settings = NodeSettings.model_validate_json(text)
    except ValidationError as error:
        problems = describe_problems(error, NodeSettings)
        return _invalid(f'{path}: {problems}')
    if settings.command_mode != 'invocation':
        return _invalid(
            f'{path}: commandMode: only invocation is supported, '
            f'found {settings.command_mode}',
        )
    return Ok(settings)


def _invalid(line: str) -> Result[NodeSettings, Failure]:
    return Err(Failure(ErrorKind.INVALID, ' '.join(line.split())))
