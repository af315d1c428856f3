"""Bound on the retries that reach one service."""

from rattanfork_core.budgets.retry_demand import RetryDemand
from rattanfork_core.clock import Clock
from rattanfork_core.request.importance import RANK_LIMIT, Importance

#: Number of buckets in the sliding window.
BUCKETS = 10
#: Buckets from which current rates are taken.
RATE_BUCKETS = 3
#: Weight of one attempt in the moving average of the failure rate.
_FAILURE_WEIGHT = 0.02
#: Rank below which requests count as important: writes, and requests that a user
#: waits for.
_IMPORTANT_RANK = float(Importance.NORMAL)
#: Minimum fraction of the window over which the remaining retries are spread:
#: failures shorter than this are retried for all requests.
_MIN_SPREAD = 0.15
#: Fraction of the window over which important requests may use the remaining
#: retries while others are denied.  No retries are reserved beyond it, since
#: overloads are not expected to last, and if one does, requests add to the budget.
_IMPORTANT_SPREAD = 0.35
#: Maximum fraction of the window over which the remaining retries are spread: until
#: then, retries of the previous window have left the sliding window.
_MAX_SPREAD = 0.6


class ServiceRetryBudget:
    """Limits the retries that one node sends to, or admits for, a service.

    Explanation
    ===========

    The bound is a fraction of the requests in the current window, or in the
    previous one if that had more: when a service starts to shed load and callers
    are refused early, retries are still allowed in proportion to its normal
    traffic.  Requests and retries are counted in sliding windows, so that no
    interval of that length exceeds the bound.

    The remaining budget is spread over a time that grows with the expected number
    of retries until a call succeeds.  At a low failure rate each retry saves a
    request on which work was already done, so none is denied.  At a high failure
    rate each request needs several retries for as long as the overload lasts, so
    only important requests may use the budget faster.

    If the demand in that time exceeds the budget, the most important requests get
    all their retries and the others none.  A request whose run makes several calls
    succeeds only if each of them does, so distributing retries evenly saves hardly
    any: with half of the attempts refused and a fifth allowed as retries, one run
    of four calls in twenty succeeds, against one in five if the same requests are
    granted retries at each call.  Requests of equal importance are ordered by a
    hash of the root request, which is the same along the whole call chain.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    ratio : float
        Retries allowed per request.
    extra : float
        Additional retries allowed in each window.
    window : float
        Length of the window, in seconds.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> budget = ServiceRetryBudget(ManualClock(), ratio=0.5, extra=0, window=10)
    >>> for _ in range(40):
    ...     budget.count_request()
    >>> [budget.spend(2.5) for _ in range(3)], budget.spent
    ([True, True, True], 3)
    """

    __slots__ = (
        "_bucket",
        "_bucket_seconds",
        "_clock",
        "_demand",
        "_failure_rate",
        "_ratio",
        "_requests",
        "_retries",
        "_series",
        "_window",
        "extra",
    )

    def __init__(self, clock: Clock, ratio: float, extra: float, window: float) -> None:
        self._clock = clock
        self._ratio = ratio
        #: Additional retries allowed per window.
        self.extra = extra
        self._window = window
        self._bucket_seconds = window / BUCKETS
        self._bucket = int(clock.now() / self._bucket_seconds)
        # Newest bucket first.  Requests are kept for two windows, because the
        # previous window may set the bound.
        self._requests = [0] * (2 * BUCKETS)
        self._retries = [0] * (BUCKETS + 1)
        #: All counts by bucket, which advance together.
        self._series: tuple[list[int], ...] = (self._requests, self._retries)
        self._failure_rate = 0.0
        self._demand = RetryDemand(clock)

    @property
    def allowed(self) -> float:
        """Retries allowed in the current window."""
        self._advance()
        requests = self._requests
        peak = max(
            sum(requests[:BUCKETS]),
            sum(requests[BUCKETS // 2 : BUCKETS + BUCKETS // 2]),
            sum(requests[BUCKETS:]),
        )
        return self._ratio * peak + self.extra

    @property
    def spent(self) -> int:
        """Retries in the window that ends now."""
        self._advance()
        return sum(self._retries)

    @property
    def available(self) -> float:
        """Retries that may be spent now."""
        return self.allowed - self.spent

    @property
    def rank_cutoff(self) -> float:
        """Rank below which all requested retries are granted."""
        return self._rank_cutoff(self.available)

    def count_request(self) -> None:
        """Count a first attempt."""
        self._advance()
        self._requests[0] += 1

    def on_attempt(self, failed: bool) -> None:
        """Count an attempt, and whether the service refused or failed it."""
        self._failure_rate += _FAILURE_WEIGHT * (
            (1.0 if failed else 0.0) - self._failure_rate
        )

    def spend(self, rank: float) -> bool:
        """Take one retry for a request; return False if it must not be retried."""
        return self._spend(rank, self.available)

    def _spend(self, rank: float, available: float) -> bool:
        self._demand.add(rank)
        if available < 1 or rank >= self._rank_cutoff(available):
            return False
        self._retries[0] += 1
        return True

    def _rank_cutoff(self, available: float) -> float:
        if not self._demand.any_recent:
            return float(RANK_LIMIT)
        # Expected number of retries until a call succeeds.
        needed = self._failure_rate / max(1e-3, 1.0 - self._failure_rate)
        spread = min(_MAX_SPREAD, max(_MIN_SPREAD, needed))
        cutoff = self._demand.rank_at_rate(self._retries_per_second(available, spread))
        if cutoff >= _IMPORTANT_RANK:
            return cutoff
        # Only important requests use the budget faster, and what is added to it: with
        # the latter for all, gates run out and deny whatever comes next.
        fast_spread = min(spread, _IMPORTANT_SPREAD)
        important = self._demand.rank_at_rate(
            self._retries_per_second(available, fast_spread) + self._added_per_second()
        )
        return max(cutoff, min(important, _IMPORTANT_RANK))

    def _retries_per_second(self, available: float, spread: float) -> float:
        """Return the rate that uses up the budget in ``spread`` of a window."""
        return max(0.0, available) / (spread * self._window)

    def _added_per_second(self) -> float:
        """Return the retries that requests add to the budget, over a window.

        Without them the rate would fall with what is left, and a lasting overload
        would leave a third of the budget unused.
        """
        requests = sum(self._requests[1 : RATE_BUCKETS + 1])
        return self._ratio * requests / (RATE_BUCKETS * self._bucket_seconds)

    def _advance(self) -> None:
        bucket = int(self._clock.now() / self._bucket_seconds)
        elapsed = bucket - self._bucket
        if elapsed <= 0:
            return
        self._bucket = bucket
        for counts in self._series:
            fresh = [0] * min(elapsed, len(counts))
            counts[:] = fresh + counts[: len(counts) - len(fresh)]
