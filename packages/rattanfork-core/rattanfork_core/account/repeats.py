"""Bound on the repeated arrivals of one service."""

from rattanfork_core.clock import Clock

#: Parts into which the window is divided.
_PARTS = 10
#: Part of a window's repeats that one part of it may hold.  Spent all at the
#: start of a trouble that lasts, they would be missing for the rest of it,
#: when fewer and more important requests are let in.
_PACE = 1.6 / _PARTS


class RepeatBudget:
    """Repeats that one node may add to the arrivals of a service.

    Explanation
    ===========

    The bound is a share of the requests of a window, or of the one before it
    if that had more: a service that begins to refuse may be asked again at
    the rate of its usual traffic, although callers have meanwhile been turned
    away.  Both are counted in a sliding window, so that no span of its length
    holds more than its share.

    Within the window repeats are paced, a little above the mean.

    The last part of the budget is kept for what is important.  Otherwise the
    many requests of little importance would spend it all, and the few that
    matter most would fail with them.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    ratio : float
        Repeats for each request.
    extra : float
        Repeats in each window besides.
    window : float
        Length of the window, in seconds.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> budget = RepeatBudget(ManualClock(), ratio=0.5, extra=0, window=10)
    >>> for _ in range(40):
    ...     budget.count_request()
    >>> [budget.spend(1.0) for _ in range(5)]
    [True, True, True, True, False]
    """

    __slots__ = (
        "_clock",
        "_part",
        "_place",
        "_ratio",
        "_repeats",
        "_requests",
        "extra",
    )

    def __init__(self, clock: Clock, ratio: float, extra: float, window: float) -> None:
        self._clock = clock
        self._ratio = ratio
        #: Repeats in each window besides; changes with the number of nodes.
        self.extra = extra
        self._part = window / _PARTS
        self._place = int(clock.now() / self._part)
        # Of requests two windows are kept, the newest part first.
        self._requests = [0] * (2 * _PARTS)
        self._repeats = [0] * (_PARTS + 1)

    @property
    def allowed(self) -> float:
        """Repeats that a window may hold now."""
        self._move()
        requests = self._requests
        most = max(
            sum(requests[:_PARTS]),
            sum(requests[_PARTS // 2 : _PARTS + _PARTS // 2]),
            sum(requests[_PARTS:]),
        )
        return self._ratio * most + self.extra

    @property
    def spent(self) -> int:
        """Repeats in the window that ends now."""
        self._move()
        return sum(self._repeats)

    def count_request(self) -> None:
        """Count a request for the service."""
        self._move()
        self._requests[0] += 1

    def count_repeat(self) -> None:
        """Count a repeat that nobody could decide on."""
        self._move()
        self._repeats[0] += 1

    def spend(self, share: float) -> bool:
        """Take one repeat, if no more than a share of the budget is spent.

        Parameters
        ==========

        share : float
            Part of the budget that is open to requests of this importance.
        """
        allowed = share * self.allowed
        if self.spent + 1 > allowed or self._repeats[0] + 1 > allowed * _PACE + 1:
            return False
        self._repeats[0] += 1
        return True

    def _move(self) -> None:
        place = int(self._clock.now() / self._part)
        passed = place - self._place
        if passed <= 0:
            return
        self._place = place
        for counts in (self._requests, self._repeats):
            fresh = [0] * min(passed, len(counts))
            counts[:] = fresh + counts[: len(counts) - len(fresh)]
