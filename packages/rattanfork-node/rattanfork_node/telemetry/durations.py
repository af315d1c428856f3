"""Durations by label, in buckets."""

from bisect import bisect_left
from itertools import accumulate

#: Upper bounds of the buckets, in seconds: the ones that the conventions of
#: OpenTelemetry advise for the durations of requests.
BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.25, 0.5, 0.75, 1, 2.5, 5, 7.5, 10)
#: Labels kept; what comes with others is counted under the last one.
_MOST_LABELS = 200
_OTHERS = ("other", "other")

Labels = tuple[str, str]


class DurationBuckets:
    """Counts of durations by a pair of labels.

    Explanation
    ===========

    Plain numbers, raised for each request and rendered by the metrics library
    when somebody asks: an instrument of that library builds a set of labels
    for each call, which costs more than the decision that it measures.

    Examples
    ========

    >>> durations = DurationBuckets()
    >>> durations.add(("a", "answered"), 0.02)
    >>> [(labels, count, total)] = durations.totals()
    >>> labels, count, total
    (('a', 'answered'), 1, 0.02)
    """

    def __init__(self) -> None:
        self._counts: dict[Labels, list[int]] = {}
        self._sums: dict[Labels, float] = {}

    def add(self, labels: Labels, seconds: float) -> None:
        """Count a duration."""
        counts = self._counts.get(labels)
        if counts is None:
            if len(self._counts) >= _MOST_LABELS:
                labels = _OTHERS
            counts = self._counts.setdefault(labels, [0] * (len(BOUNDS) + 1))
            self._sums.setdefault(labels, 0.0)
        counts[bisect_left(BOUNDS, seconds)] += 1
        self._sums[labels] += seconds

    def totals(self) -> list[tuple[Labels, int, float]]:
        """Return the number and the sum of the durations of each label."""
        return [(k, sum(c), self._sums[k]) for k, c in self._counts.items()]

    def cumulative(self, labels: Labels) -> list[tuple[str, int]]:
        """Return bounds as text, and how many durations lie up to each."""
        names = [*(f"{bound:g}" for bound in BOUNDS), "+Inf"]
        return list(zip(names, accumulate(self._counts[labels]), strict=True))
