"""Distribution of arrivals over ranks, from which the threshold is set."""

from rattanfork_core.request.importance import RANK_LIMIT

_BUCKETS_PER_RANK = 32
_BUCKETS = RANK_LIMIT * _BUCKETS_PER_RANK
#: Factor by which a count remembered from above the threshold decays each tick.
_REMEMBERED_DECAY = 0.99


class DemandHistogram:
    """Exponentially decayed counts of arrivals by rank.

    Explanation
    ===========

    Requests at or above the announced threshold are refused by other nodes and no
    longer arrive here.  If their counts decayed at the same rate, there would seem to
    be no demand above the threshold, and a slight rise would admit all of it at once.
    Counts above the threshold therefore decay slowly from when they were last seen.

    Parameters
    ==========

    decay : float
        Factor by which counts decay each tick; 1 for none.

    Examples
    ========

    >>> demand = DemandHistogram(decay=1.0)
    >>> for i in range(100):
    ...     demand.add(2 + i / 100)
    >>> round(demand.rank_at(50), 1)
    2.5
    >>> demand.count_below(2.5)
    50.0
    """

    def __init__(self, decay: float = 0.9) -> None:
        self._decay = decay
        self._counts = [0.0] * _BUCKETS
        self._remembered = [0.0] * _BUCKETS

    def add(self, rank: float) -> None:
        """Count an arrival."""
        self._counts[min(_BUCKETS - 1, int(rank * _BUCKETS_PER_RANK))] += 1.0

    def age(self, threshold: float = float(RANK_LIMIT)) -> None:
        """Decay all counts by one tick; slowly for those above the threshold."""
        decay = self._decay
        self._counts = counts = [count * decay for count in self._counts]
        position = int(threshold * _BUCKETS_PER_RANK)
        if position >= _BUCKETS:
            # Without overload no threshold is in force, and all demand arrives here.
            self._remembered = counts
            return
        above = zip(counts[position:], self._remembered[position:], strict=True)
        self._remembered = counts[:position] + [
            max(count, remembered * _REMEMBERED_DECAY) for count, remembered in above
        ]

    @property
    def tick_fraction(self) -> float:
        """Factor that converts a decayed count into arrivals per tick."""
        return 1.0 - self._decay if self._decay < 1 else 1.0

    def count_below(self, rank: float) -> float:
        """Return the decayed count of arrivals below a rank."""
        position = rank * _BUCKETS_PER_RANK
        full_buckets = min(_BUCKETS, int(position))
        total = sum(self._counts[:full_buckets])
        if full_buckets < _BUCKETS:
            total += self._counts[full_buckets] * (position - full_buckets)
        return total

    def rank_above(self, threshold: float, count: float) -> float:
        """Return the threshold that admits ``count`` more arrivals than this one."""
        position = min(_BUCKETS - 1, int(threshold * _BUCKETS_PER_RANK))
        remaining = count + self._remembered[position] * (
            threshold * _BUCKETS_PER_RANK - position
        )
        for bucket in range(position, _BUCKETS):
            in_bucket = self._remembered[bucket]
            if in_bucket and remaining <= in_bucket:
                return (bucket + remaining / in_bucket) / _BUCKETS_PER_RANK
            remaining -= in_bucket
        return float(RANK_LIMIT)

    def rank_at(self, count: float) -> float:
        """Return the rank below which ``count`` arrivals lie."""
        remaining = count
        for bucket, in_bucket in enumerate(self._counts):
            if in_bucket and remaining <= in_bucket:
                return (bucket + max(0.0, remaining) / in_bucket) / _BUCKETS_PER_RANK
            remaining -= in_bucket
        return float(RANK_LIMIT)
