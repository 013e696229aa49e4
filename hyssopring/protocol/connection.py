"""Connection between an entry and an agent for the generated messages."""

import hashlib
import hmac
from typing import Any, Final

from hyssopring.protocol.codec import decode, encode
from hyssopring.protocol.frames import Codec, FramedConnection, Traffic

__all__ = ('InnerConnection', 'Traffic', 'prove')

_CODEC: Final = Codec(encode, decode)


def prove(secret: str, nonce: str, agent_id: str) -> str:
    """Return the HMAC-SHA256 that proves knowledge of the secret, as hex.

    Args:
        secret: The secret of the deployment.
        nonce: The nonce of the challenge.
        agent_id: Id of the agent that the proof is for.
    """
    signed_text = f'{nonce}|{agent_id}'
    return hmac.new(
        secret.encode(),
        signed_text.encode(),
        hashlib.sha256,
    ).hexdigest()


class InnerConnection(FramedConnection):
    """A framed connection for the messages of ``protocol.messages``."""

    def __init__(self, *connection_arguments: Any) -> None:
        """Initialize with the other arguments of ``FramedConnection``."""
        super().__init__(_CODEC, *connection_arguments)
