"""How demand is spread over the order of shedding."""

from rattanfork_core.request.importance import RANK_LIMIT

_PER_RANK = 32
_BUCKETS = RANK_LIMIT * _PER_RANK
#: Share of a remembered count that is left after one tick.
_MEMORY = 0.99


class DemandHistogram:
    """Decayed count of arrivals by rank.

    Explanation
    ===========

    What is refused at first nodes does not arrive here any more.  If it were
    forgotten, the demand above a cut would look like none, and a cut that rises a
    little would let all of it in at once.  So counts above the cut are remembered
    as they were when they were last seen.

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
        """Count one arrival."""
        self._counts[min(_BUCKETS - 1, int(rank * _PER_RANK))] += 1.0

    def age(self, cut: float = float(RANK_LIMIT)) -> None:
        """Let older arrivals count for less; remember those above a cut."""
        decay = self._decay
        self._counts = counts = [count * decay for count in self._counts]
        place = int(cut * _PER_RANK)
        if place >= _BUCKETS:
            # Open, as nearly always: all that there is arrives.
            self._remembered = counts
            return
        above = zip(counts[place:], self._remembered[place:], strict=True)
        self._remembered = counts[:place] + [
            max(count, known * _MEMORY) for count, known in above
        ]

    @property
    def tick_fraction(self) -> float:
        """Factor that turns a decayed count into arrivals of one tick."""
        return 1.0 - self._decay if self._decay < 1 else 1.0

    def count_below(self, rank: float) -> float:
        """Return the decayed count of arrivals of lower rank."""
        place = rank * _PER_RANK
        whole = min(_BUCKETS, int(place))
        total = sum(self._counts[:whole])
        if whole < _BUCKETS:
            total += self._counts[whole] * (place - whole)
        return total

    def rank_above(self, cut: float, count: float) -> float:
        """Return the rank below which ``count`` arrivals lie beside those of a cut."""
        place = min(_BUCKETS - 1, int(cut * _PER_RANK))
        left = count + self._remembered[place] * (cut * _PER_RANK - place)
        for bucket in range(place, _BUCKETS):
            seen = self._remembered[bucket]
            if seen and left <= seen:
                return (bucket + left / seen) / _PER_RANK
            left -= seen
        return float(RANK_LIMIT)

    def rank_at(self, count: float) -> float:
        """Return the rank below which ``count`` arrivals lie."""
        left = count
        for bucket, seen in enumerate(self._counts):
            if seen and left <= seen:
                return (bucket + max(0.0, left) / seen) / _PER_RANK
            left -= seen
        return float(RANK_LIMIT)
