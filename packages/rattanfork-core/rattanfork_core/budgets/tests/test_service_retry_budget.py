"""The bound on the retries that reach one service."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.budgets import ServiceRetryBudget
from rattanfork_core.clock import ManualClock


def loaded_budget(clock: ManualClock, extra: float = 0.0) -> ServiceRetryBudget:
    """Return the budget of a service after 10 s at 100 requests per second."""
    budget = ServiceRetryBudget(clock, ratio=0.2, extra=extra, window=10)
    for _ in range(1000):
        budget.count_request()
        clock.advance(0.01)
    return budget


def test_earlier_traffic_allows_retries_when_callers_are_refused_early():
    """A service that received 100 requests per second starts to shed load.

    Callers are refused early, so few requests are counted.  The earlier traffic
    must still allow retries, and they must not all be used in the first second.
    """
    clock = ManualClock()
    budget = loaded_budget(clock)
    clock.advance(1)
    random = Random(3)
    by_second = []
    for _ in range(100):
        budget.on_attempt(failed=True)
        by_second.append(sum(budget.spend(2 + random.random()) for _ in range(3)))
        clock.advance(0.1)
    assert 150 <= sum(by_second) <= 200
    assert sum(by_second[:10]) <= 50
    clock.advance(30)
    assert sum(budget.spend(0.5) for _ in range(9)) == 0


def test_important_requests_get_their_retries_first():
    """Half of the attempts at a downstream service are refused for eight seconds.

    Writes request 30 retries per second and reads 90; the budget allows 20 plus
    the rest of the previous window.  Distributed evenly, writes would get a
    quarter of the retries that they request.
    """
    clock = ManualClock()
    budget = loaded_budget(clock, extra=100)
    random = Random(3)
    granted = {0: 0, 2: 0}
    for tick in range(800):
        clock.advance(0.01)
        budget.count_request()
        budget.on_attempt(failed=tick % 2 == 0)
        if tick % 10 in (0, 3, 6):
            granted[0] += budget.spend(random.random())
        if tick % 10 != 9:
            granted[2] += budget.spend(2 + random.random())
    assert granted[0] > 0.75 * 240
    assert granted[2] < 0.2 * 720


def test_run_granted_a_retry_is_granted_one_at_each_call():
    """Runs of equal importance make four calls each, and the budget is too small.

    A run succeeds only if each of its calls does, so a rank that is granted a
    retry at one call must be granted one at the next.
    """
    clock = ManualClock()
    budget = loaded_budget(clock, extra=400)
    random = Random(3)
    all_granted = some_granted = 0
    for run in range(400):
        budget.on_attempt(failed=run % 2 == 0)
        rank = 2 + random.random()
        granted = []
        for _ in range(4):
            clock.advance(0.004)
            granted.append(budget.spend(rank))
        if run > 100:
            all_granted += all(granted)
            some_granted += any(granted)
    assert all_granted > 30
    assert all_granted > 0.75 * some_granted


def test_all_failures_are_retried_at_low_failure_rate():
    """A tenth of the attempts fails; a fifth may be retried."""
    clock = ManualClock()
    budget = loaded_budget(clock)
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
def test_retries_in_any_window_stay_within_bound(steps):
    clock = ManualClock()
    budget = ServiceRetryBudget(clock, ratio=0.2, extra=3, window=10)
    requests: list[float] = []
    retries: list[float] = []
    for kind, pause in steps:
        clock.advance(pause / 10)
        if kind == "request":
            budget.count_request()
            requests.append(clock.now())
        elif budget.spend(0.5):
            retries.append(clock.now())
    for end in retries:
        retries_in_window = sum(end - 10 < t <= end for t in retries)
        requests_counted = sum(end - 21 < t <= end for t in requests)
        assert retries_in_window <= 0.2 * requests_counted + 3


@given(st.floats(0, 100))
def test_budget_without_traffic_allows_only_the_extra_retries(pause):
    clock = ManualClock()
    budget = ServiceRetryBudget(clock, ratio=0.2, extra=2, window=10)
    clock.advance(pause)
    spent = []
    for _ in range(3):
        spent.append(budget.spend(0.5))
        clock.advance(1)
    assert spent == [True, True, False]
