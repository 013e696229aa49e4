"""Turns messages into Thrift frames and back.

The generated structs stay inside this module. A frame that does not decode
into exactly one whole message raises ``ProtocolError``.
"""

import dataclasses
import re
from types import MappingProxyType
from typing import (
    Any,
    Callable,
    Final,
    cast,
    get_args,
    get_origin,
    get_type_hints,
)

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from hyssopring.protocol import messages
from hyssopring.protocol.frames import MAX_FRAME_BYTES
from hyssopring.protocol.generated import ttypes
from hyssopring.protocol.structs import ProtocolError

__all__ = ('MAX_FRAME_BYTES', 'ProtocolError', 'decode', 'encode')

_MAX_ITEMS: Final = 100_000

# What the library raises for bytes that are no message.
_DECODE_ERRORS: Final = (
    TException,
    AttributeError,
    EOFError,
    MemoryError,
    OverflowError,
    TypeError,
    ValueError,
)

_Converter = Callable[[Any], Any]


def encode(message: messages.Message) -> bytes:
    """Return the frame payload for one message."""
    message_class = type(message)
    envelope = ttypes.Envelope(
        **{
            _FIELD_BY_CLASS[message_class]: _TO_WIRE_BY_CLASS[message_class](
                message
            )
        },
    )
    buffer = TMemoryBuffer()
    envelope.write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode(payload: bytes) -> messages.Message:
    """Return the message in a frame payload.

    Raises:
        ProtocolError: The payload is not one whole, well-typed message.
    """
    envelope = ttypes.Envelope()
    buffer = TMemoryBuffer(payload)
    protocol = TBinaryProtocolAccelerated(
        buffer,
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=_MAX_ITEMS,
    )
    try:
        envelope.read(protocol)
    except _DECODE_ERRORS as error:
        raise ProtocolError(f'undecodable frame: {error!r}') from error
    if buffer.cstringio_buf.tell() != len(payload):
        raise ProtocolError('bytes are left over after the message')
    return _unwrap(envelope)


def _unwrap(envelope: Any) -> messages.Message:
    present = [
        message_class
        for message_class, field in _FIELD_BY_CLASS.items()
        if getattr(envelope, field) is not None
    ]
    if len(present) != 1:
        raise ProtocolError(f'a frame holds {len(present)} messages, not one')
    wire = getattr(envelope, _FIELD_BY_CLASS[present[0]])
    try:
        wire.validate()
        return _FROM_WIRE_BY_CLASS[present[0]](wire)
    except _DECODE_ERRORS as error:
        raise ProtocolError(f'incomplete message: {error}') from error


def _same(part: Any) -> Any:
    return part


def _required(part: Any) -> Any:
    if part is None:
        raise ValueError('a required field is missing')
    return part


def _converters(
    message_class: type,
    convert_class: Callable[[type], _Converter],
    scalar: _Converter,
) -> list[tuple[str, _Converter]]:
    hints = get_type_hints(message_class)
    return [
        (field.name, _field_converter(hints[field.name], convert_class, scalar))
        for field in dataclasses.fields(message_class)
    ]


def _field_converter(
    hint: Any,
    convert_class: Callable[[type], _Converter],
    scalar: _Converter,
) -> _Converter:
    if get_origin(hint) is tuple:
        element = _field_converter(
            get_args(hint)[0],
            convert_class,
            scalar,
        )
        return lambda parts: tuple(element(part) for part in _required(parts))
    if dataclasses.is_dataclass(hint):
        return convert_class(cast(type, hint))
    return scalar


def _to_wire(message_class: type) -> _Converter:
    wire_class = getattr(ttypes, message_class.__name__)
    fields = _converters(message_class, _to_wire, _same)

    def convert(message: Any) -> Any:  # noqa: WPS430 -- built once per class
        return wire_class(
            *[change(getattr(message, name)) for name, change in fields]
        )

    return convert


def _from_wire(message_class: type) -> _Converter:
    fields = _converters(message_class, _from_wire, _required)

    def convert(wire: Any) -> Any:  # noqa: WPS430 -- built once per class
        return message_class(
            *[change(getattr(wire, name)) for name, change in fields]
        )

    return convert


def _snake_case(name: str) -> str:
    return re.sub('(?<!^)(?=[A-Z])', '_', name).lower()


_CLASSES: Final = get_args(messages.Message)
_FIELD_BY_CLASS: Final = MappingProxyType(
    {each: _snake_case(each.__name__) for each in _CLASSES}
)
_TO_WIRE_BY_CLASS: Final = MappingProxyType(
    {each: _to_wire(each) for each in _CLASSES}
)
_FROM_WIRE_BY_CLASS: Final = MappingProxyType(
    {each: _from_wire(each) for each in _CLASSES}
)
