"""Bounds on what is read from a client after its upload was refused."""

from rattanfork_core.clock import Clock

#: Seconds for which the rest of a refused body is read.  Closing with unread bytes
#: resets the connection, and the client may lose a response that it has not read.
DRAIN_SECONDS = 1.0
#: Bytes of a refused body that are read, at most.
DRAIN_BYTES = 1_000_000


class DrainBound:
    """Decides how long the rest of a refused body is read and discarded.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> bound = DrainBound(ManualClock())
    >>> bound.on_bytes(600_000), bound.on_bytes(600_000)
    (True, False)
    """

    __slots__ = ("_clock", "_ends_at", "discarded")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ends_at = clock.now() + DRAIN_SECONDS
        #: Bytes discarded so far.
        self.discarded = 0

    def on_bytes(self, count: int) -> bool:
        """Record discarded bytes; return whether more may be read."""
        self.discarded += count
        return self.discarded < DRAIN_BYTES and self._clock.now() < self._ends_at
