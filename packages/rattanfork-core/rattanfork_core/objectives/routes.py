"""Per-route counts of requests against latency objectives at one node."""

from rattanfork_core.clock import Clock
from rattanfork_core.objectives.windowed_count import WINDOWS, WindowedCount

#: Maximum number of routes; requests of further routes are not counted.
_MAX_ROUTES = 2000

RouteTotals = tuple[str, tuple[tuple[int, int], ...]]


class RouteObjectives:
    """Counts callers' requests that met or missed their route's latency objective.

    Explanation
    ===========

    A request is good if it had a successful response within its route's objective,
    and bad if it was refused, failed or late.  A request that its caller aborted is
    not counted.  Calls between services are not counted either: the objective
    applies to callers' requests.

    Each request increments one counter.  :meth:`flush` adds the counters to the
    windows once per second, which is cheaper than updating three windows per
    request.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> objectives = RouteObjectives(ManualClock())
    >>> objectives.add("lookup", good=True)
    >>> objectives.add("lookup", good=False)
    >>> objectives.flush()
    >>> objectives.totals()
    [('lookup', ((1, 1), (1, 1), (1, 1)))]
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pending: dict[str, list[int]] = {}
        self._windows: dict[str, tuple[WindowedCount, ...]] = {}

    def add(self, route: str, good: bool) -> None:
        """Count a caller's request."""
        counts = self._pending.get(route)
        if counts is None:
            counts = self._pending[route] = [0, 0]
        counts[0 if good else 1] += 1

    def flush(self) -> None:
        """Add the pending counts to the windows; call about once per second."""
        pending, self._pending = self._pending, {}
        for route, (good, bad) in pending.items():
            for window in self._windows_of(route):
                window.add(good, bad)

    def totals(self) -> list[RouteTotals]:
        """Return each route with its good and bad requests for each of ``WINDOWS``."""
        return [
            (route, tuple(window.totals() for window in windows))
            for route, windows in self._windows.items()
        ]

    def _windows_of(self, route: str) -> tuple[WindowedCount, ...]:
        windows = self._windows.get(route)
        if windows is None:
            if len(self._windows) >= _MAX_ROUTES:
                return ()
            windows = tuple(WindowedCount(self._clock, w) for w in WINDOWS)
            self._windows[route] = windows
        return windows
