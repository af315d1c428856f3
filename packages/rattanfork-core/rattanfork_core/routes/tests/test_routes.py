"""Tests of routes."""

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
def test_the_longest_prefix_of_the_path_wins(prefixes, folder, leaf):
    routes = {
        _prefix(p): Route(_prefix(p), "h", _prefix(p), (WeightedService("s"),))
        for p in prefixes
    }
    path = _prefix(folder) + leaf
    fitting = [prefix for prefix in routes if path.startswith(prefix)]
    found = RouteTable(routes.values()).find("h", path)
    assert (found.prefix if found else None) == max(fitting, key=len, default=None)


def test_a_lookup_is_the_same_the_second_time():
    table = RouteTable([Route("r", "h", "/a/", (WeightedService("s"),))])
    assert table.find("h", "/a/x") is table.find("h", "/a/x")
    assert table.find("h", "/b/") is None
    assert table.find("h", "/b/") is None


@given(st.lists(st.integers(1, 99), min_size=1, max_size=5), st.integers(1, 300))
def test_no_share_is_ever_off_by_more_than_one_request_and_a_half(weights, count):
    shares = [WeightedService(str(i), weight) for i, weight in enumerate(weights)]
    turns = WeightedRoundRobin(shares)
    dealt = [turns.next() for _ in range(count)]
    for share in shares:
        due = count * share.weight / sum(weights)
        assert abs(dealt.count(share.service) - due) <= max(1.5, len(weights) / 2)


def test_a_share_without_weight_gets_nothing():
    turns = WeightedRoundRobin([WeightedService("a", 1), WeightedService("b", 0)])
    assert {turns.next() for _ in range(10)} == {"a"}
    assert WeightedRoundRobin([WeightedService("a", 0)]).next() is None
