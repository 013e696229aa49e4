"""Ids that are the same in each run of a seed."""

import contextlib
import random
import uuid
from unittest import mock

__all__ = ('seeded_ids',)


@contextlib.contextmanager
def seeded_ids(seed):
    """Draw the program's unique ids from a seed.

    Ids are compared and hashed, as in the subsets of entries and the order of
    rows, so a seed would not repeat its run with unseeded ids.
    """
    rng = random.Random(f'ids {seed}')

    def draw():
        return uuid.UUID(int=rng.getrandbits(128), version=4)

    with mock.patch('uuid.uuid4', draw):
        yield
