"""The connection between an entry and an agent for the generated messages."""

import hashlib
import hmac
from typing import Any, Final

from hyssopring.protocol.codec import decode, encode
from hyssopring.protocol.frames import Codec, FramedConnection, Traffic

__all__ = ('InnerConnection', 'Traffic', 'prove')

_CODEC: Final = Codec(encode, decode)


def prove(secret: str, nonce: str, agent_id: str) -> str:
    """Return the proof that a peer knows the deployment's secret."""
    text = f'{nonce}|{agent_id}'
    return hmac.new(
        secret.encode(),
        text.encode(),
        hashlib.sha256,
    ).hexdigest()


class InnerConnection(FramedConnection):
    """Carries the messages of ``protocol.messages``."""

    def __init__(self, *owner: Any) -> None:
        """Take a clock and the callbacks of ``FramedConnection``."""
        super().__init__(_CODEC, *owner)
