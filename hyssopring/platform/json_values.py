"""A limit on the number of values in a JSON body."""

__all__ = ('check_value_count',)


def check_value_count(body: bytes, max_values: int) -> None:
    """Check a body before it is parsed; commas in strings count, too.

    Parsing takes up to 500 bytes of memory for a value of a few characters.

    Raises:
        ValueError: The body has too many values.
    """
    if body.count(b',') >= max_values:
        raise ValueError(f'the body has more than {max_values} values')
