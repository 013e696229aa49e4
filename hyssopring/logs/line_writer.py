"""Non-blocking writes of lines to a file descriptor."""

import os
from collections import deque
from typing import Final

__all__ = ('LineWriter',)

# Enough for some 1,500 lines (an assumed limit), so that no line is lost when
# the reader pauses briefly. Lines beyond it are dropped and counted.
_MAX_BUFFERED_BYTES: Final = 256 * 1024


class LineWriter:
    """Buffers lines, up to a limit, while the descriptor is not writable.

    Without it a log reader that stops reading would stop the process: a pipe
    holds 64 KB, and the next write blocks.

    Attributes:
        dropped: Number of lines dropped because the buffer was full.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to this descriptor, which becomes non-blocking."""
        os.set_blocking(descriptor, False)  # noqa: FBT003, WPS425
        self._descriptor = descriptor
        self._buffered_lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
        encoded = line.encode()
        if self._buffered_bytes + len(encoded) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffered_lines.append(encoded)
            self._buffered_bytes += len(encoded)
        self._flush()

    def _flush(self) -> None:
        while self._buffered_lines:
            first = self._buffered_lines[0]
            try:
                written = os.write(self._descriptor, first)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so an error can't be logged.
                self._buffered_lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written == len(first):
                self._buffered_lines.popleft()
            else:
                self._buffered_lines[0] = first[written:]
