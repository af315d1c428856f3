"""Hints refuse early, and never shut a service that has opened."""

from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import ThresholdCache


def heard(cut: float) -> tuple[ThresholdCache, ManualClock]:
    clock = ManualClock(50.0)
    hints = ThresholdCache(clock)
    hints.update("donors/search", "w1", cut)
    return hints, clock


def test_what_was_not_heard_of_is_open():
    hints, _ = heard(2.0)
    assert hints.threshold("donors/search", "w2") == 5.0
    assert hints.threshold("donors/list", "w1") == 5.0


def test_a_fresh_hint_holds_as_it_is():
    hints, clock = heard(2.0)
    clock.advance(0.7)
    assert hints.threshold("donors/search", "w1") == 2.0


def test_a_hint_that_nobody_renews_opens():
    # Everything is refused early, so no reply brings news; the guard has
    # long opened and callers are still told to go away.
    hints, clock = heard(0.02)
    cuts = []
    for _ in range(12):
        clock.advance(1.0)
        cuts.append(hints.threshold("donors/search", "w1"))
    assert cuts == sorted(cuts)
    assert cuts[-1] == 5.0


def test_probes_are_rare_and_close_to_the_cut():
    hints, clock = heard(2.0)
    clock.advance(0.5)
    asked = [hints.allow_probe("donors/search", "w1", rank) for rank in (3.0, 2.1, 2.1)]
    assert asked == [False, True, False]


def test_an_open_guard_is_forgotten_at_once():
    hints, _ = heard(2.0)
    hints.update("donors/search", "w1", 5.0)
    assert len(hints) == 0


def test_memory_is_bounded_though_operations_come_from_urls():
    hints, _ = heard(2.0)
    for i in range(hints.MAX_ENTRIES + 100):
        hints.update(f"donors/{i}", "w1", 1.0)
    assert len(hints) == hints.MAX_ENTRIES
