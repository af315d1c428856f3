"""Closes a connection without a reset that would truncate its last responses."""

import asyncio

from rattanfork_node.kernel_queues import undelivered_bytes

#: Seconds for which a connection stays open after the last sign of its client, if the
#: client has acknowledged all.  What it has acknowledged may wait unread in its kernel,
#: and many clients drop that at a reset.
_LINGER_S = 5.0
#: Bytes that are read and discarded; reading pauses then.
_MAX_DISCARDED_BYTES = 1 << 20


class LingeringClose:
    """Ends the sending side of a connection and closes it once its client has.

    Explanation
    ===========

    Bytes that arrive at a closed socket, or wait unread in one that is being closed,
    make the kernel reset the connection.  A reset discards what the client has not
    received yet, although the process counts it as sent.  Therefore the sending side
    is closed first, which tells the client that no more responses follow.  What it
    still sends is read and discarded until it closes, or has had some seconds to read
    what it has acknowledged (RFC 9112, section 9.6).

    Parameters
    ==========

    transport : asyncio.Transport
        The connection.
    """

    __slots__ = (
        "_discarded",
        "_is_ending",
        "_progress_at",
        "_transport",
        "_undelivered",
    )

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._is_ending = False
        self._undelivered = 0
        self._progress_at = 0.0
        self._discarded = 0

    @property
    def is_ending(self) -> bool:
        """Whether the sending side was closed and the connection is still open."""
        return self._is_ending

    def begin(self, active_at: float, may_receive: bool = True) -> None:
        """Close the sending side once all was sent.

        Parameters
        ==========

        active_at : float
            When something was last received or sent, in seconds of the clock.
        may_receive : bool
            Whether what the client still sends is read.
        """
        if self._is_ending or self._transport.is_closing():
            return
        self._is_ending = True
        self._undelivered = self._measure()
        self._progress_at = active_at
        try:
            self._transport.write_eof()
        except OSError:
            # The client has reset the connection, and the loop does not know it yet.
            self._transport.close()
            return
        if may_receive:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def discard(self, size: int) -> None:
        """Count bytes that were read and discarded; read no more at the bound."""
        if not self._is_ending:
            return
        self._discarded += size
        if self._discarded > _MAX_DISCARDED_BYTES:
            self._transport.pause_reading()

    def check(self, now: float) -> float:
        """Close the connection if its client has had the time to read all.

        Returns
        =======

        float
            Seconds for which the client has acknowledged nothing, though it had to.
        """
        undelivered = self._measure()
        if undelivered != self._undelivered:
            self._undelivered, self._progress_at = undelivered, now
        waited = now - self._progress_at
        if undelivered:
            return waited
        if waited > _LINGER_S:
            self._transport.close()
        return 0.0

    def _measure(self) -> int:
        unsent = self._transport.get_write_buffer_size()
        return unsent + undelivered_bytes(self._transport)
