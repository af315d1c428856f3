"""Which requests are suspected when an upstream crashes."""

from rattanfork_core.clock import ManualClock
from rattanfork_core.quarantine import SuspectTracker


def test_what_was_lost_or_is_in_flight_is_suspected():
    tracker = SuspectTracker(ManualClock())
    tracker.on_lost(1)
    assert tracker.on_crash([2]) == {1, 2}


def test_what_was_lost_long_before_is_not_suspected():
    clock = ManualClock()
    tracker = SuspectTracker(clock)
    tracker.on_lost(1)
    clock.advance(5.0)
    tracker.on_lost(2)
    assert tracker.on_crash() == {2}


def test_losses_before_an_earlier_crash_are_not_counted_again():
    tracker = SuspectTracker(ManualClock())
    tracker.on_lost(1)
    tracker.on_crash()
    assert tracker.on_crash() == frozenset()


def test_popular_request_that_succeeds_is_never_suspected():
    """Guards against the refusal of what many callers ask for all the time."""
    clock = ManualClock()
    tracker = SuspectTracker(clock)
    for _ in range(300):
        tracker.on_success(1)
        clock.advance(1.0)
    tracker.on_lost(1)
    tracker.on_lost(2)
    assert tracker.on_crash() == {2}


def test_success_long_ago_clears_nobody():
    """Guards against a request that only a new release of the upstream can't run."""
    clock = ManualClock()
    tracker = SuspectTracker(clock)
    tracker.on_success(1)
    for request in range(10, 20):
        clock.advance(60.0)
        tracker.on_success(request)
    tracker.on_lost(1)
    assert tracker.on_crash() == {1}


def test_memory_of_successes_is_bounded():
    tracker = SuspectTracker(ManualClock())
    for request in range(20_000):
        tracker.on_success(request)
    assert len(tracker._succeeded) + len(tracker._succeeded_before) <= 8192
