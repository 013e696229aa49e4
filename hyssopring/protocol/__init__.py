"""The inner protocol between entries and agents."""

from hyssopring.protocol.codec import ProtocolError, decode, encode
from hyssopring.protocol.messages import PROTOCOL_VERSION, Message, Resources

__all__ = (
    'PROTOCOL_VERSION',
    'Message',
    'ProtocolError',
    'Resources',
    'decode',
    'encode',
)
