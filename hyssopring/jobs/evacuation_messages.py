"""Messages that share which availability zones are evacuated."""

from hyssopring.protocol.structs import struct

__all__ = ('EvacuatedZone', 'EvacuationNotice')


@struct
class EvacuatedZone:
    """An evacuated availability zone.

    Attributes:
        age_ms: How long the sender has known of the evacuation.
    """

    zone: str
    age_ms: int


@struct
class EvacuationNotice:
    """All evacuated availability zones.

    A receiver keeps the notice with the highest version.

    Attributes:
        version: Version of the store at which these were all.
    """

    version: int
    zones: list[EvacuatedZone]
