"""What entries tell each other of configurations, as messages."""

from typing import Final

from hyssopring.protocol.structs import struct

__all__ = (
    'WHOLE',
    'ConfigurationNotice',
    'ConfigurationPart',
    'ConfigurationRequest',
    'ConfigurationText',
)

# The part that an entry asks for which knows no parts.
WHOLE: Final = -1


@struct
class ConfigurationNotice:
    """The sender has this version of the configuration in force."""

    version: int


@struct
class ConfigurationRequest:
    """Asks for the configuration, if the receiver has this version.

    Attributes:
        part: Which part of the packed text, from 0; ``WHOLE`` asks for a
            ``ConfigurationText``.
    """

    version: int
    part: int = WHOLE


@struct
class ConfigurationText:
    """The configuration that the sender has in force, as it is stored."""

    text: str


@struct
class ConfigurationPart:
    """A part of the packed configuration that the sender has in force.

    Attributes:
        version: Of the configuration; may be newer than the asked one.
        row_version: The store's version of the row that holds it.
        part: From 0.
        parts: How many there are.
        packed: Some of the compressed text's bytes, in base64.
    """

    version: int
    row_version: int
    part: int
    parts: int
    packed: str
