"""A configuration as the store holds it, packed and cut for narrow links.

A text of 2,800 queues, 0.64 MB, becomes 40 KB. On a link of 5 Mbit/s that is
0.15 s in base64; the store's answer, in base64 as well, takes 2.4 s.
"""

import base64
import binascii
import zlib
from dataclasses import dataclass
from typing import Final

from hyssopring.jobs.configuration_messages import ConfigurationPart

__all__ = (
    'GatheredParts',
    'PackedConfiguration',
    'StoredConfiguration',
    'MalformedPartsError',
)

# One part takes 0.06 s of a link of 5 Mbit/s, beside the store's own answer
# 0.13 s: grants and signs of life behind it are not held up.
_PART_BYTES: Final = 16 * 1024
# A text of the longest answer that is taken of the store.
_MAX_TEXT_BYTES: Final = 8 * 1024 * 1024
_MAX_PARTS: Final = _MAX_TEXT_BYTES // _PART_BYTES


class MalformedPartsError(Exception):
    """A peer's parts do not make a text."""


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A configuration's text, as the operator wrote it.

    Attributes:
        row_version: The store's version of its row; 0 if it is not known.
    """

    text: str
    row_version: int


@dataclass(frozen=True, slots=True)
class PackedConfiguration:
    """One version in parts that fit on a narrow link beside other messages."""

    version: int
    row_version: int
    parts: tuple[bytes, ...]

    @classmethod
    def from_stored(
        cls,
        version: int,
        stored: StoredConfiguration,
    ) -> 'PackedConfiguration':
        """Compress a text and cut it."""
        packed = zlib.compress(stored.text.encode())
        starts = range(0, len(packed), _PART_BYTES)
        parts = tuple(packed[start : start + _PART_BYTES] for start in starts)
        return cls(version, stored.row_version, parts)

    def message(self, number: int) -> ConfigurationPart | None:
        """Return a part as it is sent; None if there is no such part."""
        if not 0 <= number < len(self.parts):
            return None
        return ConfigurationPart(
            self.version,
            self.row_version,
            number,
            len(self.parts),
            base64.b64encode(self.parts[number]).decode(),
        )


class GatheredParts:
    """The parts of one version that have come from one holder."""

    def __init__(self, first: ConfigurationPart) -> None:
        """Begin with any part of a version; raises ``MalformedPartsError``."""
        if not 0 < first.parts <= _MAX_PARTS:
            raise MalformedPartsError(f'{first.parts} parts')
        self.version = first.version
        self._row_version = first.row_version
        self._count = first.parts
        self._parts: list[bytes] = []

    @property
    def next_number(self) -> int:
        """The part to ask for."""
        return len(self._parts)

    @property
    def is_whole(self) -> bool:
        """Whether all parts are here."""
        return self.next_number >= self._count

    def add(self, part: ConfigurationPart) -> None:
        """Take the next part; another one changes nothing."""
        if part.part != self.next_number or self.is_whole:
            return
        try:
            packed = base64.b64decode(part.packed, validate=True)
        except (binascii.Error, ValueError) as error:
            raise MalformedPartsError(str(error)) from error
        self._parts.append(packed)

    def stored(self) -> StoredConfiguration:
        """Unpack the whole; raises ``MalformedPartsError``."""
        unpacking = zlib.decompressobj()
        packed = b''.join(self._parts)
        try:
            text = unpacking.decompress(packed, _MAX_TEXT_BYTES).decode()
        except (zlib.error, UnicodeDecodeError) as error:
            raise MalformedPartsError(str(error)) from error
        if not unpacking.eof:
            raise MalformedPartsError('the packed text is cut or too long')
        return StoredConfiguration(text, self._row_version)
