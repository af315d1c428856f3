"""Tests of the bound on repeated arrivals."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.budgets import ServiceRetryBudget
from rattanfork_core.clock import ManualClock


def busy(clock: ManualClock, extra: float = 0.0) -> ServiceRetryBudget:
    """Return the budget of a service that gets 100 requests a second."""
    budget = ServiceRetryBudget(clock, ratio=0.2, extra=extra, window=10)
    for _ in range(1000):
        budget.count_request()
        clock.advance(0.01)
    return budget


def test_what_was_asked_before_counts_when_callers_are_turned_away():
    """A service that took 100 requests a second begins to refuse.

    Callers are turned away early, so hardly any request counts; the repeats
    that those still admitted need are allowed by the traffic of before, and
    are not all gone in the first second.
    """
    clock = ManualClock()
    budget = busy(clock)
    clock.advance(1)
    random = Random(3)
    by_second = []
    for _ in range(100):
        budget.on_attempt(lost=True)
        by_second.append(sum(budget.spend(2 + random.random()) for _ in range(3)))
        clock.advance(0.1)
    assert 150 <= sum(by_second) <= 200
    assert sum(by_second[:10]) <= 50
    clock.advance(30)
    assert sum(budget.spend(0.5) for _ in range(9)) == 0


def test_what_is_important_gets_all_that_it_wants():
    """Every second attempt at a deep service is refused, for eight seconds.

    Postings want 30 repeats a second and browsing 90; the budget has 20 of its
    own and what the window before has left.  Shared out alike, postings would
    get a quarter of what they want.
    """
    clock = ManualClock()
    budget = busy(clock, extra=100)
    random = Random(3)
    granted = {0: 0, 2: 0}
    for tick in range(800):
        clock.advance(0.01)
        budget.count_request()
        budget.on_attempt(lost=tick % 2 == 0)
        if tick % 10 in (0, 3, 6):
            granted[0] += budget.spend(random.random())
        if tick % 10 != 9:
            granted[2] += budget.spend(2 + random.random())
    assert granted[0] > 0.75 * 240
    assert granted[2] < 0.2 * 720


def test_among_equals_the_same_requests_get_theirs_at_each_call():
    """Runs of equal importance make four calls each; there is too little for all.

    A run is saved only if each of its calls is, so a rank that is carried at
    one call has to be carried at the next.
    """
    clock = ManualClock()
    budget = busy(clock, extra=400)
    random = Random(3)
    whole = some = 0
    for run in range(400):
        budget.on_attempt(lost=run % 2 == 0)
        rank = 2 + random.random()
        granted = []
        for _ in range(4):
            clock.advance(0.004)
            granted.append(budget.spend(rank))
        if run > 100:
            whole += all(granted)
            some += any(granted)
    assert whole > 30
    assert whole > 0.75 * some


def test_few_losses_are_all_made_good():
    """A tenth of the attempts comes to nothing; a fifth may be repeated."""
    clock = ManualClock()
    budget = busy(clock)
    granted = 0
    for number in range(800):
        clock.advance(0.01)
        budget.count_request()
        lost = number % 10 == 0
        budget.on_attempt(lost)
        granted += lost and budget.spend(2.5)
    assert granted == 80


@given(
    st.lists(
        st.tuples(st.sampled_from(["request", "spend"]), st.floats(0, 3)),
        max_size=200,
    )
)
def test_no_window_holds_more_than_its_share(steps):
    clock = ManualClock()
    budget = ServiceRetryBudget(clock, ratio=0.2, extra=3, window=10)
    requests: list[float] = []
    repeats: list[float] = []
    for kind, pause in steps:
        clock.advance(pause / 10)
        if kind == "request":
            budget.count_request()
            requests.append(clock.now())
        elif budget.spend(0.5):
            repeats.append(clock.now())
    for end in repeats:
        inside = sum(end - 10 < t <= end for t in repeats)
        heard = sum(end - 21 < t <= end for t in requests)
        assert inside <= 0.2 * heard + 3


@given(st.floats(0, 100))
def test_an_empty_budget_allows_its_extra_only(pause):
    clock = ManualClock()
    budget = ServiceRetryBudget(clock, ratio=0.2, extra=2, window=10)
    clock.advance(pause)
    spent = []
    for _ in range(3):
        spent.append(budget.spend(0.5))
        clock.advance(1)
    assert spent == [True, True, False]
