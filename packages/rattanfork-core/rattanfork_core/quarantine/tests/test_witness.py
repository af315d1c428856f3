"""Which requests are accused when an upstream ends."""

from rattanfork_core.clock import ManualClock
from rattanfork_core.quarantine import CrashWitness


def test_what_was_lost_or_is_under_way_is_accused():
    witness = CrashWitness(ManualClock())
    witness.on_lost(1)
    assert witness.on_ended([2]) == {1, 2}


def test_what_was_lost_long_before_is_not_accused():
    clock = ManualClock()
    witness = CrashWitness(clock)
    witness.on_lost(1)
    clock.advance(5.0)
    witness.on_lost(2)
    assert witness.on_ended() == {2}


def test_losses_before_an_earlier_end_are_not_counted_again():
    witness = CrashWitness(ManualClock())
    witness.on_lost(1)
    witness.on_ended()
    assert witness.on_ended() == frozenset()


def test_popular_request_that_succeeds_is_never_accused():
    """Guards against the refusal of what many callers ask for all the time."""
    clock = ManualClock()
    witness = CrashWitness(clock)
    for _ in range(300):
        witness.on_success(1)
        clock.advance(1.0)
    witness.on_lost(1)
    witness.on_lost(2)
    assert witness.on_ended() == {2}


def test_success_long_ago_clears_nobody():
    """Guards against a request that only a new release of the upstream can't run."""
    clock = ManualClock()
    witness = CrashWitness(clock)
    witness.on_success(1)
    for request in range(10, 20):
        clock.advance(60.0)
        witness.on_success(request)
    witness.on_lost(1)
    assert witness.on_ended() == {1}


def test_memory_of_successes_is_bounded():
    witness = CrashWitness(ManualClock())
    for request in range(20_000):
        witness.on_success(request)
    assert len(witness._succeeded) + len(witness._succeeded_before) <= 8192
