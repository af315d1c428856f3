"""Share of the offered requests below a demand, and its inverse."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable


class DemandCurve:
    """Share of all requests that is admitted if each account gets a given amount.

    Explanation
    ===========

    With accounts of demands ``d``, the share at ``x`` is ``sum(min(d, x)) / sum(d)``.
    A request whose position ``x`` is its hash in [0, 1) times the demand of its account
    lies below ``x`` with the probability ``min(1, x / d)``, so its share is distributed
    uniformly in [0, 1), like the hash itself.  Thresholds therefore keep their meaning:
    one of 0.9 admits 0.9 of the requests, whether their ranks are fair or plain.  A
    fraction of ``x`` divided by the highest demand would give the same order, but one
    account of six times the usual demand would compress the ranks of all others into a
    sixth of the range, where each step of a gate's threshold sheds six times as much.

    Parameters
    ==========

    demands : iterable of float
        Demands of single accounts, above 0.
    rest_count : int
        Number of further accounts.
    rest_total : float
        Sum of their demands; each is taken to have the mean.

    Examples
    ========

    >>> curve = DemandCurve([6, 1, 1])
    >>> curve.share(1), curve.share(3.5), curve.share(99)
    (0.375, 0.6875, 1.0)
    >>> curve.level(0.6875)
    3.5
    >>> DemandCurve([6], rest_count=2, rest_total=2).share(1)
    0.375
    """

    __slots__ = ("_levels", "_shares", "rest", "total")

    def __init__(
        self, demands: Iterable[float], rest_count: int = 0, rest_total: float = 0.0
    ) -> None:
        groups = [(float(demand), 1) for demand in demands]
        #: Mean demand of the further accounts; 0 without any.
        self.rest = rest_total / rest_count if rest_count else 0.0
        if self.rest:
            groups.append((self.rest, rest_count))
        groups.sort()
        #: Demand of all accounts.
        self.total = sum(demand * count for demand, count in groups)
        self._levels = [0.0]
        self._shares = [0.0]
        above = sum(count for _, count in groups)
        admitted = 0.0
        for demand, count in groups:
            if demand > self._levels[-1]:
                admitted += above * (demand - self._levels[-1])
                self._levels.append(demand)
                self._shares.append(admitted / self.total)
            above -= count
        # Rounding must not leave the last share below that of a demand that is met.
        self._shares[-1] = 1.0 if groups else 0.0

    def share(self, amount: float) -> float:
        """Return the share of the requests if each account gets up to an amount."""
        return _interpolate(self._levels, self._shares, amount)

    def level(self, share: float) -> float:
        """Return the amount that each account gets if a share is admitted."""
        return _interpolate(self._shares, self._levels, share)

    def accounts_above(self, amount: float) -> int:
        """Return the number of accounts whose demand is higher than an amount.

        Examples
        ========

        >>> DemandCurve([6, 1, 1]).accounts_above(1)
        1
        """
        index = bisect_right(self._levels, amount)
        if index >= len(self._levels):
            return 0
        shares = self._shares[index] - self._shares[index - 1]
        return round(
            shares * self.total / (self._levels[index] - self._levels[index - 1])
        )


def _interpolate(xs: list[float], ys: list[float], x: float) -> float:
    """Return the value at ``x`` of the line through the points, constant outside."""
    if x <= 0.0:
        return ys[0]
    index = bisect_left(xs, x)
    if index >= len(xs):
        return ys[-1]
    x0, y0 = xs[index - 1], ys[index - 1]
    return y0 + (ys[index] - y0) * (x - x0) / (xs[index] - x0)
