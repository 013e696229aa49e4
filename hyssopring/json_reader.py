"""Reading of JSON that other writers may have written, in part."""

import json
import math
import re
from types import MappingProxyType
from typing import Any, Final

__all__ = ('read_json',)

# Levels that are read; the documents of this project have fewer than ten.
_MAX_DEPTH: Final = 100
# Of an integer; Python converts at most 4,300.
_MAX_DIGITS: Final = 300
_STRING_OR_BRACKET: Final = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_STEP_BY_BRACKET: Final = MappingProxyType(
    {'[': 1, '{': 1, ']': -1, '}': -1},
)


def read_json(body: bytes) -> Any:
    """Parse a document; one odd value does not make the others unreadable.

    A value that is nested too deeply is read as None, an integer with too many
    digits as infinity.

    Raises:
        ValueError: The body is not JSON.
    """
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        # The slower reading is needed for odd values only.
        text = body.decode(json.detect_encoding(body))
    return json.loads(_without_deep_values(text), parse_int=_bounded_integer)


def _bounded_integer(digits: str) -> float:
    if len(digits) <= _MAX_DIGITS:
        return int(digits)
    return -math.inf if digits.startswith('-') else math.inf


def _without_deep_values(text: str) -> str:
    """Replace each value beyond the last level by null, without recursion."""
    kept: list[str] = []
    depth = 0
    kept_to = 0
    for token in _STRING_OR_BRACKET.finditer(text):
        step = _STEP_BY_BRACKET.get(token.group(), 0)
        if step > 0 and depth == _MAX_DEPTH:
            kept.extend((text[kept_to : token.start()], 'null'))
            # Without its end, nothing after the value is kept.
            kept_to = len(text)
        elif step < 0 and depth == _MAX_DEPTH + 1:
            kept_to = token.end()
        depth += step
    return ''.join([*kept, text[kept_to:]])
