"""A clock that tests move by hand."""

from rattanfork_core.clock.clock import Clock


class ManualClock(Clock):
    """A clock that moves only when told to.

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
        """Move the clock forward.

        Raises
        ======

        ValueError
            If ``seconds`` is negative: monotonic time never goes back.
        """
        if seconds < 0:
            raise ValueError("monotonic time does not go back")
        self._now += seconds
