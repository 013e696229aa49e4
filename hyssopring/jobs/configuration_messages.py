"""Messages by which entries exchange configurations."""

from typing import Final

from hyssopring.protocol.structs import struct

__all__ = (
    'WHOLE',
    'ConfigurationNotice',
    'ConfigurationPart',
    'ConfigurationRequest',
    'ConfigurationText',
)

# Requested by entries of a release that does not know parts.
WHOLE: Final = -1


@struct
class ConfigurationNotice:
    """Announces the version that the sender has in force."""

    version: int


@struct
class ConfigurationRequest:
    """Requests a configuration of at least a version.

    Attributes:
        version: Lowest version; a receiver with an older one in force does
            not respond.
        part: Index of the part of the compressed text, from 0; ``WHOLE``
            requests a ``ConfigurationText``.
    """

    version: int
    part: int = WHOLE


@struct
class ConfigurationText:
    """The stored text of the configuration that the sender has in force."""

    text: str


@struct
class ConfigurationPart:
    """A part of the compressed configuration that the sender has in force.

    Attributes:
        version: Version of the configuration; may be newer than requested.
        row_version: Version of the store's row that holds it.
        part: Index of the part, from 0.
        parts: Number of parts.
        packed: The part's bytes of the compressed text, in base64.
    """

    version: int
    row_version: int
    part: int
    parts: int
    packed: str
