"""Tests of route lookup and of the distribution of requests among services."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.routes import (
    Route,
    RouteTable,
    WeightedRoundRobin,
    WeightedService,
)

_SEGMENTS = st.lists(st.sampled_from(["a", "b", "cc"]), max_size=4)


def _prefix(segments: list[str]) -> str:
    return "/" + "".join(f"{segment}/" for segment in segments)


@given(st.lists(_SEGMENTS, max_size=8), _SEGMENTS, st.sampled_from(["", "x", "a"]))
def test_route_with_longest_matching_prefix_is_found(prefixes, directory, leaf):
    routes = {
        _prefix(p): Route(_prefix(p), "h", _prefix(p), (WeightedService("s"),))
        for p in prefixes
    }
    path = _prefix(directory) + leaf
    matching = [prefix for prefix in routes if path.startswith(prefix)]
    found = RouteTable(routes.values()).find("h", path)
    assert (found.prefix if found else None) == max(matching, key=len, default=None)


def test_cached_lookup_returns_same_result():
    table = RouteTable([Route("r", "h", "/a/", (WeightedService("s"),))])
    assert table.find("h", "/a/x") is table.find("h", "/a/x")
    assert table.find("h", "/b/") is None
    assert table.find("h", "/b/") is None


@given(st.lists(st.integers(1, 99), min_size=1, max_size=5), st.integers(1, 300))
def test_round_robin_deviates_by_few_requests_from_exact_proportion(weights, count):
    services = [WeightedService(str(i), weight) for i, weight in enumerate(weights)]
    turns = WeightedRoundRobin(services)
    chosen = [turns.next() for _ in range(count)]
    for weighted in services:
        expected = count * weighted.weight / sum(weights)
        assert abs(chosen.count(weighted.service) - expected) <= max(
            1.5, len(weights) / 2
        )


def test_service_with_zero_weight_gets_no_requests():
    turns = WeightedRoundRobin([WeightedService("a", 1), WeightedService("b", 0)])
    assert {turns.next() for _ in range(10)} == {"a"}
    assert WeightedRoundRobin([WeightedService("a", 0)]).next() is None
