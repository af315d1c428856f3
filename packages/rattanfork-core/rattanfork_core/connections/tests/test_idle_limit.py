"""Tests of the maximum idle time: dropped connections are hardly ever reused."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.connections import IdleLimit


@given(st.floats(0.1, 3.0), st.floats(0.01, 2.0))
def test_limit_for_retryable_requests_is_learned_from_resets(dropped_after, gap):
    """Connections that are idle for longer than an unknown time are reset on use.

    A retryable request is then sent once more.  After a few resets no connection that
    was idle for so long is reused.
    """
    limit = IdleLimit(ManualClock())
    resets = 0
    for idle in [4.0, 3.0, 2.0, 1.0, gap] * 10:
        reused = idle <= limit.max_idle(5.0, retryable=True)
        if reused and idle > dropped_after:
            resets += 1
            limit.on_stale(idle)
    assert resets <= 7


def test_limit_for_non_retryable_requests_is_low_without_any_reset():
    limit = IdleLimit(ManualClock())
    assert limit.max_idle(None, retryable=False) < 0.3
    assert limit.max_idle(0.1, retryable=False) <= 0.06


def test_learned_limit_expires():
    clock = ManualClock()
    limit = IdleLimit(clock)
    limit.on_stale(0.4)
    clock.advance(60.0)
    assert limit.max_idle(5.0, retryable=True) == 3.0
