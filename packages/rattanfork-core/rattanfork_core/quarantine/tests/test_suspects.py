"""Suspects of a crash: lost, in flight, recently successful and old requests."""

from rattanfork_core.clock import ManualClock
from rattanfork_core.quarantine import SuspectTracker


def test_lost_and_in_flight_requests_are_suspects():
    tracker = SuspectTracker(ManualClock())
    tracker.on_lost(1)
    assert tracker.on_crash([2]) == {1, 2}


def test_request_lost_long_before_is_no_suspect():
    clock = ManualClock()
    tracker = SuspectTracker(clock)
    tracker.on_lost(1)
    clock.advance(5.0)
    tracker.on_lost(2)
    assert tracker.on_crash() == {2}


def test_losses_before_an_earlier_crash_are_dropped():
    tracker = SuspectTracker(ManualClock())
    tracker.on_lost(1)
    tracker.on_crash()
    assert tracker.on_crash() == frozenset()


def test_recently_successful_request_is_no_suspect():
    """Guards against the quarantine of a popular request, in flight at most crashes."""
    clock = ManualClock()
    tracker = SuspectTracker(clock)
    for _ in range(300):
        tracker.on_success(1)
        clock.advance(1.0)
    tracker.on_lost(1)
    tracker.on_lost(2)
    assert tracker.on_crash() == {2}


def test_success_long_ago_clears_no_suspect():
    """Guards against a request that succeeded before, but crashes a new release."""
    clock = ManualClock()
    tracker = SuspectTracker(clock)
    tracker.on_success(1)
    for request in range(10, 20):
        clock.advance(60.0)
        tracker.on_success(request)
    tracker.on_lost(1)
    assert tracker.on_crash() == {1}


def test_deferred_success_clears_a_suspect_at_once():
    """Guards against suspects whose success is recorded but not computed yet."""
    tracker = SuspectTracker(ManualClock())
    tracker.defer_success(lambda: 1)
    assert tracker.has_succeeded(1)
    tracker.defer_success(lambda: 2)
    tracker.on_lost(2)
    assert tracker.on_crash([1, 3]) == {3}


def test_deferred_successes_are_bounded():
    """Guards against keeping the requests of many successes in memory."""
    tracker = SuspectTracker(ManualClock())
    for request in range(1000):
        tracker.defer_success(lambda request=request: request)
        assert len(tracker._pending) < 64
    assert tracker.has_succeeded(0)


def test_number_of_kept_successes_is_bounded():
    tracker = SuspectTracker(ManualClock())
    for request in range(20_000):
        tracker.on_success(request)
    assert len(tracker._succeeded) + len(tracker._previous_succeeded) <= 8192
