"""Validated settings of each role. Times are milliseconds."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from hyssopring.protocol.messages import Resources

__all__ = ('AgentSettings', 'CapacitySettings', 'EntrySettings')

_NAME = '^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'
_ADDRESS = r'^[0-9A-Za-z.:\[\]-]+:[0-9]{1,5}$'
_MIN_SECRET = 16
_MAX_BODY = 8 * 1024 * 1024

_Name = Annotated[str, Field(pattern=_NAME)]
_Address = Annotated[
    str,
    Field(pattern=_ADDRESS, description='host:port'),
]
_Secret = Annotated[str, Field(min_length=_MIN_SECRET)]
_Millis = Annotated[float, Field(ge=10, le=3_600_000)]


class _Strict(BaseModel):
    model_config = ConfigDict(extra='forbid', strict=True, frozen=True)


class CapacitySettings(_Strict):
    """What a VM holds."""

    cores: Annotated[float, Field(gt=0, le=1024)]
    memory_gb: Annotated[float, Field(gt=0, le=16384)]
    accelerators: Annotated[int, Field(ge=0, le=64)] = 0

    def to_resources(self) -> Resources:
        """Return the data class used inside."""
        return Resources(self.cores, self.memory_gb, self.accelerators)


class EntrySettings(_Strict):
    """Settings of an entry."""

    id: _Name
    zone: _Name
    caller_address: _Address
    operator_address: _Address
    inner_address: _Address
    store_url: Annotated[str, Field(pattern='^http://')]
    inner_secret: _Secret
    operator_token: _Secret
    log_level: str = 'INFO'
    default_deadline_ms: _Millis = 2000
    max_body_bytes: Annotated[int, Field(ge=1024, le=_MAX_BODY)] = 1_048_576
    store_timeout_ms: _Millis = 2000
    shards: Annotated[int, Field(ge=1, le=1024)] = 8
    shard_lease_ms: _Millis = 6000
    shard_takeover_ms: _Millis = 8000
    batch_lease_ms: _Millis = 15_000
    keeper_lease_ms: _Millis = 60_000
    drain_ms: _Millis = 30_000


class AgentSettings(_Strict):
    """Settings of an agent."""

    id: _Name
    zone: _Name
    rack: _Name
    capacity: CapacitySettings
    announce_address: _Address
    entries: Annotated[tuple[_Address, ...], Field(min_length=1)]
    worker_url: Annotated[str, Field(pattern='^http://')]
    inner_secret: _Secret
    log_level: str = 'INFO'
    drain_ms: _Millis = 30_000
