"""Thrift structs defined by data classes, without generated code.

The Thrift library reads and writes a class decorated with ``@struct`` like a
generated one: field ids count from 1 in the order of definition, and all
fields are required. New fields must be added at the end. The messages about
jobs are defined like this because no Thrift compiler is available; the others
are in ``inner.thrift``.
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

_MAX_STRUCT_BYTES: Final = 9 * 1024 * 1024
_MAX_ITEMS: Final = 100_000
_UTF8: Final = 'UTF8'
# The C extension of the library requires an actual class per scalar type.
_SCALARS: Final = MappingProxyType(
    {
        bool: TType.BOOL,
        int: TType.I64,
        float: TType.DOUBLE,
        str: TType.STRING,
    },
)
# Exceptions of the Thrift library for invalid bytes.
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
    """A peer sent bytes that are not a valid message of this protocol."""


@dataclass_transform()
def struct(message_class: type[_Class]) -> type[_Class]:
    """Return a data class that can be encoded as a Thrift struct.

    Field types are ``bool``, ``int``, ``float``, ``str``, another struct, or
    a list of these.
    """
    for name in message_class.__annotations__:
        # The library creates nested structs without arguments and sets the
        # fields that it reads; a field that is still None was missing.
        if name not in message_class.__dict__:
            setattr(message_class, name, None)
    struct_class: Any = dataclasses.dataclass(message_class)
    hints = get_type_hints(struct_class)
    field_specs: list[Any] = [None]
    for field_id, field in enumerate(dataclasses.fields(struct_class), 1):
        type_id, type_arguments = _wire_type(hints[field.name])
        field_specs.append(
            (field_id, type_id, field.name, type_arguments, None)
        )
    setattr(struct_class, 'thrift_spec', tuple(field_specs))  # noqa: B010
    return cast(type[_Class], struct_class)


def write_struct(message: Any) -> bytes:
    """Return the encoded struct."""
    buffer = TMemoryBuffer()
    protocol = TBinaryProtocolAccelerated(buffer)
    encoded = protocol._fast_encode(  # noqa: SLF001, WPS437
        message,
        [type(message), message.thrift_spec],
    )
    return bytes(encoded)


def read_struct(message_class: type[_Class], payload: bytes) -> _Class:
    """Return the decoded struct.

    Raises:
        ProtocolError: The payload is not exactly one complete struct.
    """
    buffer = TMemoryBuffer(payload)
    protocol = TBinaryProtocolAccelerated(
        buffer,
        string_length_limit=_MAX_STRUCT_BYTES,
        container_length_limit=_MAX_ITEMS,
    )
    decoded = message_class.__new__(message_class)
    try:
        protocol._fast_decode(  # noqa: SLF001, WPS437
            decoded,
            protocol,
            [message_class, decoded.thrift_spec],  # type: ignore[attr-defined]
        )
        _check_complete(decoded)
    except _READ_ERRORS as error:
        raise ProtocolError(f'undecodable struct: {error!r}') from error
    if buffer.cstringio_buf.tell() != len(payload):
        raise ProtocolError('trailing bytes after the struct')
    return decoded


def _wire_type(hint: Any) -> tuple[int, Any]:
    if get_origin(hint) is list:
        type_id, type_arguments = _wire_type(get_args(hint)[0])
        return TType.LIST, (type_id, type_arguments, False)
    if dataclasses.is_dataclass(hint):
        return TType.STRUCT, [hint, getattr(hint, 'thrift_spec')]  # noqa: B009
    return _SCALARS[hint], _UTF8 if hint is str else None


def _check_complete(message: Any) -> None:
    for (
        _field_id,
        type_id,
        name,
        _type_arguments,
        _default,
    ) in message.thrift_spec[1:]:
        field_value = getattr(message, name)
        if field_value is None:
            raise ValueError(f'required field {name} is missing')
        if type_id == TType.STRUCT:
            _check_complete(field_value)
        elif type_id == TType.LIST:
            _check_elements(field_value)


def _check_elements(elements: list[Any]) -> None:
    for element in elements:
        if dataclasses.is_dataclass(element):
            _check_complete(element)
