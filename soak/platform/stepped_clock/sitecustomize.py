"""Adds an offset to the time of day of a program under test.

Python imports this module at startup from ``PYTHONPATH``. The offset, in s, is
read from a file that the soak changes.
"""

import mmap
import os
import struct
import time

_OFFSET = struct.Struct('d')
_time = time.time


def _open_offset(path):
    with open(path, 'rb') as opened:
        return mmap.mmap(opened.fileno(), 0, access=mmap.ACCESS_READ)


if 'SOAK_CLOCK_FILE' in os.environ:
    _offset = _open_offset(os.environ['SOAK_CLOCK_FILE'])
    time.time = lambda: _time() + _OFFSET.unpack_from(_offset)[0]
