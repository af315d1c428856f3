"""Rate limit that a rule puts on matching requests."""

from rattanfork_core.clock import Clock


class RateLimit:
    """A token bucket.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    rate : float
        Requests allowed each second.
    burst : float
        Requests allowed at once after a quiet time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> limit = RateLimit(ManualClock(), rate=1, burst=1)
    >>> limit.take(), limit.take()
    (True, False)
    """

    __slots__ = ("_burst", "_clock", "_rate", "_then", "_tokens")

    def __init__(self, clock: Clock, rate: float, burst: float | None = None) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = max(1.0, rate if burst is None else burst)
        self._tokens = self._burst
        self._then = clock.now()

    @property
    def delay(self) -> float:
        """Seconds until the next token."""
        return max(0.0, (1.0 - self._tokens) / self._rate) if self._rate else 60.0

    def take(self) -> bool:
        """Take one token, if there is one."""
        now = self._clock.now()
        self._tokens = min(self._burst, self._tokens + (now - self._then) * self._rate)
        self._then = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
