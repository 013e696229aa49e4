"""Encodes messages as Thrift frames and decodes them.

The generated structs are not used outside this module. A frame that does not
hold exactly one complete message raises ``ProtocolError``.
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

# Exceptions of the Thrift library for invalid bytes.
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
    """Return the frame payload of a message."""
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
        ProtocolError: The payload is not exactly one valid message.
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
    present_classes = [
        message_class
        for message_class, field in _FIELD_BY_CLASS.items()
        if getattr(envelope, field) is not None
    ]
    if len(present_classes) != 1:
        raise ProtocolError(
            f'a frame holds {len(present_classes)} messages, not one'
        )
    wire = getattr(envelope, _FIELD_BY_CLASS[present_classes[0]])
    try:
        wire.validate()
        return _FROM_WIRE_BY_CLASS[present_classes[0]](wire)
    except _DECODE_ERRORS as error:
        raise ProtocolError(f'incomplete message: {error}') from error


def _identity(field_value: Any) -> Any:
    return field_value


def _require(field_value: Any) -> Any:
    if field_value is None:
        raise ValueError('a required field is missing')
    return field_value


def _field_converters(
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
        convert_element = _field_converter(
            get_args(hint)[0],
            convert_class,
            scalar,
        )
        return lambda elements: tuple(
            convert_element(element) for element in _require(elements)
        )
    if dataclasses.is_dataclass(hint):
        return convert_class(cast(type, hint))
    return scalar


def _wire_encoder(message_class: type) -> _Converter:
    wire_class = getattr(ttypes, message_class.__name__)
    fields = _field_converters(message_class, _wire_encoder, _identity)

    def convert(message: Any) -> Any:  # noqa: WPS430 -- built once per class
        return wire_class(
            *[
                convert_field(getattr(message, name))
                for name, convert_field in fields
            ]
        )

    return convert


def _wire_decoder(message_class: type) -> _Converter:
    fields = _field_converters(message_class, _wire_decoder, _require)

    def convert(wire: Any) -> Any:  # noqa: WPS430 -- built once per class
        return message_class(
            *[
                convert_field(getattr(wire, name))
                for name, convert_field in fields
            ]
        )

    return convert


def _snake_case(name: str) -> str:
    return re.sub('(?<!^)(?=[A-Z])', '_', name).lower()


_CLASSES: Final = get_args(messages.Message)
_FIELD_BY_CLASS: Final = MappingProxyType(
    {
        message_class: _snake_case(message_class.__name__)
        for message_class in _CLASSES
    }
)
_TO_WIRE_BY_CLASS: Final = MappingProxyType(
    {message_class: _wire_encoder(message_class) for message_class in _CLASSES}
)
_FROM_WIRE_BY_CLASS: Final = MappingProxyType(
    {message_class: _wire_decoder(message_class) for message_class in _CLASSES}
)
