"""Connections that were forgotten while they rested."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.connections import IdleLimit


@given(st.floats(0.1, 3.0), st.floats(0.01, 2.0))
def test_reads_soon_avoid_a_rest_that_kills_connections(forgotten_after, gap):
    """Connections that rested longer than a bound are reset when used.

    A read finds out and is sent once more.  After a few of them no connection
    that has rested so long is used; nobody has to be told the bound.
    """
    limit = IdleLimit(ManualClock())
    resets = 0
    for rested in [4.0, 3.0, 2.0, 1.0, gap] * 10:
        used = rested <= limit.max_idle(5.0, retryable=True)
        if used and rested > forgotten_after:
            resets += 1
            limit.on_stale(rested)
    assert resets <= 7


def test_what_may_run_once_never_waits_for_a_reset_to_learn():
    limit = IdleLimit(ManualClock())
    assert limit.max_idle(None, retryable=False) < 0.3
    assert limit.max_idle(0.1, retryable=False) <= 0.06


def test_what_was_learned_is_forgotten():
    clock = ManualClock()
    limit = IdleLimit(clock)
    limit.on_stale(0.4)
    clock.advance(60.0)
    assert limit.max_idle(5.0, retryable=True) == 3.0
