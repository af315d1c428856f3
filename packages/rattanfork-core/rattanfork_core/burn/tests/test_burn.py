"""Burn rates of objectives over windows and by rule."""

from rattanfork_core.burn import BurnMeter, burn_report
from rattanfork_core.clock import ManualClock
from rattanfork_core.request import Importance
from rattanfork_core.rules import ObjectiveModel


def test_old_failures_leave_shortest_window_first():
    clock = ManualClock(1000.0)
    meter = BurnMeter(clock)
    for _ in range(50):
        meter.add("claims", Importance.HIGH, "r", False, 0.1)
    clock.advance(600)
    for _ in range(50):
        meter.add("claims", Importance.HIGH, "r", True, 0.1)
    [line] = burn_report([ObjectiveModel(service="claims", target=0.9)], meter.totals())
    assert line.burn[0] == 0
    assert round(line.burn[1], 6) == 5.0


def test_totals_of_several_nodes_are_summed():
    totals = ("claims", "high", "r", ((9, 1), (9, 1), (9, 1)))
    objective = ObjectiveModel(service="claims", target=0.9)
    [line] = burn_report([objective], [totals, totals])
    assert line.requests == 20
    assert line.spenders == (("r", 2),)
    assert round(line.budget_left, 6) == 0


def test_objective_for_one_importance_ignores_the_others():
    totals = [
        ("claims", "high", "a", ((1, 0),) * 3),
        ("claims", "low", "b", ((0, 9),) * 3),
    ]
    objective = ObjectiveModel(service="claims", importance="high", target=0.9)
    [line] = burn_report([objective], totals)
    assert (line.requests, line.burn[2]) == (1, 0)


def test_objective_without_requests_has_full_budget():
    [line] = burn_report([ObjectiveModel(service="claims", target=0.9)], [])
    assert (line.requests, line.exhausted_in) == (0, None)
