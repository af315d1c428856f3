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


@given(st.floats(0.1, 5.0))
def test_reset_of_a_connection_that_was_not_stale_is_forgotten_after_one_probe(idle):
    """Guards against new connections for 20 s after each reset by a failing upstream.

    A connection that was idle for as long works, so the reset had another cause.
    """
    clock = ManualClock()
    limit = IdleLimit(clock)
    limit.on_stale(idle)
    assert limit.probe_above is None
    clock.advance(1.0)
    assert limit.probe_above[0] == idle
    limit.on_probe()
    assert limit.probe_above is None
    limit.on_worked(idle, clock.now())
    assert not limit.restricted


def test_response_to_a_request_sent_before_the_reset_raises_no_limit():
    """Guards against a limit that is lifted by what worked before the device failed."""
    clock = ManualClock(10.0)
    limit = IdleLimit(clock)
    limit.on_stale(1.0)
    limit.on_worked(3.0, sent_at=9.9)
    assert limit.max_idle(10.0, retryable=True) == 0.5


def test_connection_that_worked_after_a_shorter_time_only_raises_the_limit():
    clock = ManualClock()
    limit = IdleLimit(clock)
    limit.on_stale(2.0)
    limit.on_worked(1.5, clock.now())
    assert limit.max_idle(10.0, retryable=True) == 1.5
    limit.on_worked(0.3, clock.now())
    assert limit.max_idle(10.0, retryable=True) == 1.5


@given(st.floats(0.3, 2.0), st.floats(2.0, 12.0))
def test_device_that_drops_connections_resets_few_requests(dropped_after, duration):
    """Guards against probes that cost more requests than the limit saves.

    A retryable request arrives each 0.1 s and connections of all idle times are there.
    """
    clock = ManualClock()
    limit = IdleLimit(clock)
    resets = 0
    while clock.now() < duration:
        probe = limit.probe_above
        if probe is not None:
            limit.on_probe()
        idle = probe[0] if probe is not None else limit.max_idle(10.0, retryable=True)
        if idle > dropped_after:
            resets += 1
            limit.on_stale(idle)
        clock.advance(0.1)
    learning = 5  # Resets until the limit is below the time of the device.
    probes = 4  # After 1, 2, 4 and 8 s.
    assert resets <= learning + probes + 1
    assert limit.max_idle(10.0, retryable=False) <= 0.1
