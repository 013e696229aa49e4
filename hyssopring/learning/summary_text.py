"""The text of a summary, as its row in the store holds it.

The text is a JSON object with the version, the time and the body, which is
JSON text, compressed and encoded in base64.
"""

import base64
import binascii
import json
import zlib
from dataclasses import replace
from typing import Any, Final, Iterable, Mapping

from pydantic import TypeAdapter, ValidationError

from hyssopring.learning.learned_pairs import MAX_PAIRS
from hyssopring.learning.run_times import MAX_KEYS
from hyssopring.learning.summary import StoredRuns, Summary
from hyssopring.learning.summary_body import (
    decode_body,
    encode_body,
    reason_of,
)

__all__ = ('MAX_TEXT_BYTES', 'SummaryError', 'decode_summary', 'encode_summary')

# A row holds 65,536 bytes; relayed calls add some.
MAX_TEXT_BYTES: Final = 48_000
_VERSION: Final = 1
_MAX_BODY_BYTES: Final = 1_000_000
# Longer names are left out, as one of them would crowd out the others.
_MAX_NAME_CHARS: Final = 200
_MAX_SPEEDS: Final = 200
# The share of the entries that is kept each time the text is too long.
_KEPT_SHARE: Final = 0.8
# Clocks of VMs differ by less.
_MAX_CLOCK_AHEAD_MS: Final = 60_000.0
_OBJECT: Final = TypeAdapter(dict[str, Any])
_TIME: Final = TypeAdapter(float)


class SummaryError(Exception):
    """A text is no summary, or one of another version."""


def encode_summary(summary: Summary) -> str:
    """Return the text, with the entries of most evidence if not all fit."""
    share = float(1)
    text = _encode(_bounded(summary, share))
    while len(text) > MAX_TEXT_BYTES:
        share *= _KEPT_SHARE
        text = _encode(_bounded(summary, share))
    return text


def decode_summary(text: str, now_ms: float) -> tuple[Summary, list[str]]:
    """Return the summary, and what in it was ignored.

    Args:
        now_ms: The time in ms since 1970.

    Raises:
        SummaryError: The text as a whole cannot be used.
    """
    try:
        return _decode(text, now_ms)
    except (ValidationError, binascii.Error, zlib.error) as error:
        raise SummaryError(reason_of(error)) from error


def _bounded(summary: Summary, share: float) -> Summary:
    """Return a share of the most entries, those with the most evidence."""
    pairs = sorted(
        (
            (images, pair)
            for images, pair in summary.pair_by_images.items()
            if _are_short(images)
        ),
        key=lambda item: item[1].variance,
    )
    speeds = sorted(
        (
            (boot, speed)
            for boot, speed in summary.speed_by_boot.items()
            if _are_short((boot,))
        ),
        key=lambda item: item[1],
    )
    return replace(
        summary,
        pair_by_images=dict(pairs[: int(share * MAX_PAIRS)]),
        runs_by_key=_most_used(summary.runs_by_key, int(share * MAX_KEYS)),
        speed_by_boot=dict(speeds[: int(share * _MAX_SPEEDS)]),
    )


def _most_used(
    runs_by_key: Mapping[str, StoredRuns], most: int
) -> dict[str, StoredRuns]:
    by_use = sorted(
        (
            (key, runs)
            for key, runs in runs_by_key.items()
            if _are_short((key,))
        ),
        key=lambda item: item[1].ends,
        reverse=True,
    )
    return dict(by_use[:most])


def _are_short(names: Iterable[str]) -> bool:
    return all(len(name) <= _MAX_NAME_CHARS for name in names)


def _encode(summary: Summary) -> str:
    packed = zlib.compress(_to_json(encode_body(summary)).encode())
    return _to_json(
        {
            'version': _VERSION,
            'saved_ms': summary.saved_ms,
            'body': base64.b64encode(packed).decode(),
        }
    )


def _decode(text: str, now_ms: float) -> tuple[Summary, list[str]]:
    envelope = _OBJECT.validate_json(text)
    version = envelope.get('version')
    if version != _VERSION:
        raise SummaryError(f'version {version!r}')
    saved_ms = _TIME.validate_python(envelope.get('saved_ms'), strict=True)
    if not 0 <= saved_ms <= now_ms + _MAX_CLOCK_AHEAD_MS:
        raise SummaryError(f'saved_ms {saved_ms} is out of range')
    body = _OBJECT.validate_json(_unpack(envelope.get('body')))
    summary, problems = decode_body(body, saved_ms)
    return _bounded(summary, 1), problems


def _unpack(body: object) -> bytes:
    if not isinstance(body, str):
        raise SummaryError('no body')
    packed = base64.b64decode(body.encode('ascii', 'replace'), validate=True)
    decompressor = zlib.decompressobj()
    unpacked = decompressor.decompress(packed, _MAX_BODY_BYTES)
    if not decompressor.eof:
        raise SummaryError('body cut off or too long')
    return unpacked


def _to_json(tree: object) -> str:
    return json.dumps(tree, separators=(',', ':'))
