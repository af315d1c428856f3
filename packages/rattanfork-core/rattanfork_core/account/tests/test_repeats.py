"""Tests of the bound on repeated arrivals."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.account import RepeatBudget
from rattanfork_core.clock import ManualClock


def test_what_was_asked_before_counts_when_callers_are_turned_away():
    """A service that took 100 requests a second begins to refuse.

    Callers are turned away early, so hardly any request counts; the repeats
    that those still admitted need are allowed by the traffic of before.
    """
    clock = ManualClock()
    budget = RepeatBudget(clock, ratio=0.2, extra=0, window=10)
    for _ in range(1000):
        budget.count_request()
        clock.advance(0.01)
    clock.advance(1)
    by_second = []
    for _ in range(10):
        by_second.append(sum(budget.spend(1.0) for _ in range(300)))
        clock.advance(1)
    assert sum(by_second) == 200
    assert max(by_second) <= 33
    clock.advance(30)
    assert sum(budget.spend(1.0) for _ in range(9)) == 0


def test_the_last_part_is_kept_for_what_is_important():
    clock = ManualClock()
    budget = RepeatBudget(clock, ratio=0, extra=100, window=10)
    less = more = 0
    for _ in range(9):
        less += sum(budget.spend(0.6) for _ in range(50))
        clock.advance(1)
    assert less == 60
    more = sum(budget.spend(1.0) for _ in range(50))
    assert more >= 16


@given(
    st.lists(
        st.tuples(st.sampled_from(["request", "spend"]), st.floats(0, 3)),
        max_size=200,
    )
)
def test_no_window_holds_more_than_its_share(steps):
    clock = ManualClock()
    budget = RepeatBudget(clock, ratio=0.2, extra=3, window=10)
    requests: list[float] = []
    repeats: list[float] = []
    for kind, pause in steps:
        clock.advance(pause / 10)
        if kind == "request":
            budget.count_request()
            requests.append(clock.now())
        elif budget.spend(1.0):
            repeats.append(clock.now())
    for end in repeats:
        inside = sum(end - 10 < t <= end for t in repeats)
        heard = sum(end - 21 < t <= end for t in requests)
        assert inside <= 0.2 * heard + 3


@given(st.floats(0, 100))
def test_an_empty_budget_allows_its_extra_only(pause):
    clock = ManualClock()
    budget = RepeatBudget(clock, ratio=0.2, extra=2, window=10)
    clock.advance(pause)
    spent = []
    for _ in range(3):
        spent.append(budget.spend(1.0))
        clock.advance(1)
    assert spent == [True, True, False]
