"""Validated settings of each role. Times are milliseconds."""

from typing import Annotated, Literal, Self

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    model_validator,
)

from hyssopring.addresses import parse_address
from hyssopring.protocol.messages import Resources

__all__ = (
    'AgentSettings',
    'CapacitySettings',
    'EntrySettings',
    'OperatorSettings',
)

_NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'
_ADDRESS_PATTERN = r'^([0-9A-Za-z.-]+|\[[0-9A-Fa-f:]+\]):[0-9]{1,5}$'
_URL_PATTERN = (
    r'^http://([0-9A-Za-z.-]+|\[[0-9A-Fa-f:]+\])(:[0-9]{1,5})?(/.*)?$'
)
_MIN_SECRET_LENGTH = 16
_MAX_BODY_BYTES = 8 * 1024 * 1024
_MAX_BUFFERED_BYTES = 1024 * 1024 * 1024
_MAX_CONNECTIONS = 100_000
_MAX_PORT = 65_535
_HOUR_MS = 3_600_000
# Leases are renewed each second. A shorter lease would expire after one lost
# renewal, and so whenever a machine is briefly overloaded.
_MIN_LEASE_MS = 3000
_MAX_SHARD_LEASE_MS = 60_000
# The longest time until the tasks of a crashed VM are placed again.
_MAX_BATCH_LEASE_MS = 300_000


def _check_port(address: str) -> str:
    if parse_address(address).port > _MAX_PORT:
        raise ValueError(f'Port should be 0 to {_MAX_PORT}')
    return address


def _check_dialled_port(address: str) -> str:
    if not parse_address(address).port:
        raise ValueError(f'Port should be 1 to {_MAX_PORT}: others dial it')
    return address


_Name = Annotated[str, Field(pattern=_NAME_PATTERN)]
_Address = Annotated[
    str, Field(pattern=_ADDRESS_PATTERN), AfterValidator(_check_port)
]
_DialledAddress = Annotated[_Address, AfterValidator(_check_dialled_port)]
_Url = Annotated[str, Field(pattern=_URL_PATTERN)]
_Secret = Annotated[str, Field(min_length=_MIN_SECRET_LENGTH)]
_Millis = Annotated[float, Field(ge=10, le=_HOUR_MS)]
_Connections = Annotated[
    int,
    Field(
        ge=16,
        le=_MAX_CONNECTIONS,
        description='Open HTTP connections from clients; for one more, the one '
        'that has been without a complete request the longest is closed. At '
        'most half of the descriptors that the system allows.',
    ),
]
_Level = Literal['TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR']


class _Strict(BaseModel):
    model_config = ConfigDict(
        extra='forbid',
        strict=True,
        frozen=True,
        allow_inf_nan=False,
    )


class CapacitySettings(_Strict):
    """What a VM holds."""

    cores: Annotated[
        float,
        Field(gt=0, le=1024, description='Processor cores.'),
    ]
    memory_gb: Annotated[
        float,
        Field(gt=0, le=16384, description='Memory, in gigabytes.'),
    ]
    accelerators: Annotated[
        int,
        Field(ge=0, le=64, description='Accelerator devices.'),
    ] = 0

    def to_resources(self) -> Resources:
        """Return the same capacity as the internal data class."""
        return Resources(self.cores, self.memory_gb, self.accelerators)


class EntrySettings(_Strict):
    """Settings of an entry."""

    id: Annotated[_Name, Field(description='Name of this entry, unique.')]
    zone: Annotated[_Name, Field(description='Its availability zone.')]
    caller_address: Annotated[
        _Address,
        Field(description="host:port for callers' HTTP."),
    ]
    operator_address: Annotated[
        _Address,
        Field(description="host:port for operators' HTTP, /metrics, /healthz."),
    ]
    inner_address: Annotated[
        _DialledAddress,
        Field(description='host:port that agents dial.'),
    ]
    store_url: Annotated[
        _Url,
        Field(description="URL of the platform's transactional table service."),
    ]
    inner_secret: Annotated[
        _Secret,
        Field(description='Secret that agents and entries share.'),
    ]
    operator_token: Annotated[
        _Secret,
        Field(description='Bearer token that operators present.'),
    ]
    log_level: Annotated[
        _Level,
        Field(description='Lowest level of the log lines written.'),
    ] = 'INFO'
    default_deadline_ms: Annotated[
        _Millis,
        Field(description='Deadline of a request whose service sets none.'),
    ] = 2000
    max_body_bytes: Annotated[
        int,
        Field(ge=1024, le=_MAX_BODY_BYTES, description='Largest request body.'),
    ] = 1_048_576
    max_buffered_bytes: Annotated[
        int,
        Field(
            ge=2 * 1024,
            le=_MAX_BUFFERED_BYTES,
            description='Requests held in memory, all together; beyond it the '
            'largest unfinished ones are refused as overloaded.',
        ),
    ] = 12_582_912
    max_connections: _Connections = 2000
    store_timeout_ms: Annotated[
        _Millis,
        Field(description='When a call to the table service is given up.'),
    ] = 2000
    shards: Annotated[
        int,
        Field(ge=1, le=1024, description='Planning shards, alike on all.'),
    ] = 8
    shard_lease_ms: Annotated[
        float,
        Field(
            ge=_MIN_LEASE_MS,
            le=_MAX_SHARD_LEASE_MS,
            description='How long an entry plans on one renewal.',
        ),
    ] = 6000
    shard_takeover_ms: Annotated[
        float,
        Field(
            gt=_MIN_LEASE_MS,
            le=2 * _MAX_SHARD_LEASE_MS,
            description='Silence after which others take its shards.',
        ),
    ] = 8000
    batch_lease_ms: Annotated[
        float,
        Field(
            ge=_MIN_LEASE_MS,
            le=_MAX_BATCH_LEASE_MS,
            description='How long a batch task runs on one renewal.',
        ),
    ] = 15_000
    keeper_lease_ms: Annotated[
        float,
        Field(
            ge=_MIN_LEASE_MS,
            le=_HOUR_MS,
            description='How long a keeper runs on one renewal.',
        ),
    ] = 60_000
    drain_ms: Annotated[
        _Millis,
        Field(description='Longest wait for requests in flight at a stop.'),
    ] = 30_000
    notice_ms: Annotated[
        _Millis,
        Field(
            description='At a stop, how long new requests are still taken '
            'while /healthz tells the balancer.',
        ),
    ] = 3000

    @model_validator(mode='after')
    def check_buffer(self) -> Self:
        """Reject a buffer that a body and its successor do not fit in."""
        if self.max_buffered_bytes < 2 * self.max_body_bytes:
            raise ValueError(
                f'max_buffered_bytes: found {self.max_buffered_bytes}, should '
                f'be at least twice max_body_bytes ({self.max_body_bytes})',
            )
        return self

    @model_validator(mode='after')
    def check_together(self) -> Self:
        """Reject values that are valid alone but not in combination."""
        if self.shard_takeover_ms <= self.shard_lease_ms:
            # Otherwise two entries could plan the same shard at once.
            raise ValueError(
                f'shard_takeover_ms: found {self.shard_takeover_ms}, should '
                f'be longer than shard_lease_ms ({self.shard_lease_ms})',
            )
        if self.keeper_lease_ms < self.batch_lease_ms:
            raise ValueError(
                f'keeper_lease_ms: found {self.keeper_lease_ms}, should not '
                f'be shorter than batch_lease_ms ({self.batch_lease_ms})',
            )
        addresses = [
            address
            for address in (
                self.caller_address,
                self.operator_address,
                self.inner_address,
            )
            if parse_address(address).port
        ]
        if len(set(addresses)) < len(addresses):
            raise ValueError(
                'caller_address, operator_address, inner_address: found one '
                'address twice, should be three different ones',
            )
        return self


class AgentSettings(_Strict):
    """Settings of an agent."""

    id: Annotated[_Name, Field(description='Name of this agent, unique.')]
    zone: Annotated[_Name, Field(description='Its availability zone.')]
    rack: Annotated[_Name, Field(description='The rack of its VM.')]
    capacity: Annotated[
        CapacitySettings,
        Field(description='What its VM holds; see below.'),
    ]
    announce_address: Annotated[
        _Address,
        Field(description='host:port where backend servers announce.'),
    ]
    entries: Annotated[
        tuple[_DialledAddress, ...],
        Field(
            min_length=1,
            description=(
                'Inner addresses to dial first; it learns the rest. Name the '
                "balancer's address of the inner port too: without it no "
                'entry is found when all were replaced while the table was '
                'down.'
            ),
        ),
    ]
    worker_url: Annotated[_Url, Field(description="URL of the VM's worker.")]
    inner_secret: Annotated[
        _Secret,
        Field(description='Secret that agents and entries share.'),
    ]
    log_level: Annotated[
        _Level,
        Field(description='Lowest level of the log lines written.'),
    ] = 'INFO'
    max_connections: _Connections = 2000
    drain_ms: Annotated[
        _Millis,
        Field(description='Longest wait for requests in flight at a stop.'),
    ] = 30_000


class OperatorSettings(_Strict):
    """Where the operators' command line connects."""

    entry: Annotated[
        _DialledAddress,
        Field(description="host:port of an entry's operators' port."),
    ]
    token: Annotated[
        _Secret,
        Field(description="The entries' operator_token."),
    ]
