"""Route path: a large request body that arrives from another node in parts."""

from collections import deque

from rattanfork_node.http1 import PART_BYTES, BodyReader
from rattanfork_node.peer import BodyCredit, BodyPart, BodyStart, FrameError, PeerLink

#: Bytes of one body that may be on the way or wait at the gate.
_WINDOW_BYTES = 256 << 10


class RemoteBody(BodyReader):
    """Reads a body that another node holds.

    Explanation
    ===========

    Nothing is requested before the first read, so a run that waits in the queue of the
    gate takes no memory for its body.  Afterwards a window of it is on the way.

    Parameters
    ==========

    link : PeerLink
        Connection over which the body arrives.
    start : BodyStart
        Announcement of the body.
    """

    __slots__ = ("_allowed", "_link", "_parts", "_read", "_received", "_start")

    def __init__(self, link: PeerLink, start: BodyStart) -> None:
        if start.size < 0:
            raise FrameError("size of a body must be at least 0")
        self._link = link
        self._start = start
        self._parts: deque[bytes] = deque()
        self._received = 0
        self._read = 0
        self._allowed = 0
        self.on_readable = _ignore

    @property
    def size(self) -> int:
        """Size of the body, in bytes."""
        return self._start.size

    @property
    def max_held_bytes(self) -> int:
        """Most bytes of the body that wait here at a time."""
        return min(self.size, _WINDOW_BYTES + PART_BYTES)

    @property
    def fingerprint(self) -> int:
        """Fingerprint of the request, as its sender computed it."""
        return self._start.fingerprint

    @property
    def remaining(self) -> int:
        """Bytes that :meth:`read` has not returned yet."""
        return self._start.size - self._read

    def read(self) -> bytes:
        """Return the next part; b"" at the end, or if more has yet to arrive."""
        part = self._parts.popleft() if self._parts else b""
        self._read += len(part)
        self._request()
        return part

    def on_part(self, part: BodyPart) -> None:
        """Keep a part that has arrived.

        Raises
        ======

        FrameError
            If more arrives than was requested.
        """
        self._received += len(part.data)
        # The last part that is sent may exceed the allowed offset.
        if self._received > min(self.size, self._allowed + PART_BYTES):
            raise FrameError("more of a body was received than was requested")
        self._parts.append(part.data)
        self.on_readable()

    def _request(self) -> None:
        allowed = min(self.size, self._read + _WINDOW_BYTES)
        is_last = allowed == self.size > self._allowed
        if is_last or allowed - self._allowed >= _WINDOW_BYTES // 2:
            self._allowed = allowed
            self._link.send_batched(BodyCredit(self._start.number, allowed))


def _ignore() -> None:
    pass
