"""Reads and discards the rest of a refused body before its connection closes."""

import asyncio
from collections import Counter
from collections.abc import Callable

from rattanfork_core.clock import Clock
from rattanfork_core.uploads import DrainBound
from rattanfork_core.uploads.drain_bound import DRAIN_SECONDS


class BodyDrain:
    """Keeps a connection open until the rest of a refused body was discarded.

    Explanation
    ===========

    The response has been written.  Closing with unread bytes would reset the
    connection, and the client could lose the response.  At the bound on what is read,
    reading stops and the connection stays open, for as long as a drain may take: a
    client that reads while it sends closes it.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    transport : asyncio.Transport
        The connection.
    close : callable
        Closes the connection once its responses were read; the argument is whether
        more may be received until then.
    events : Counter
        Counts how drains end.
    """

    __slots__ = ("_bound", "_close", "_events", "_timer", "_transport", "is_paused")

    def __init__(
        self,
        clock: Clock,
        transport: asyncio.Transport,
        close: Callable[[bool], None],
        events: Counter[str],
    ) -> None:
        self._bound = DrainBound(clock)
        self._transport = transport
        self._close = close
        self._events = events
        #: Whether the bound on what is read was reached.
        self.is_paused = False
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(DRAIN_SECONDS, self._cut)

    def on_bytes(self, count: int, is_malformed: bool) -> None:
        """Record discarded bytes; read no more at the bound.

        Parameters
        ==========

        count : int
            Number of bytes.
        is_malformed : bool
            Whether the end of the body can't be found; the connection is closed then.
        """
        if self._bound.on_bytes(count):
            return
        if is_malformed:
            self._cut()
        elif not self.is_paused:
            self.is_paused = True
            self._transport.pause_reading()

    def finish(self) -> None:
        """Close the connection: the body has ended."""
        self._events["upload.drained"] += 1
        self.cancel()
        self._close(True)

    def cancel(self) -> None:
        """Stop waiting, as the connection is closed."""
        self._timer.cancel()

    def _cut(self) -> None:
        self._events["upload.drain-cut"] += 1
        self.cancel()
        self._close(False)
