"""Token bucket of a quota, whose rate and capacity may change."""

from rattanfork_core.clock import Clock


class TokenBucket:
    """A token bucket that is given its rate and capacity at each refill.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    level : float
        Initial number of tokens.
    since : float or None
        Time from which the first refill counts, in seconds of the clock; None for now.

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

    __slots__ = ("_clock", "_level", "_refilled_at")

    def __init__(
        self, clock: Clock, level: float = 0.0, since: float | None = None
    ) -> None:
        self._clock = clock
        self._level = float(level)
        self._refilled_at = clock.now() if since is None else since

    @property
    def level(self) -> float:
        """Number of tokens in the bucket; may have a fraction."""
        return self._level

    def refill(self, rate: float, capacity: float) -> None:
        """Add the tokens that have accrued since the last refill.

        Parameters
        ==========

        rate : float
            Tokens per second.
        capacity : float
            Most tokens that the bucket holds; a refill drops those beyond it.  A rate
            that has decreased drops none.
        """
        now = self._clock.now()
        self._level = min(capacity, self._level + rate * (now - self._refilled_at))
        self._refilled_at = now

    def take(self, count: int) -> int:
        """Take up to ``count`` tokens; return how many were taken."""
        taken = max(0, min(count, int(self._level)))
        self._level -= taken
        return taken

    def restart(self, max_level: float) -> None:
        """Drop the tokens beyond a level and those accrued since the last refill."""
        self._level = min(self._level, max_level)
        self._refilled_at = self._clock.now()

    def refund(self, count: int) -> None:
        """Put back tokens that were not used."""
        self._level += count
