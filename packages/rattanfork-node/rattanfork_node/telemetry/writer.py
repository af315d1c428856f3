"""Lines to a file descriptor, without ever waiting for who reads them."""

import os
import stat
from typing import Any

import orjson

#: Bytes of lines that may wait for a reader.  Two seconds of the most that a
#: node writes; more would count against the memory that serves requests.
_MOST_WAITING = 160 << 10


class LineWriter:
    """Writes lines, and drops them where nobody reads.

    Explanation
    ===========

    A collector that stops reading fills the pipe, and a plain write would then
    hold up every request of the node.  So the pipe is set not to block; what
    does not fit waits in a bounded buffer, and what does not fit there is
    dropped and counted.

    Parameters
    ==========

    descriptor : int or None
        Where lines go; None for nowhere.
    """

    def __init__(self, descriptor: int | None) -> None:
        self._descriptor = descriptor
        self._waiting: list[bytes] = []
        self._size = 0
        self._dropped = 0
        if descriptor is not None and _is_pipe(descriptor):
            os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines lost because nobody read."""
        return self._dropped

    def write(self, record: dict[str, Any]) -> None:
        """Add a line; it goes out with the next :meth:`flush`."""
        if self._descriptor is None:
            return
        line = orjson.dumps(record, default=str, option=orjson.OPT_APPEND_NEWLINE)
        if self._size + len(line) > _MOST_WAITING:
            self._dropped += 1
            return
        self._waiting.append(line)
        self._size += len(line)

    def write_now(self, record: dict[str, Any]) -> None:
        """Write a line at once: a change of state may be the last one told."""
        self.write(record)
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as it is taken."""
        if not self._waiting:
            return
        data = b"".join(self._waiting)
        try:
            done = os.write(self._descriptor, data)
        except BlockingIOError:
            done = 0
        except OSError:
            # Nobody will read any more; logs are no reason to stop serving.
            self._dropped += len(self._waiting)
            done = len(data)
        rest = data[done:]
        self._waiting = [rest] if rest else []
        self._size = len(rest)


def _is_pipe(descriptor: int) -> bool:
    try:
        mode = os.fstat(descriptor).st_mode
    except OSError:
        return False
    return stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)
