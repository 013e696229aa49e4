"""Writes lines to a descriptor without ever waiting for its reader."""

import os
from collections import deque
from typing import Final

__all__ = ('LineWriter',)

# Assumed: room for some 1,500 lines, so that a reader that stops for a moment
# loses nothing. What comes beyond is counted and left out.
_MAX_BYTES: Final = 256 * 1024


class LineWriter:
    """Keeps lines that the descriptor does not take yet, up to a limit.

    A log reader that stops reading would otherwise stop the process: a pipe
    takes 64 KB, and the next write waits.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to this descriptor, which is made not to block."""
        os.set_blocking(descriptor, False)  # noqa: FBT003, WPS425
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line, or keep it, or count it as dropped."""
        encoded = line.encode()
        if self._size + len(encoded) > _MAX_BYTES:
            self.dropped += 1
        else:
            self._waiting.append(encoded)
            self._size += len(encoded)
        self._flush()

    def _flush(self) -> None:
        while self._waiting:
            first = self._waiting[0]
            try:
                written = os.write(self._descriptor, first)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good: nobody is left to tell.
                self._waiting.clear()
                self._size = 0
                return
            self._size -= written
            if written == len(first):
                self._waiting.popleft()
            else:
                self._waiting[0] = first[written:]
