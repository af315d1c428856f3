"""Tests of the choice among idle connections."""

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.connections import IdleLimit, choose_idle

_NOW = 100.0
#: Shortest idle time after which devices were seen to drop connections, in seconds.
_DEVICE_DROPS_AFTER = 0.3


@dataclass
class Idle:
    idle_since: float
    sent_at: float
    keep_alive_timeout: float | None = 10.0

    @property
    def idle_time(self) -> float:
        return _NOW - self.idle_since


@st.composite
def idle_connections(draw) -> list[Idle]:
    """Idle connections, longest idle first, with runs of up to a second before."""
    idle_times = draw(st.lists(st.floats(0.0, 9.0) | st.floats(0.0, 0.4), max_size=12))
    return [
        Idle(
            _NOW - idle_time,
            _NOW - idle_time - draw(st.floats(0.0, 1.0)),
            draw(st.sampled_from([10.0, 1.0, None])),
        )
        for idle_time in sorted(idle_times, reverse=True)
    ]


def new_limit(stale_idle: float | None) -> IdleLimit:
    limit = IdleLimit(ManualClock(_NOW))
    if stale_idle is not None:
        limit.on_stale(stale_idle)
    return limit


@given(idle_connections(), st.none() | st.floats(0.1, 5.0))
def test_unretryable_request_never_gets_a_connection_that_may_be_stale(
    idle, stale_idle
):
    """Guards against a request that must not run twice ending with unknown outcome.

    A device drops connections idle for 0.3 s; the limit learned from a reset and the
    time-out that the upstream states may be lower.
    """
    index = choose_idle(idle, _NOW, False, new_limit(stale_idle))
    if index is None:
        return
    chosen = idle[index]
    assert chosen.idle_time <= 0.1 or _NOW - chosen.sent_at < _DEVICE_DROPS_AFTER
    if stale_idle is not None:
        assert chosen.idle_time < stale_idle
    if chosen.keep_alive_timeout is not None:
        assert chosen.idle_time < chosen.keep_alive_timeout


@given(idle_connections(), st.none() | st.floats(0.1, 5.0))
def test_retryable_request_gets_a_new_connection_only_if_none_may_be_used(
    idle, stale_idle
):
    limit = new_limit(stale_idle)
    index = choose_idle(idle, _NOW, True, limit)
    usable = [c.idle_time <= limit.max_idle(c.keep_alive_timeout, True) for c in idle]
    assert usable[index] if index is not None else not any(usable)


@given(st.lists(st.floats(0.0, 5.9) | st.floats(0.0, 0.4), min_size=1, max_size=12))
def test_retryable_request_leaves_recently_used_connections_to_others(idle_times):
    """Guards against new connections for requests that may use only recent ones."""
    idle = [Idle(_NOW - t, _NOW - t) for t in sorted(idle_times, reverse=True)]
    chosen = idle[choose_idle(idle, _NOW, True, new_limit(None))]
    not_reserved = [c for c in idle if c.idle_since < _NOW - 0.2]
    assert chosen is (not_reserved[-1] if not_reserved else idle[0])


def test_unretryable_request_takes_the_one_that_soon_none_may_use():
    idle = [Idle(_NOW - t, _NOW - t - 0.01) for t in (3.0, 0.08, 0.05, 0.01)]
    assert choose_idle(idle, _NOW, False, new_limit(None)) == 1


def test_time_since_the_last_request_bounds_the_idle_time():
    """A response that is read late makes its connection look recently used.

    A connection whose last request was sent 0.2 s ago has been idle for less than
    that; one whose request was sent earlier may have been idle since then.
    """
    limit = new_limit(None)
    assert choose_idle([Idle(_NOW - 0.15, _NOW - 0.2)], _NOW, False, limit) == 0
    assert choose_idle([Idle(_NOW - 0.15, _NOW - 0.3)], _NOW, False, limit) is None
