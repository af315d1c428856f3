"""What the kernel holds for the two directions of a TCP connection."""

import asyncio
import fcntl
import sys
import termios

_COUNT_BYTES = 4


def undelivered_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that were sent and not yet acknowledged by the other side.

    Closing a socket on which more is received resets the connection, and the reset
    discards them.  0 if it can't be known.
    """
    return _count(transport, termios.TIOCOUTQ)


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that were received and not yet read; 0 if it can't be known."""
    return _count(transport, termios.FIONREAD)


def _count(transport: asyncio.BaseTransport, request: int) -> int:
    connection = transport.get_extra_info("socket")
    if connection is None:
        return 0
    try:
        answer = fcntl.ioctl(connection.fileno(), request, bytes(_COUNT_BYTES))
    except (OSError, ValueError):
        # Closed already, or the system does not tell.
        return 0
    return int.from_bytes(answer, sys.byteorder)
