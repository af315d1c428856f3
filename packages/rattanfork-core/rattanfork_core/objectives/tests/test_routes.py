"""Routes' objectives over windows."""

from rattanfork_core.clock import ManualClock
from rattanfork_core.objectives import RouteObjectives


def test_what_is_long_past_leaves_the_short_window_first():
    clock = ManualClock(1000.0)
    objectives = RouteObjectives(clock)
    objectives.add("a", good=False)
    objectives.flush()
    clock.advance(600.0)
    objectives.add("a", good=True)
    objectives.flush()
    assert objectives.totals() == [("a", ((1, 0), (1, 1), (1, 1)))]


def test_the_number_of_routes_kept_is_bounded():
    objectives = RouteObjectives(ManualClock(1.0))
    for number in range(5000):
        objectives.add(f"route-{number}", good=True)
    objectives.flush()
    assert len(objectives.totals()) == 2000
