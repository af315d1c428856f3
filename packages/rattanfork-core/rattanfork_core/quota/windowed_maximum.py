"""Maximum over a sliding time window, such as of the recent number of nodes."""

from collections import deque

from rattanfork_core.clock import Clock


class WindowedMaximum:
    """The largest value that a variable had within a sliding time window.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    window : float
        Length of the window, in seconds.
    value : int
        Initial value.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> size = WindowedMaximum(clock, window=30, value=58)
    >>> clock.advance(100)
    >>> size.update(20)
    >>> size.value
    58
    >>> clock.advance(31)
    >>> size.value
    20
    """

    def __init__(self, clock: Clock, window: float, value: int) -> None:
        self._clock = clock
        self._window = window
        #: Decreasing values, each with the time at which it ended; the last is current.
        self._values: deque[tuple[float, int]] = deque([(clock.now(), value)])

    @property
    def value(self) -> int:
        """The maximum over the window."""
        self._drop_expired()
        return self._values[0][1]

    def update(self, value: int) -> None:
        """Set the current value."""
        now = self._clock.now()
        self._values[-1] = (now, self._values[-1][1])
        while self._values and self._values[-1][1] <= value:
            self._values.pop()
        self._values.append((now, value))
        self._drop_expired()

    def _drop_expired(self) -> None:
        oldest = self._clock.now() - self._window
        while len(self._values) > 1 and self._values[0][0] < oldest:
            self._values.popleft()
