"""Demand for retries by rank, from which retry budgets set their rank cut-off."""

from math import exp

from rattanfork_core.clock import Clock
from rattanfork_core.request.importance import RANK_LIMIT

#: Histogram bins per level of importance.
_BINS_PER_LEVEL = 16
#: Time constant of the average: longer than the interval between two calls of one
#: run, shorter than a typical overload.
_AVERAGING_SECONDS = 0.7
#: Minimum interval between two decays of the averages.
_DECAY_INTERVAL_SECONDS = 0.05


class RetryDemand:
    """Exponentially decaying histogram of requested retries per second, by rank.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> demand = RetryDemand(clock)
    >>> for _ in range(200):
    ...     clock.advance(0.05)
    ...     demand.add(0.5)
    ...     demand.add(2.5)
    >>> round(demand.rank_at_rate(30.0), 1)
    2.5
    """

    __slots__ = ("_clock", "_counts", "_updated_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts = [0.0] * (RANK_LIMIT * _BINS_PER_LEVEL)
        self._updated_at = clock.now()

    @property
    def any_recent(self) -> bool:
        """Whether any retry was requested recently."""
        self._decay()
        return any(self._counts)

    def add(self, rank: float) -> None:
        """Count a requested retry of a request with the given rank."""
        self._decay()
        bin_index = min(len(self._counts) - 1, int(rank * _BINS_PER_LEVEL))
        self._counts[bin_index] += 1.0 / _AVERAGING_SECONDS

    def rank_at_rate(self, rate: float) -> float:
        """Return the rank below which demand is at most ``rate`` retries per second.

        Ranks are assumed to be evenly distributed within a bin, which they are for
        requests of equal importance.  One retry always fits in addition: at low
        traffic a single one looks like a high rate.
        """
        left = rate + 1.0 / _AVERAGING_SECONDS
        for bin_index, demand in enumerate(self._counts):
            if demand > left:
                return (bin_index + left / demand) / _BINS_PER_LEVEL
            left -= demand
        return float(RANK_LIMIT)

    def _decay(self) -> None:
        elapsed = self._clock.now() - self._updated_at
        if elapsed < _DECAY_INTERVAL_SECONDS:
            return
        self._updated_at = self._clock.now()
        factor = exp(-elapsed / _AVERAGING_SECONDS)
        self._counts = [
            count * factor if count * factor > 1e-3 else 0.0 for count in self._counts
        ]
