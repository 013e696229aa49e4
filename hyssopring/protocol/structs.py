"""Thrift structs described by data classes, without generated code.

A class under ``@struct`` is written and read by the Thrift library as if its
compiler had made it: fields are numbered from 1 in their order, and all are
required. New fields go to the end. Used for the messages about jobs, where
no compiler is at hand; ``inner.thrift`` holds the others.
"""

import dataclasses
from types import MappingProxyType
from typing import (
    Any,
    Final,
    TypeVar,
    cast,
    dataclass_transform,
    get_args,
    get_origin,
    get_type_hints,
)

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException, TType
from thrift.transport.TTransport import TMemoryBuffer

__all__ = ('ProtocolError', 'read_struct', 'struct', 'write_struct')

_MAX_BYTES: Final = 9 * 1024 * 1024
_MAX_ITEMS: Final = 100_000
_UTF8: Final = 'UTF8'
# The library's C reader wants a true class for each scalar kind.
_SCALARS: Final = MappingProxyType(
    {
        bool: TType.BOOL,
        int: TType.I64,
        float: TType.DOUBLE,
        str: TType.STRING,
    },
)
# What the library raises for bytes that are no struct.
_READ_ERRORS: Final = (
    TException,
    AttributeError,
    EOFError,
    MemoryError,
    OverflowError,
    TypeError,
    ValueError,
)

_Class = TypeVar('_Class')


class ProtocolError(Exception):
    """A peer sent something that is not a message of this protocol."""


@dataclass_transform()
def struct(message_class: type[_Class]) -> type[_Class]:
    """Make a data class readable and writable as a Thrift struct.

    Fields are ``bool``, ``int``, ``float``, ``str``, another struct, or a
    list of one of these.
    """
    for name in message_class.__annotations__:
        # The library makes parts without arguments and then sets the fields
        # that came; what stays None was missing.
        if name not in message_class.__dict__:
            setattr(message_class, name, None)
    made: Any = dataclasses.dataclass(message_class)
    hints = get_type_hints(made)
    rows: list[Any] = [None]
    for number, field in enumerate(dataclasses.fields(made), 1):
        kind, argument = _wire_type(hints[field.name])
        rows.append((number, kind, field.name, argument, None))
    setattr(made, 'thrift_spec', tuple(rows))  # noqa: B010
    return cast(type[_Class], made)


def write_struct(message: Any) -> bytes:
    """Return the bytes of one struct."""
    buffer = TMemoryBuffer()
    protocol = TBinaryProtocolAccelerated(buffer)
    packed = protocol._fast_encode(  # noqa: SLF001, WPS437
        message,
        [type(message), message.thrift_spec],
    )
    return bytes(packed)


def read_struct(message_class: type[_Class], payload: bytes) -> _Class:
    """Return the struct that the bytes hold.

    Raises:
        ProtocolError: The bytes are not one whole struct of this class.
    """
    buffer = TMemoryBuffer(payload)
    protocol = TBinaryProtocolAccelerated(
        buffer,
        string_length_limit=_MAX_BYTES,
        container_length_limit=_MAX_ITEMS,
    )
    blank = message_class.__new__(message_class)
    try:
        protocol._fast_decode(  # noqa: SLF001, WPS437
            blank,
            protocol,
            [message_class, blank.thrift_spec],  # type: ignore[attr-defined]
        )
        _check_whole(blank)
    except _READ_ERRORS as error:
        raise ProtocolError(f'undecodable struct: {error!r}') from error
    if buffer.cstringio_buf.tell() != len(payload):
        raise ProtocolError('bytes are left over after the struct')
    return blank


def _wire_type(hint: Any) -> tuple[int, Any]:
    if get_origin(hint) is list:
        kind, argument = _wire_type(get_args(hint)[0])
        return TType.LIST, (kind, argument, False)
    if dataclasses.is_dataclass(hint):
        return TType.STRUCT, [hint, getattr(hint, 'thrift_spec')]  # noqa: B009
    return _SCALARS[hint], _UTF8 if hint is str else None


def _check_whole(part: Any) -> None:
    for _number, kind, name, _argument, _default in part.thrift_spec[1:]:
        found = getattr(part, name)
        if found is None:
            raise ValueError(f'{name} is missing')
        if kind == TType.STRUCT:
            _check_whole(found)
        elif kind == TType.LIST:
            _check_members(found)


def _check_members(members: list[Any]) -> None:
    for member in members:
        if dataclasses.is_dataclass(member):
            _check_whole(member)
