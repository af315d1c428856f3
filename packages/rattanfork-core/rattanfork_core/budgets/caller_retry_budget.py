"""Bound on retries as a fraction of first attempts."""

from rattanfork_core.clock import Clock


class CallerRetryBudget:
    """Retries allowed to one caller or towards one service.

    Explanation
    ===========

    The account bounds the retries of one request.  In a total outage every
    request would still spend its whole account, which multiplies the load by
    a constant just when there is least capacity.  The budget lets retries be
    only a fraction of recent first attempts, plus a small steady trickle so
    that a quiet caller can retry at all.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    fraction : float
        Retries earned by each first attempt.
    trickle : float
        Retries earned each second in any case.
    burst : float
        Most retries that can be saved up.

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

    __slots__ = ("_burst", "_clock", "_fraction", "_saved", "_then", "_trickle")

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
        self._saved = burst
        self._then = clock.now()

    def earn(self) -> None:
        """Count one first attempt."""
        self._saved = min(self._burst, self._saved + self._fraction)

    def spend(self) -> bool:
        """Take one retry out of the budget, if there is one."""
        now = self._clock.now()
        earned = (now - self._then) * self._trickle
        self._saved = min(self._burst, self._saved + earned)
        self._then = now
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
