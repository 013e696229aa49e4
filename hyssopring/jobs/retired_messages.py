"""Messages that peers of earlier releases may send, and that ask for nothing.

Their places in the list of messages are kept, so that those after them keep
their numbers. Their fields are skipped.
"""

from hyssopring.protocol.structs import struct

__all__ = ('RetiredOutlookNotice', 'RetiredRejectionNotice')


@struct
class RetiredOutlookNotice:
    """How much work waited; sent while admission of jobs was on."""


@struct
class RetiredRejectionNotice:
    """That a job was rejected; sent while admission of jobs was on."""
