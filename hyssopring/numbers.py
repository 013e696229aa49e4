"""The range of the numbers that other writers may send."""

from typing import Final

__all__ = ('MAX_EXACT_INTEGER', 'are_in_range')

# Up to this number a double, and so any JSON parser, holds integers exactly.
# Messages hold integers of 64 bits.
MAX_EXACT_INTEGER: Final = 2**53


def are_in_range(*numbers: float) -> bool:
    """Return whether all numbers are within it; NaN is not."""
    return all(
        -MAX_EXACT_INTEGER <= number <= MAX_EXACT_INTEGER for number in numbers
    )
