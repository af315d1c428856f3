"""Request counts and latencies of one node, for service-level objectives."""

from ddsketch import DDSketch

from rattanfork_core.clock import Clock
from rattanfork_core.objectives import WINDOWS, WindowedCount
from rattanfork_core.request.importance import Importance

#: Maximum combinations of service, importance and rule; others are not counted.
_MAX_SERIES = 2000


class BurnMeter:
    """Counts good and bad requests by service, importance and rule.

    Explanation
    ===========

    Only requests of callers are counted, not calls between services, since the
    objective applies to callers' requests.  Memory is bounded: fixed windows per
    combination, a limit on their number, and a mergeable sketch of latencies per
    service, with a relative error of 2%.

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
        """Count a caller's request; ``latency`` is in seconds."""
        key = (service, importance.label, rule)
        series = self._series.get(key)
        if series is None:
            if len(self._series) >= _MAX_SERIES:
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
        """Return service, importance, rule, and good and bad requests per window."""
        return [
            (*key, tuple(window.totals() for window in series))
            for key, series in self._series.items()
        ]

    def latency_quantiles(self) -> dict[str, dict[str, float]]:
        """Return the 50th and 99th latency percentiles by service, in seconds."""
        return {
            service: {
                "p50": sketch.get_quantile_value(0.5),
                "p99": sketch.get_quantile_value(0.99),
            }
            for service, sketch in self._latency.items()
        }
