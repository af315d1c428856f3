"""The largest of the latest values."""

from collections import deque

from rattanfork_core.clock import Clock


class WindowedMaximum:
    """The largest value that a figure has had in the last seconds.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    window : float
        Seconds for which a value counts after it has changed.
    value : int
        The figure now.

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
        self._memory = window
        #: Falling values, each with the time at which it changed; the last holds on.
        self._values: deque[tuple[float, int]] = deque([(clock.now(), value)])

    @property
    def value(self) -> int:
        """The largest value that still counts."""
        self._drop_old()
        return self._values[0][1]

    def update(self, value: int) -> None:
        """Take note of the figure as it is now."""
        now = self._clock.now()
        self._values[-1] = (now, self._values[-1][1])
        while self._values and self._values[-1][1] <= value:
            self._values.pop()
        self._values.append((now, value))
        self._drop_old()

    def _drop_old(self) -> None:
        oldest = self._clock.now() - self._memory
        while len(self._values) > 1 and self._values[0][0] < oldest:
            self._values.popleft()
