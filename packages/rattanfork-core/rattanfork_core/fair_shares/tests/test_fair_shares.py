"""Tests of fair ranks: max-min shares, fallback to own counts, bounded state."""

from collections import Counter
from itertools import pairwise
from random import Random
from time import process_time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.fair_shares import (
    DemandCurve,
    DemandTotals,
    DemandWindow,
    FairShares,
    TotalsTable,
    account_hash,
)
from rattanfork_core.fair_shares.route_positions import RoutePositions

DEMANDS = st.lists(st.integers(1, 10_000), min_size=1, max_size=40)


@given(DEMANDS, st.floats(0, 1))
def test_level_is_the_inverse_of_the_share(demands, share):
    curve = DemandCurve(demands)
    assert curve.share(curve.level(share)) == pytest.approx(share, abs=1e-9)
    assert curve.share(max(demands)) == pytest.approx(1.0)


@given(DEMANDS)
def test_share_is_that_of_max_min_fairness(demands):
    curve = DemandCurve(demands)
    for amount in (0.5, 1, 17.3, max(demands)):
        admitted = sum(min(demand, amount) for demand in demands)
        assert curve.share(amount) == pytest.approx(admitted / sum(demands))
        above = sum(demand > amount for demand in demands)
        assert curve.accounts_above(amount) == above


@given(DEMANDS, st.floats(0.1, 1.0))
def test_any_threshold_admits_the_lower_of_demand_and_fair_share(demands, admitted):
    """Requests of an account with evenly spread hashes, ranked by fleet totals."""
    clock = ManualClock()
    table = TotalsTable(clock)
    names = [f"a{i}" for i in range(len(demands))]
    listed = tuple(zip(map(account_hash, names), demands, strict=True))
    table.merge(DemandTotals("n", 1, 2, listed, 0, 0))
    shares = FairShares(clock, table)
    fair_share = DemandCurve(demands).level(admitted)
    for name, demand in zip(names, demands, strict=True):
        steps = 50
        fractions = [
            shares.rank(2, name, step / steps, 2 + admitted).fraction
            for step in range(steps)
        ]
        assert all(low <= high for low, high in pairwise(fractions))
        passed = sum(fraction < admitted for fraction in fractions) / steps
        expected = min(1.0, fair_share / demand)
        # Against a small total, the 50 own requests would be a sudden rise.
        if demand > 50:
            assert passed == pytest.approx(expected, abs=1.5 / steps)


def test_fraction_is_below_one():
    """A fraction of 1 would give the request the next importance."""
    shares = FairShares(ManualClock(), TotalsTable(ManualClock()))
    for _ in range(100):
        assert 0 <= shares.rank(4, "a", 1.0, 4.5).fraction < 1


def test_single_request_keeps_its_hash():
    """With one request in the window, a fair rank equals the plain one."""
    shares = FairShares(ManualClock(), TotalsTable(ManualClock()))
    assert shares.rank(1, "a", 0.37, 1.5).fraction == pytest.approx(0.37)


def test_importances_are_independent():
    """An account that is eager at one importance loses nothing at another."""
    clock = ManualClock()
    shares = FairShares(clock, TotalsTable(clock))
    for _ in range(500):
        shares.rank(3, "a", 0.5, 3.5)
    for name in "abcd":
        rank = shares.rank(1, name, 0.5, 1.5)
        assert (rank.demand, rank.fraction) == (1, 0.5)


def test_totals_expire_and_own_counts_are_used():
    """Guards against a partitioned node that ranks by old totals for ever."""
    clock = ManualClock()
    table = TotalsTable(clock)
    shares = FairShares(clock, table)
    table.merge(DemandTotals("n", 1, 2, ((account_hash("a"), 900),), 0, 0))
    assert shares.rank(2, "a", 0.5, 2.5).demand == 900
    clock.advance(2.1)
    rank = shares.rank(2, "a", 0.5, 2.5)
    assert (rank.demand, rank.from_fleet) == (1, False)


def test_account_that_is_not_listed_has_the_mean_of_the_rest():
    clock = ManualClock()
    table = TotalsTable(clock)
    shares = FairShares(clock, table)
    table.merge(DemandTotals("n", 1, 2, ((account_hash("a"), 900),), 10, 150))
    assert shares.rank(2, "b", 0.5, 2.5).demand == 15


def test_account_whose_demand_has_just_risen_is_judged_by_own_counts():
    """Guards against half a second without limits until the next totals."""
    clock = ManualClock()
    table = TotalsTable(clock)
    shares = FairShares(clock, table)
    table.merge(DemandTotals("n", 1, 2, (), 10, 150))
    demands = [shares.rank(2, "b", 0.5, 2.5).demand for _ in range(300)]
    assert demands[-1] == 300


def test_state_is_bounded_with_thousands_of_accounts():
    """20,000 accounts send one request, and one of them sends 1,000 more."""
    clock = ManualClock()
    shares = FairShares(clock, TotalsTable(clock))
    for i in range(1000):
        shares.rank(2, "eager", 0.5, 2.5)
        for account in range(20 * i, 20 * i + 20):
            shares.rank(2, f"a{account}", 0.5, 2.5, route_importance=1)
    state = shares._importances[2]
    assert len(state.window) <= 4096
    assert len(state.unreported) <= 4096
    assert len(shares._positions) <= 4096
    assert shares.rank(2, "eager", 0.5, 2.5).demand == 1001
    shares.take_counts()
    clock.advance(3)
    shares.take_counts()
    assert not shares._importances


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.integers(1, 9), st.floats(0, 0.7)),
        max_size=60,
    )
)
def test_window_counts_the_requests_of_two_seconds(additions):
    """The window holds all of the last 1.75 s and nothing older than 2 s."""
    clock = ManualClock()
    window = DemandWindow(clock)
    added = []
    for account, count, pause in additions:
        window.add(account, count)
        added.append((clock.now(), account, count))
        clock.advance(pause)
    for account in range(6):
        ages = [(clock.now() - at, c) for at, a, c in added if a == account]
        least = sum(count for age, count in ages if age <= 1.75)
        most = sum(count for age, count in ages if age <= 2.0)
        assert least <= window.demand(account) <= most
    assert window.total == sum(window.demand(account) for account in range(6))


@given(st.lists(st.integers(0, 30), max_size=200))
def test_full_window_keeps_its_total_when_accounts_are_dropped(accounts):
    """Guards against counts of dropped accounts that are subtracted twice."""
    clock = ManualClock()
    window = DemandWindow(clock, max_accounts=8)
    for account in accounts:
        window.add(account)
        clock.advance(0.05)
        assert len(window) <= 8
        assert window.total == sum(demand for _, demand in window.top(8))
    clock.advance(3)
    assert (window.total, len(window)) == (0, 0)


@given(st.lists(st.integers(0, 4), min_size=200, max_size=300), st.randoms())
def test_positions_are_uniform_and_ordered_by_route(routes, random):
    """An account gains nothing by the routes it uses, but its own order holds."""
    positions = RoutePositions()
    for route in routes:
        positions.position(7, route, 0.5)
    assert 0 <= positions.position(7, 0, 0.0) <= positions.position(7, 4, 1.0) <= 1
    low, high = sorted(random.sample(range(5), 2))
    assert positions.position(7, low, 1.0) <= positions.position(7, high, 0.0) + 0.03


def test_account_of_one_important_route_gets_no_more_than_its_share():
    """Guards against account priorities that exempt an account from fair shares.

    Of two accounts with the same priority and demand, one uses only the most important
    route and the other only the least important one.
    """
    clock = ManualClock()
    shares = FairShares(clock, TotalsTable(clock))
    random = Random(1)
    passed: Counter[str] = Counter()
    for _ in range(2000):
        clock.advance(0.005)
        for name, route in (("a", 0), ("b", 4)):
            fair = shares.rank(1, name, random.random(), 1.5, route)
            passed[name] += fair.fraction < 0.5
    assert passed["a"] == pytest.approx(passed["b"], rel=0.1)


def test_fair_rank_takes_microseconds():
    """With 76 accounts and fleet totals; the bound has room for a busy machine."""
    clock = ManualClock()
    table = TotalsTable(clock)
    names = [f"a{i}" for i in range(76)]
    table.merge(
        DemandTotals("n", 1, 2, tuple((account_hash(n), 20) for n in names), 0, 0)
    )
    shares = FairShares(clock, table)
    began = process_time()
    for i in range(20_000):
        shares.rank(2, names[i % 76], 0.5, 2.5)
    assert (process_time() - began) / 20_000 < 50e-6
