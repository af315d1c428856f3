"""Counters over sliding windows, in bounded memory."""

from collections import deque

from rattanfork_core.clock import Clock

#: Window lengths in seconds: five minutes, one hour, six hours.
WINDOWS = (300.0, 3600.0, 21600.0)


class WindowedCount:
    """Numbers of good and bad requests in a sliding window.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    seconds : float
        Length of the window.
    buckets : int
        Number of buckets that the window is divided into.

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

    __slots__ = ("_bucket_seconds", "_buckets", "_clock", "_seconds")

    def __init__(self, clock: Clock, seconds: float, buckets: int = 30) -> None:
        self._clock = clock
        self._seconds = seconds
        self._bucket_seconds = seconds / buckets
        self._buckets: deque[list] = deque()

    @property
    def seconds(self) -> float:
        """Length of the window."""
        return self._seconds

    def add(self, good: int, bad: int) -> None:
        """Count requests."""
        number = int(self._clock.now() / self._bucket_seconds)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
            self._drop_expired(number)
        bucket = self._buckets[-1]
        bucket[1] += good
        bucket[2] += bad

    def totals(self) -> tuple[int, int]:
        """Return the good and bad requests in the window."""
        self._drop_expired(int(self._clock.now() / self._bucket_seconds))
        good = sum(bucket[1] for bucket in self._buckets)
        return good, sum(bucket[2] for bucket in self._buckets)

    def _drop_expired(self, number: int) -> None:
        newest_expired = number - int(self._seconds / self._bucket_seconds)
        while self._buckets and self._buckets[0][0] <= newest_expired:
            self._buckets.popleft()
