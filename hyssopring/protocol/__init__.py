"""The inner protocol between entries and agents.

Its messages are in ``protocol.messages``.
"""

from hyssopring.protocol.codec import ProtocolError, decode, encode

__all__ = ('ProtocolError', 'decode', 'encode')
