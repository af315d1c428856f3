"""Closes a connection without a reset that would truncate its last responses."""

import asyncio

from rattanfork_node.kernel_queues import undelivered_bytes, unread_bytes


class LingeringClose:
    """Ends the sending side of a connection and closes it once all was delivered.

    Explanation
    ===========

    Bytes that arrive at a closed socket, or wait unread in one that is being closed,
    make the kernel reset the connection.  A reset discards what the client has not
    received yet, although the process counts it as sent.  Therefore the sending side
    is closed first, which tells the client that no more responses follow, and what it
    still sends is read and discarded until it has acknowledged all that was sent
    (RFC 9112, section 9.6).

    Parameters
    ==========

    transport : asyncio.Transport
        The connection.
    """

    __slots__ = ("_is_ending", "_progress_at", "_transport", "_undelivered")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._is_ending = False
        self._undelivered = 0
        self._progress_at = 0.0

    @property
    def is_ending(self) -> bool:
        """Whether the sending side was closed and the connection is still open."""
        return self._is_ending

    @property
    def undelivered_bytes(self) -> int:
        """Bytes that the client has not acknowledged yet."""
        unsent = self._transport.get_write_buffer_size()
        return unsent + undelivered_bytes(self._transport)

    def begin(self, now: float) -> None:
        """Close the connection, at once if nothing can be lost by it."""
        if self._is_ending:
            return
        transport = self._transport
        # Most often the last response waits in the transport, and no more is asked.
        self._undelivered = transport.get_write_buffer_size()
        if not (
            self._undelivered or undelivered_bytes(transport) or unread_bytes(transport)
        ):
            transport.close()
            return
        self._is_ending = True
        self._progress_at = now
        if transport.can_write_eof():
            transport.write_eof()
        transport.resume_reading()

    def check(self, now: float) -> float:
        """Close the connection if all was delivered.

        Returns
        =======

        float
            Seconds without progress of the client.
        """
        undelivered = self.undelivered_bytes
        if undelivered != self._undelivered:
            self._undelivered, self._progress_at = undelivered, now
        if not undelivered:
            self._transport.close()
            return 0.0
        return now - self._progress_at
