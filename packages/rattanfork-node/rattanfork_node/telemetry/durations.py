"""Duration histograms by a pair of labels."""

from bisect import bisect_left
from itertools import accumulate

#: Upper bounds of the buckets in seconds, as the OpenTelemetry semantic conventions
#: recommend for request durations.
BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.25, 0.5, 0.75, 1, 2.5, 5, 7.5, 10)
#: Maximum number of label pairs; durations of further ones count as ``_OTHERS``.
_MAX_LABELS = 200
_OTHERS = ("other", "other")

Labels = tuple[str, str]


class DurationBuckets:
    """Duration histograms by a pair of labels.

    Explanation
    ===========

    The request path increments plain numbers, which the metrics library renders at
    collection.  An instrument of the library would build a label set for each
    duration, which costs more than the decision that it measures.

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
        """Add a duration to the histogram of its labels."""
        counts = self._counts.get(labels)
        if counts is None:
            if len(self._counts) >= _MAX_LABELS:
                labels = _OTHERS
            counts = self._counts.setdefault(labels, [0] * (len(BOUNDS) + 1))
            self._sums.setdefault(labels, 0.0)
        counts[bisect_left(BOUNDS, seconds)] += 1
        self._sums[labels] += seconds

    def totals(self) -> list[tuple[Labels, int, float]]:
        """Return the labels, count and sum of each histogram."""
        return [(k, sum(c), self._sums[k]) for k, c in self._counts.items()]

    def cumulative(self, labels: Labels) -> list[tuple[str, int]]:
        """Return the bounds as text, with the number of durations up to each."""
        bound_labels = [*(f"{bound:g}" for bound in BOUNDS), "+Inf"]
        return list(zip(bound_labels, accumulate(self._counts[labels]), strict=True))
