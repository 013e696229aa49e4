"""The body of a summary's text, as JSON values.

Numbers are whole: they are quantised more finely than they are known. Pairs
are kept by latency-critical image in three columns: distances between the
positions of best-effort images in the list of their names, means, and
deviations.
"""

from functools import partial
from typing import Any, Callable, Final, Mapping, TypeVar

from pydantic import TypeAdapter, ValidationError

from hyssopring.learning.pairs import Pair, PairKey
from hyssopring.learning.quantising import (
    Quantiser,
    decode_counts,
    decode_pair,
    encode_counts,
    encode_pair,
)
from hyssopring.learning.summary import StoredRuns, Summary

__all__ = ('decode_body', 'encode_body', 'reason_of')

_SPEEDS: Final = Quantiser(0.01, 0.05)
_MAX_SPEED: Final = 10.0

_Columns = tuple[list[int], list[int], list[int]]
_Decoded = TypeVar('_Decoded')
_NAMES: Final = TypeAdapter(list[str])
_COLUMNS: Final = TypeAdapter(_Columns)
_RUNS: Final = TypeAdapter(tuple[list[int], list[int]])
_SPEED: Final = TypeAdapter(int)


def encode_body(summary: Summary) -> dict[str, object]:
    """Return the JSON values of a summary."""
    names = sorted({images[1] for images in summary.pair_by_images})
    return {
        'names': names,
        'pairs': _encode_pairs(summary.pair_by_images, names),
        'runs': {
            key: [encode_counts(runs.times_ms), encode_counts(runs.ratios)]
            for key, runs in summary.runs_by_key.items()
        },
        'speeds': {
            boot: _SPEEDS.encode(speed)
            for boot, speed in summary.speed_by_boot.items()
        },
    }


def decode_body(
    body: Mapping[str, Any], saved_ms: float
) -> tuple[Summary, list[str]]:
    """Return the summary, and what in it was ignored.

    Raises:
        ValidationError: The names of images are missing or no texts.
    """
    names = _NAMES.validate_python(body.get('names'))
    problems: list[str] = []
    pairs_by_image = _decode_part(
        body, 'pairs', partial(_decode_pairs, names=names), problems
    )
    pair_by_images = {
        (image, best_effort): pair
        for image, pair_by_image in pairs_by_image.items()
        for best_effort, pair in pair_by_image.items()
    }
    summary = Summary(
        saved_ms,
        pair_by_images,
        _decode_part(body, 'runs', _decode_runs, problems),
        _decode_part(body, 'speeds', _decode_speed, problems),
    )
    return summary, problems


def reason_of(error: Exception) -> str:
    """Return what was wrong, in one line."""
    if isinstance(error, ValidationError):
        return str(error.errors()[0]['msg'])
    return str(error)


def _encode_pairs(
    pair_by_images: Mapping[PairKey, Pair], names: list[str]
) -> dict[str, _Columns]:
    position_by_name = {name: position for position, name in enumerate(names)}
    columns_by_image: dict[str, _Columns] = {}
    last_by_image: dict[str, int] = {}
    for image, best_effort in sorted(pair_by_images):
        columns = columns_by_image.setdefault(image, ([], [], []))
        position = position_by_name[best_effort]
        codes = encode_pair(pair_by_images[image, best_effort])
        columns[0].append(position - last_by_image.get(image, -1))
        columns[1].append(codes[0])
        columns[2].append(codes[1])
        last_by_image[image] = position
    return columns_by_image


def _decode_part(
    body: Mapping[str, Any],
    name: str,
    decode: Callable[[Any], _Decoded],
    problems: list[str],
) -> dict[str, _Decoded]:
    """Decode the entries of a part; note and leave out the bad ones."""
    part = body.get(name, {})
    if not isinstance(part, dict):
        problems.append(f'{name}: no object')
        return {}
    decoded_by_key = {}
    for key, stored in part.items():
        try:
            decoded_by_key[key] = decode(stored)
        except (ValueError, IndexError) as error:
            problems.append(f'{name} of {key}: {reason_of(error)}')
    return decoded_by_key


def _decode_pairs(stored: object, names: list[str]) -> dict[str, Pair]:
    columns = _COLUMNS.validate_python(stored)
    position = -1
    pair_by_image = {}
    for gap, mean, deviation in zip(*columns, strict=True):
        if gap <= 0:
            raise ValueError('positions do not increase')
        position += gap
        pair_by_image[names[position]] = decode_pair(mean, deviation)
    return pair_by_image


def _decode_runs(stored: object) -> StoredRuns:
    times, ratios = _RUNS.validate_python(stored)
    return StoredRuns(decode_counts(times), decode_counts(ratios))


def _decode_speed(stored: object) -> float:
    return _SPEEDS.decode(_SPEED.validate_python(stored), _MAX_SPEED)
