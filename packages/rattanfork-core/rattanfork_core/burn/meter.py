"""What one node has seen of the objectives."""

from ddsketch import DDSketch

from rattanfork_core.clock import Clock
from rattanfork_core.objectives import WINDOWS, WindowedCount
from rattanfork_core.request.importance import Importance

_MOST_SERIES = 2000


class BurnMeter:
    """Whole answers in time, and all others, by service and importance.

    Explanation
    ===========

    Only requests of callers count, not calls between services: the objective
    is on whole requests.  State is bounded: fixed windows for each pair, a
    mergeable sketch of latencies, and a bound on the pairs.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> meter = BurnMeter(ManualClock())
    >>> meter.add("claims", Importance.HIGH, "rule-1", True, 0.02)
    >>> meter.totals()[0][:2], meter.totals()[0][3]
    (('claims', 'high'), ((1, 0), (1, 0), (1, 0)))
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._series: dict[tuple[str, str, str], tuple[WindowedCount, ...]] = {}
        self._latency: dict[str, DDSketch] = {}

    def add(
        self,
        service: str,
        importance: Importance,
        rule: str,
        good: bool,
        latency: float,
    ) -> None:
        """Count one request of a caller."""
        key = (service, importance.label, rule)
        series = self._series.get(key)
        if series is None:
            if len(self._series) >= _MOST_SERIES:
                return
            series = tuple(WindowedCount(self._clock, w) for w in WINDOWS)
            self._series[key] = series
        for window in series:
            window.add(int(good), int(not good))
        if good:
            sketch = self._latency.get(service)
            if sketch is None:
                sketch = self._latency[service] = DDSketch(0.02)
            sketch.add(latency)

    def totals(self) -> list[tuple[str, str, str, tuple[tuple[int, int], ...]]]:
        """Return service, importance, rule, and good and bad for each window."""
        return [
            (*key, tuple(window.totals() for window in series))
            for key, series in self._series.items()
        ]

    def latency_quantiles(self) -> dict[str, dict[str, float]]:
        """Return the 50th and 99th percentile by service, in seconds."""
        return {
            service: {
                "p50": sketch.get_quantile_value(0.5),
                "p99": sketch.get_quantile_value(0.99),
            }
            for service, sketch in self._latency.items()
        }
