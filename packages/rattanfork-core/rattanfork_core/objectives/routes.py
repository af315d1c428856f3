"""What one node has seen of the latency objectives of routes."""

from rattanfork_core.clock import Clock
from rattanfork_core.objectives.windowed_count import WINDOWS, WindowedCount

#: Routes counted; those beyond are left out of the report.
_MOST_ROUTES = 2000

RouteTotals = tuple[str, tuple[tuple[int, int], ...]]


class RouteObjectives:
    """Callers' requests that met their route's latency objective, and others.

    Explanation
    ===========

    A request is good if it was answered with success within its route's
    objective.  One that was refused, failed or came late is bad; one that its
    caller gave up counts as neither.  Calls between services don't count:
    the objective is on whole requests.

    Counting a request raises one number; :meth:`flush` moves the numbers into
    the windows once a second, which costs less than three windows a request.

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
        self._fresh: dict[str, list[int]] = {}
        self._windows: dict[str, tuple[WindowedCount, ...]] = {}

    def add(self, route: str, good: bool) -> None:
        """Count a caller's request."""
        counts = self._fresh.get(route)
        if counts is None:
            counts = self._fresh[route] = [0, 0]
        counts[0 if good else 1] += 1

    def flush(self) -> None:
        """Move what was counted into the windows; call about once a second."""
        fresh, self._fresh = self._fresh, {}
        for route, (good, bad) in fresh.items():
            for window in self._windows_of(route):
                window.add(good, bad)

    def totals(self) -> list[RouteTotals]:
        """Return route, and good and bad for each window of ``WINDOWS``."""
        return [
            (route, tuple(window.totals() for window in windows))
            for route, windows in self._windows.items()
        ]

    def _windows_of(self, route: str) -> tuple[WindowedCount, ...]:
        windows = self._windows.get(route)
        if windows is None:
            if len(self._windows) >= _MOST_ROUTES:
                return ()
            windows = tuple(WindowedCount(self._clock, w) for w in WINDOWS)
            self._windows[route] = windows
        return windows
