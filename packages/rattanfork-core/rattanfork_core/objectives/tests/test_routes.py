"""Counts of routes' objectives over sliding windows."""

from rattanfork_core.clock import ManualClock
from rattanfork_core.objectives import RouteObjectives


def test_old_request_leaves_shortest_window_first():
    clock = ManualClock(1000.0)
    objectives = RouteObjectives(clock)
    objectives.add("a", good=False)
    objectives.flush()
    clock.advance(600.0)
    objectives.add("a", good=True)
    objectives.flush()
    assert objectives.totals() == [("a", ((1, 0), (1, 1), (1, 1)))]


def test_number_of_routes_is_bounded():
    objectives = RouteObjectives(ManualClock(1.0))
    for number in range(5000):
        objectives.add(f"route-{number}", good=True)
    objectives.flush()
    assert len(objectives.totals()) == 2000
