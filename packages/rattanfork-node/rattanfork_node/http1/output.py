"""Data that a connection passes to its transport as the client reads."""

import asyncio
from collections import deque

from rattanfork_node.http1.request_body import PART_BYTES, HeldBody

#: Bytes that the transport holds at which it is given no more.  What it holds below is
#: not counted, so that this many bytes for each connection have no other bound.
_WRITE_BUFFER_BYTES = 4 << 10
#: Unsent bytes from which a client counts as one that does not read.
_MAX_BACKLOG_BYTES = 256 << 10


class Output:
    """Writes data in order, a part at a time if there is much of it.

    Explanation
    ===========

    A transport keeps all that it is given until the last byte of it is sent, so that a
    slow client would hold a large response whole for as long as it reads.

    Parameters
    ==========

    transport : asyncio.Transport
        Where the data goes.
    """

    __slots__ = ("_held", "_parts", "_transport", "is_writable")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._parts: deque[bytes] = deque()
        self._held = 0
        #: Whether the transport takes more data.
        self.is_writable = True
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)

    @property
    def is_empty(self) -> bool:
        """Whether the transport was given all data."""
        return not self._parts

    @property
    def is_backed_up(self) -> bool:
        """Whether the client leaves more unread than one that reads does."""
        return not self.is_writable and self.unsent_bytes > _MAX_BACKLOG_BYTES

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the client has not read yet."""
        return self._transport.get_write_buffer_size() + self._held

    def write(self, data: bytes) -> None:
        """Send data behind all that was written before."""
        if self.is_writable and not self._parts and len(data) <= PART_BYTES:
            self._transport.write(data)
            return
        for start in range(0, len(data), PART_BYTES):
            self._parts.append(data[start : start + PART_BYTES])
        self._held += len(data)
        self._pass_on()

    def write_body(self, body: HeldBody) -> None:
        """Send a body that is held in parts, which are freed as they are sent."""
        self._parts.extend(body.parts)
        self._held += body.size
        body.discard()
        self._pass_on()

    def pause(self) -> None:
        """Stop passing data on: the transport takes no more."""
        self.is_writable = False

    def resume(self) -> None:
        """Go on passing data to the transport."""
        self.is_writable = True
        self._pass_on()

    def clear(self) -> None:
        """Drop what the transport was not given yet."""
        self._parts.clear()
        self._held = 0

    def _pass_on(self) -> None:
        while self._parts and self.is_writable:
            part = self._parts.popleft()
            self._held -= len(part)
            self._transport.write(part)
