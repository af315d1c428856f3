"""Token bucket for the rate limit that an upstream advertises."""

from math import inf

from rattanfork_core.clock import Clock

#: Seconds of the limit that the bucket holds.
_BURST_S = 0.25
#: Requests per second that are sent even under a lower limit.  Only a response shows
#: that a limit has ended, so a limit of 0 would otherwise hold for ever.
_MIN_RATE = 0.5
#: Rate in requests per second from which it rises after a limit has ended, if the
#: limit was lower.
_MIN_RAMP_RATE = 1.0
#: After the end of a limit the rate doubles in this time, and is unlimited after
#: ``_RAMP_S``.  A response without the header that was sent out of order therefore
#: admits few requests until the next one restores the limit.
_DOUBLING_S = 0.5
_RAMP_S = 5.0


class AdvertisedRateLimit:
    """Keeps the requests to one upstream within the rate limit that it advertises.

    Explanation
    ===========

    The bucket holds a fraction of a second of the limit, so that unevenly spaced
    arrivals can use all of it.  When the limit ends, the rate rises from the limit
    for a few seconds: an upstream that has just recovered would be overloaded again
    if it got its full share at once.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> limit = AdvertisedRateLimit(clock)
    >>> limit.set(2.0)
    >>> limit.take(), limit.take()
    (True, False)
    >>> clock.advance(0.5)
    >>> limit.take()
    True
    >>> limit.lift()
    >>> limit.value, limit.rate
    (None, 2.0)
    >>> clock.advance(1.0)
    >>> limit.rate
    8.0
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._value: float | None = None
        #: Rate at the time when the limit ended; None unless the rate is rising.
        self._ramp_rate: float | None = None
        self._lifted_at = 0.0
        self._tokens = 0.0
        self._refilled_at = 0.0

    @property
    def value(self) -> float | None:
        """Advertised limit in requests per second; None if none is in force."""
        return self._value

    @property
    def rate(self) -> float:
        """Requests per second that may be sent now; infinite without a limit."""
        if self._value is not None:
            return max(self._value, _MIN_RATE)
        if self._ramp_rate is None:
            return inf
        elapsed = self._clock.now() - self._lifted_at
        if elapsed >= _RAMP_S:
            self._ramp_rate = None
            return inf
        return self._ramp_rate * 2 ** (elapsed / _DOUBLING_S)

    @property
    def unused_share(self) -> float:
        """Unused fraction of the bucket, from 0 to 1; 1 without a limit."""
        rate = self.rate
        if rate == inf:
            return 1.0
        self._refill(rate)
        return self._tokens / _capacity(rate)

    def set(self, limit: float) -> None:
        """Set the limit, in requests per second."""
        if self._value is None and self._ramp_rate is None:
            self._tokens = 1.0
            self._refilled_at = self._clock.now()
        else:
            self._refill(self.rate)
        self._value = limit
        self._ramp_rate = None
        self._tokens = min(self._tokens, _capacity(self.rate))

    def lift(self) -> None:
        """End the limit; the rate rises to unlimited within a few seconds."""
        if self._value is None:
            return
        self._refill(self.rate)
        self._ramp_rate = max(self._value, _MIN_RAMP_RATE)
        self._lifted_at = self._clock.now()
        self._value = None

    def clear(self) -> None:
        """Remove the limit at once, as the upstream was replaced."""
        self._value = self._ramp_rate = None

    def has_token(self) -> bool:
        """Return whether a request may be sent now."""
        if self._value is None and self._ramp_rate is None:
            return True
        rate = self.rate
        if rate == inf:
            return True
        self._refill(rate)
        return self._tokens >= 1.0

    def take(self) -> bool:
        """Take a token for a request; return whether there was one."""
        if self._value is None and self._ramp_rate is None:
            return True
        if not self.has_token():
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, rate: float) -> None:
        now = self._clock.now()
        if rate < inf:
            gained = rate * (now - self._refilled_at)
            self._tokens = min(_capacity(rate), self._tokens + gained)
        self._refilled_at = now


def _capacity(rate: float) -> float:
    return max(1.0, rate * _BURST_S)
