"""Tests of the token bucket for an advertised rate limit, and of its header."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.advertised import (
    AdvertisedRateLimit,
    parse_leaving,
    parse_rate_limit,
)
from rattanfork_core.clock import ManualClock

#: The platform allows this factor times the limit in a window, and a few more.
_WINDOW_S = 4.0
_LIMIT_FACTOR = 1.5
_EXTRA_REQUESTS = 5
#: Seconds between a stray response without the header and the next one with it.
_STRAY_S = 0.1

STEPS = st.lists(
    st.tuples(
        st.floats(0.001, 0.8),
        st.integers(0, 60),
        st.sampled_from(["limited", "limited", "limited", "unlimited"]),
    ),
    min_size=1,
    max_size=80,
)


def _take(bucket: AdvertisedRateLimit, clock: ManualClock, offered: int) -> list[float]:
    return [clock.now() for _ in range(offered) if bucket.take()]


def _most_in_window(times: list[float]) -> int:
    return max(
        (sum(begin <= at < begin + _WINDOW_S for at in times) for begin in times),
        default=0,
    )


@given(st.floats(0, 200), STEPS)
def test_window_never_holds_more_than_the_limit_allows(limit, steps):
    """Guards against bursts, also after stray responses without the header."""
    clock = ManualClock(10.0)
    bucket = AdvertisedRateLimit(clock)
    bucket.set(limit)
    times = []
    for pause, offered, statement in steps:
        clock.advance(pause)
        times += _take(bucket, clock, offered)
        if statement == "unlimited":
            bucket.lift()
            clock.advance(_STRAY_S)
            times += _take(bucket, clock, offered)
            bucket.set(limit)
    allowed = _LIMIT_FACTOR * limit * _WINDOW_S + _EXTRA_REQUESTS
    assert _most_in_window(times) <= allowed


def test_steady_demand_uses_the_whole_limit():
    clock = ManualClock()
    bucket = AdvertisedRateLimit(clock)
    bucket.set(19.3)
    taken = 0
    for _ in range(1000):
        clock.advance(0.01)
        taken += bucket.take()
    assert 0.95 * 193 <= taken <= 194


def test_limit_of_zero_still_lets_few_requests_ask_for_its_end():
    """Guards against a limit of 0 that holds for ever, as no response can end it."""
    clock = ManualClock()
    bucket = AdvertisedRateLimit(clock)
    bucket.set(0.0)
    taken = 0
    for _ in range(100):
        clock.advance(0.1)
        taken += bucket.take()
    assert 1 <= taken <= 2 * _EXTRA_REQUESTS


def test_rate_rises_to_unlimited_within_five_seconds_of_the_end():
    clock = ManualClock()
    bucket = AdvertisedRateLimit(clock)
    bucket.set(2.0)
    bucket.lift()
    rates = []
    for _ in range(51):
        rates.append(bucket.rate)
        clock.advance(0.1)
    assert rates == sorted(rates)
    assert rates[0] == 2.0
    assert bucket.rate == float("inf")


@given(st.binary(max_size=40))
def test_header_values_are_numbers_or_rejected(value):
    try:
        limit = parse_rate_limit(value)
    except ValueError:
        return
    assert 0 <= limit < 1e9


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"-1",
        b"nan",
        b"inf",
        b"1e3",
        b"1, 2",
        b"9" * 40,
        b"\xb2",
        b".",
        b"1.",
        b"+1",
    ],
)
def test_malformed_limit_is_rejected(value):
    with pytest.raises(ValueError, match="expected requests per second"):
        parse_rate_limit(value)


@pytest.mark.parametrize("value", [b"", b"yes", b"1, 1", b"2"])
def test_malformed_leaving_is_rejected(value):
    with pytest.raises(ValueError, match="expected 1 or 0"):
        parse_leaving(value)
