"""Clock that tests advance explicitly."""

from rattanfork_core.clock.clock import Clock


class ManualClock(Clock):
    """A clock that changes only when it is advanced.

    Examples
    ========

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.now()
    1.5
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock.

        Raises
        ======

        ValueError
            If ``seconds`` is negative, since monotonic time never decreases.
        """
        if seconds < 0:
            raise ValueError("seconds must not be negative")
        self._now += seconds
