"""A token bucket whose rate may change."""

from rattanfork_core.clock import Clock


class TokenBucket:
    """Tokens that come at a rate and are kept up to a limit.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    level : float
        Tokens at the start.
    since : float or None
        When the first began to come, in seconds of the clock; None for now.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> bucket = TokenBucket(clock, level=1)
    >>> bucket.take(2)
    1
    >>> clock.advance(0.5)
    >>> bucket.refill(rate=4, capacity=10)
    >>> bucket.level
    2.0
    """

    __slots__ = ("_clock", "_level", "_then")

    def __init__(
        self, clock: Clock, level: float = 0.0, since: float | None = None
    ) -> None:
        self._clock = clock
        self._level = float(level)
        self._then = clock.now() if since is None else since

    @property
    def level(self) -> float:
        """Tokens that are there."""
        return self._level

    def refill(self, rate: float, capacity: float) -> None:
        """Add what has come since the last time.

        Parameters
        ==========

        rate : float
            Tokens a second.
        capacity : float
            Tokens that are kept at most; no token that is there is lost by a rate
            that came down.
        """
        now = self._clock.now()
        self._level = min(capacity, self._level + rate * (now - self._then))
        self._then = now

    def take(self, count: int) -> int:
        """Take up to so many tokens; return how many there were."""
        taken = max(0, min(count, int(self._level)))
        self._level -= taken
        return taken

    def refund(self, count: int) -> None:
        """Return tokens that were not used."""
        self._level += count
