"""The time of day of one program, which the soak can set back."""

import pathlib
import struct

_FOLDER = pathlib.Path(__file__).resolve().parent / 'stepped_clock'
_OFFSET = struct.Struct('d')


class ProgramClock:
    """The offset of a program's time of day, in a file that it maps.

    Attributes:
        environment: The variables with which the program reads the offset.
    """

    def __init__(self, path):
        path.write_bytes(_OFFSET.pack(0))
        self._path = path
        self.environment = {
            'PYTHONPATH': str(_FOLDER),
            'SOAK_CLOCK_FILE': str(path),
        }

    def set_offset(self, offset_s):
        """Set the offset at once, also for a running program."""
        with self._path.open('r+b') as opened:
            opened.write(_OFFSET.pack(offset_s))
