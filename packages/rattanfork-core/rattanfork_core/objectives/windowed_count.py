"""Counts over sliding windows in bounded memory."""

from collections import deque

from rattanfork_core.clock import Clock

#: Lengths of the windows of objectives in seconds: five minutes, one hour, six
#: hours.
WINDOWS = (300.0, 3600.0, 21600.0)


class WindowedCount:
    """Good and bad answers over the last seconds.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    seconds : float
        Length of the window.
    buckets : int
        Parts the window is kept in.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> count = WindowedCount(clock, seconds=60, buckets=6)
    >>> count.add(good=9, bad=1)
    >>> clock.advance(30)
    >>> count.totals()
    (9, 1)
    >>> clock.advance(60)
    >>> count.totals()
    (0, 0)
    """

    __slots__ = ("_clock", "_parts", "_seconds", "_width")

    def __init__(self, clock: Clock, seconds: float, buckets: int = 30) -> None:
        self._clock = clock
        self._seconds = seconds
        self._width = seconds / buckets
        self._parts: deque[list] = deque()

    @property
    def seconds(self) -> float:
        """Length of the window."""
        return self._seconds

    def add(self, good: int, bad: int) -> None:
        """Count answers."""
        place = int(self._clock.now() / self._width)
        if not self._parts or self._parts[-1][0] != place:
            self._parts.append([place, 0, 0])
            self._drop_old(place)
        part = self._parts[-1]
        part[1] += good
        part[2] += bad

    def totals(self) -> tuple[int, int]:
        """Return the good and the bad answers of the window."""
        self._drop_old(int(self._clock.now() / self._width))
        good = sum(part[1] for part in self._parts)
        return good, sum(part[2] for part in self._parts)

    def _drop_old(self, place: int) -> None:
        oldest = place - int(self._seconds / self._width)
        while self._parts and self._parts[0][0] <= oldest:
            self._parts.popleft()
