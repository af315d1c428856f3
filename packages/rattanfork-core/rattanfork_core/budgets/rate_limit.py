"""Rate limit that a rule puts on matching requests."""

from rattanfork_core.clock import Clock


class RateLimit:
    """A token bucket with one token per request.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    rate : float
        Requests allowed per second.
    burst : float
        Capacity of the bucket, in requests; by default one second's worth.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> limit = RateLimit(ManualClock(), rate=1, burst=1)
    >>> limit.take(), limit.take()
    (True, False)
    """

    __slots__ = ("_burst", "_clock", "_rate", "_tokens", "_updated_at")

    def __init__(self, clock: Clock, rate: float, burst: float | None = None) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = max(1.0, rate if burst is None else burst)
        self._tokens = self._burst
        self._updated_at = clock.now()

    @property
    def delay(self) -> float:
        """Seconds until the next token."""
        return max(0.0, (1.0 - self._tokens) / self._rate) if self._rate else 60.0

    def take(self) -> bool:
        """Take one token; return False if there is none."""
        now = self._clock.now()
        self._tokens = min(
            self._burst, self._tokens + (now - self._updated_at) * self._rate
        )
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
