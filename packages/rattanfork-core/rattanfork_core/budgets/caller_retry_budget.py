"""Retry budget of a caller or service, as a fraction of first attempts."""

from rattanfork_core.clock import Clock


class CallerRetryBudget:
    """Token bucket for the retries of one caller or towards one service.

    Explanation
    ===========

    The request budget bounds the retries of one request.  In a total outage
    each request would still use all of them, which multiplies the load by a
    constant when capacity is lowest.  This budget limits retries to a fraction
    of recent first attempts, plus a small constant rate so that a caller with
    little traffic can retry at all.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    fraction : float
        Retry tokens added by each first attempt.
    trickle : float
        Retry tokens added per second regardless of traffic.
    burst : float
        Capacity of the bucket, in tokens.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> budget = CallerRetryBudget(ManualClock(), fraction=0.5, trickle=0, burst=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn(); budget.earn()
    >>> budget.spend()
    True
    """

    __slots__ = ("_burst", "_clock", "_fraction", "_tokens", "_trickle", "_updated_at")

    def __init__(
        self,
        clock: Clock,
        fraction: float = 0.1,
        trickle: float = 1.0,
        burst: float = 10.0,
    ) -> None:
        self._clock = clock
        self._fraction = fraction
        self._trickle = trickle
        self._burst = burst
        self._tokens = burst
        self._updated_at = clock.now()

    def earn(self) -> None:
        """Add the tokens of one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._fraction)

    def spend(self) -> bool:
        """Take one retry token; return False if there is none."""
        now = self._clock.now()
        earned = (now - self._updated_at) * self._trickle
        self._tokens = min(self._burst, self._tokens + earned)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
