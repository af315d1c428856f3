"""Non-blocking log writer for a file descriptor."""

import os
import stat
from typing import Any

import orjson

#: Maximum size of the buffer in bytes: 2 s of output at the highest rate of a node.
#: More would reduce the memory that is available for requests.
_MAX_BUFFER_BYTES = 160 << 10


class LineWriter:
    """Writes JSON lines without blocking, and drops them if the reader stops.

    Explanation
    ===========

    If a log collector stops reading, the pipe fills up, and a blocking write would
    delay every request of the node.  The pipe is therefore set non-blocking; lines
    that do not fit wait in a bounded buffer, and further ones are dropped and
    counted.

    Parameters
    ==========

    descriptor : int or None
        File descriptor for the lines; None to discard them.
    """

    def __init__(self, descriptor: int | None) -> None:
        self._descriptor = descriptor
        self._buffer: list[bytes] = []
        self._size = 0
        self._dropped = 0
        if descriptor is not None and _is_pipe(descriptor):
            os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped because the reader stopped or closed the pipe."""
        return self._dropped

    def write(self, record: dict[str, Any]) -> None:
        """Buffer a line until the next :meth:`flush`."""
        if self._descriptor is None:
            return
        line = orjson.dumps(record, default=str, option=orjson.OPT_APPEND_NEWLINE)
        if self._size + len(line) > _MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        self._buffer.append(line)
        self._size += len(line)

    def write_now(self, record: dict[str, Any]) -> None:
        """Write a line immediately; the process may exit right after it."""
        self.write(record)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        if not self._buffer:
            return
        data = b"".join(self._buffer)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The descriptor can't be written, such as after the reader closed the
            # pipe; the node keeps serving requests without a log.
            self._dropped += len(self._buffer)
            written = len(data)
        unwritten = data[written:]
        self._buffer = [unwritten] if unwritten else []
        self._size = len(unwritten)


def _is_pipe(descriptor: int) -> bool:
    try:
        mode = os.fstat(descriptor).st_mode
    except OSError:
        return False
    return stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)
